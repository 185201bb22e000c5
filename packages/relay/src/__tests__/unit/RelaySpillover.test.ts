import { expect } from 'chai';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Decision } from '@skylarksail/daemon/DaemonDecisions';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { SpillChoice } from '@skylarksail/routing/RoutingSpillover';
import type { MemorySharingName } from '../../RelayTuning.js';
import { MemorySharing } from '../../RelayTuning.js';
import { createPartsBed } from './RelayPartsBed.js';

const DOMAINS = ['d1', 'd2'];
const INSTANCES = 7;
const TOKENS = 10;
const TOKEN_TIME = 200;
/** Engines of a domain have memory for ten requests of the fixtures at once; of these, about eight run. */
const ARRIVAL_TIME = 260;

/** Sends requests to the instances of one of two domains for 20 s. */
async function runShortDomain(shareMemory: MemorySharingName) {
  const timers = { registerInterval: (() => () => undefined) as TimerService['registerInterval'] };
  const decisions: Decision[] = [];
  const opened: string[] = [];
  const openCall: OpenEngineCall = ({ chain }, listener) => {
    opened.push(chain.stages[0]?.engine.slice(0, 1) ?? '');
    queueMicrotask(() => listener.onAcknowledged({ variant: chain.variant, stages: chain.stages }));
    let next = 0;
    const cancel = timers.registerInterval(TOKEN_TIME, () => {
      listener.onToken(next, 'w');
      next += 1;
      if (next === TOKENS) {
        cancel();
        listener.onEnd('stop', TOKENS);
      }
    });
    return cancel;
  };
  const bed = createPartsBed(
    () => openCall,
    DOMAINS,
    null,
    () => false,
    shareMemory,
    (decision) => decisions.push(decision),
  );
  timers.registerInterval = bed.timers.registerInterval;
  [0, 2, 4, 6].forEach((first, i) => {
    bed.addEngine(`f${i}`, { first, end: first + 2 }, 'd2');
  });
  DOMAINS.forEach((domain) => {
    Array.from({ length: INSTANCES }, (_, i) => bed.start(`${domain}-${i}`, bed.store, domain));
  });
  await bed.timers.advanceToAsync(8000);
  for (let i = 0; i < 75; i++) {
    bed.submit(`d1-${i % INSTANCES}`, '/letters/1', 8000);
    await bed.timers.advanceToAsync(8000 + (i + 1) * ARRIVAL_TIME);
  }
  return { opened, spilled: decisions.filter(({ spillover }) => spillover) };
}

describe('RelayParts of a domain that is short of memory', () => {
  it('send a part of new requests to the emptier domain, by its room as told by its instances', async () => {
    const { opened, spilled } = await runShortDomain(MemorySharing.Auto);
    // About 0.77 of the memory is needed, of which the domain keeps 0.6.
    expect(spilled.length / opened.length).to.be.within(0.05, 0.4);
    expect(opened.filter((domain) => domain === 'f').length).to.be.at.least(spilled.length);
    spilled.forEach(({ spillover }) => {
      expect(spillover).to.include({ domain: 'd2' });
      expect((spillover as SpillChoice).age).to.be.within(0, 3000);
    });
  });

  it('send none for its room where memory is not shared', async () => {
    const { opened, spilled } = await runShortDomain(MemorySharing.Off);
    expect(opened.length).to.be.at.least(75);
    expect(spilled).to.deep.equal([]);
  });
});
