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
  const questions: { revision: number; wait: number; answer: (outcome: Answer) => void }[] = [];
  const events: StoreEvent[] = [];
  const known: number[] = [];
  const heard: boolean[] = [];
  const confirm = createRelayConfirm({
    timers,
    store: {
      watchRange: (_prefix, revision, wait) =>
        new Promise((resolve) => {
          questions.push({ revision, wait, answer: resolve });
        }),
    },
    getCompleteRevision: () => 7,
    onEvents: onEvents ?? ((list) => events.push(...list)),
    onSynced: (age) => known.push(age),
  });
  return {
    timers,
    questions,
    events,
    known,
    heard,
    ask: () => confirm((isCurrent) => heard.push(isCurrent)),
    async answer(outcome: Answer) {
      questions.at(-1)?.answer(outcome);
      await timers.advanceToAsync(timers.now() + 1);
    },
  };
}

describe('RelayConfirm', () => {
  it('asks once for all who wait, and takes in what it hears before they do', async () => {
    const bed = createBed();
    bed.ask();
    bed.ask();
    bed.timers.advanceTo(30);
    expect(bed.questions.map(({ revision, wait }) => [revision, wait])).to.deep.equal([[7, 0]]);
    await bed.answer({ kind: 'done', value: { kind: 'events', events: [CHANGE], revision: 8 } });
    expect([bed.heard, bed.events, bed.known]).to.deep.equal([[true, true], [CHANGE], [30]]);
    bed.ask();
    expect(bed.questions).to.have.length(2);
  });

  it('answers all who wait though what it hears cannot be taken in', async () => {
    // Guards against callers that wait until their deadline for a question that came to nothing.
    const bed = createBed(() => {
      throw new Error('not understood');
    });
    bed.ask();
    await bed.answer({ kind: 'done', value: { kind: 'events', events: [CHANGE], revision: 8 } });
    bed.ask();
    expect([bed.heard, bed.questions.length]).to.deep.equal([[false], 2]);
  });

  it('says that it does not know while the store gives no answer, and lets it be for a moment', async () => {
    // Guards against a store in trouble that is asked once more by each caller.
    const compacted: Answer = { kind: 'done', value: { kind: 'compacted' } };
    for (const outcome of [UNKNOWN, compacted]) {
      const bed = createBed();
      bed.ask();
      await bed.answer(outcome);
      bed.ask();
      expect([bed.heard, bed.known, bed.questions.length]).to.deep.equal([[false, false], [], 1]);
      bed.timers.advanceTo(600);
      bed.ask();
      expect(bed.questions).to.have.length(2);
    }
  });
});
