import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createProgressTracker } from '@skylarksail/requests/RequestProgress';
import type { RelayForwarding } from '../../RelayForwarding.js';
import { createPathPorts } from '../../RelayPathPorts.js';
import type { RelayPaths } from '../../RelayPaths.js';
import type { BackendPorts } from '../../RelayPorts.js';
import { createBackend } from './RelayFixtures.js';

describe('RelayPathPorts', () => {
  it('asks a peer for an engine’s health if the own link is found cut during the check', async () => {
    // Guards against engines that are taken for leaving for a check that began before the link was known to be cut.
    let isCut = false;
    const suspected: string[] = [];
    const ports = createPathPorts({
      timers: createVirtualTimers(),
      own: {
        readHealth: () => {
          isCut = true;
          return Promise.resolve({ kind: 'silent' });
        },
      } as unknown as BackendPorts,
      paths: {
        isCut: () => isCut,
        suspect: (id: string) => suspected.push(id),
      } as unknown as RelayPaths,
      forwarding: {
        ask: () => Promise.resolve({ kind: 'health', health: { kind: 'well', id: 'e' } }),
      } as unknown as RelayForwarding,
      isLimited: () => false,
      onSaidLeaving: () => undefined,
    });
    const health = await ports.readHealth(createBackend('e'), 250);
    expect(health).to.deep.equal({ kind: 'well', id: 'e' });
    expect(suspected).to.deep.equal([]);
  });

  it('lets an engine be used again that was kept off for a link that is cut', () => {
    // Guards against engines that are avoided for seconds though calls there go through a peer by now.
    const progress = createProgressTracker();
    progress.noteLost('e', false, 0);
    progress.forgetLost('e');
    expect(progress.listDown(1)).to.deep.equal({ dead: [], silent: [] });
  });
});
