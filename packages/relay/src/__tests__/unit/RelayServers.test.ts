import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createCatalogue } from '../../RelayCatalogue.js';
import { createServerChooser } from '../../RelayServers.js';
import { createBackend } from './RelayFixtures.js';

const SERVICE = 'accounts';
const PER_GENERATION = 3;
const ANSWERED = { kind: 'answered', firstToken: 10, meanGap: null } as const;

describe('RelayServers', () => {
  it('keeps nothing of servers that are gone, however many are replaced between calls', () => {
    // Guards against memory that grows with each server that answered and came back under a new id.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    const servers = createServerChooser({
      timers,
      random: createRandom(1),
      domain: 'd1',
      catalogue,
    });
    for (let generation = 0; generation < 500; generation++) {
      const ids = Array.from({ length: PER_GENERATION }, (_, i) => `s${generation}-${i}`);
      ids.forEach((id) => catalogue.put(createBackend(id, { service: SERVICE })));
      const chosen: string[] = [];
      ids.forEach(() => {
        const choice = servers.choose(SERVICE, chosen);
        chosen.push(choice?.server ?? '');
        choice?.release(ANSWERED);
      });
      expect(chosen).to.have.members(ids);
      timers.advanceTo(10_000 * (generation + 1));
      ids.forEach((id) => catalogue.remove(id));
    }
    catalogue.put(createBackend('last', { service: SERVICE }));
    servers.choose(SERVICE, []);
    expect(servers.countServers()).to.equal(1);
  });

  it('counts the calls of a server that is gone from the catalogue for a while', () => {
    // Guards against a server that is overloaded when its entry returns, as its running calls were forgotten.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    const servers = createServerChooser({
      timers,
      random: createRandom(1),
      domain: 'd1',
      catalogue,
    });
    const busy = createBackend('busy', { service: SERVICE });
    catalogue.put(busy);
    const calls = Array.from({ length: 5 }, () => servers.choose(SERVICE, []));
    catalogue.remove('busy');
    calls[0]?.release(ANSWERED);
    catalogue.put(createBackend('idle', { service: SERVICE }));
    servers.choose(SERVICE, [])?.release(ANSWERED);
    catalogue.put(busy);
    const chosen = Array.from({ length: 3 }, () => servers.choose(SERVICE, [])?.server);
    expect(chosen).to.deep.equal(['idle', 'idle', 'idle']);
  });
});
