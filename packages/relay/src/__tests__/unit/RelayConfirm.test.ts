import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreChanges, StoreEvent } from '@skylarksail/store/StoreRange';
import { createRelayConfirm } from '../../RelayConfirm.js';

type Answer = StoreOutcome<StoreChanges>;

const CHANGE: StoreEvent = {
  kind: 'written',
  item: { key: 'config', value: 'new', revision: 8 },
};
const UNKNOWN: Answer = { kind: 'unknown' };

function createBed(onEvents?: (list: readonly StoreEvent[]) => void) {
  const timers = createVirtualTimers();
  const queries: { revision: number; wait: number; answer: (outcome: Answer) => void }[] = [];
  const events: StoreEvent[] = [];
  const known: number[] = [];
  const results: boolean[] = [];
  const confirm = createRelayConfirm({
    timers,
    store: {
      watchRange: (_prefix, revision, wait) =>
        new Promise((resolve) => {
          queries.push({ revision, wait, answer: resolve });
        }),
    },
    getCompleteRevision: () => 7,
    onEvents: onEvents ?? ((list) => events.push(...list)),
    onSynced: (age) => known.push(age),
  });
  return {
    timers,
    queries,
    events,
    known,
    results,
    ask: () => confirm((isCurrent) => results.push(isCurrent)),
    async answer(outcome: Answer) {
      queries.at(-1)?.answer(outcome);
      await timers.advanceToAsync(timers.now() + 1);
    },
  };
}

describe('RelayConfirm', () => {
  it('sends one query for all waiting calls, and applies the changes before they return', async () => {
    const bed = createBed();
    bed.ask();
    bed.ask();
    bed.timers.advanceTo(30);
    expect(bed.queries.map(({ revision, wait }) => [revision, wait])).to.deep.equal([[7, 0]]);
    await bed.answer({ kind: 'done', value: { kind: 'events', events: [CHANGE], revision: 8 } });
    expect([bed.results, bed.events, bed.known]).to.deep.equal([[true, true], [CHANGE], [30]]);
    bed.ask();
    expect(bed.queries).to.have.length(2);
  });

  it('answers all waiting calls even if the changes cannot be applied', async () => {
    // Guards against callers that wait until their deadline for a failed query.
    const bed = createBed(() => {
      throw new Error('malformed value');
    });
    bed.ask();
    await bed.answer({ kind: 'done', value: { kind: 'events', events: [CHANGE], revision: 8 } });
    bed.ask();
    expect([bed.results, bed.queries.length]).to.deep.equal([[false], 2]);
  });

  it('reports that it is not current while the store gives no answer, and backs off', async () => {
    // Guards against a failing store that gets one more query from each caller.
    const compacted: Answer = { kind: 'done', value: { kind: 'compacted' } };
    for (const outcome of [UNKNOWN, compacted]) {
      const bed = createBed();
      bed.ask();
      await bed.answer(outcome);
      bed.ask();
      expect([bed.results, bed.known, bed.queries.length]).to.deep.equal([[false, false], [], 1]);
      bed.timers.advanceTo(600);
      bed.ask();
      expect(bed.queries).to.have.length(2);
    }
  });
});
