import { expect } from 'chai';
import fc from 'fast-check';
import { checkHistory } from '../../HistoryChecker.js';
import { HistoryFaultKind } from '../../HistoryPlan.js';
import { runHistory } from '../../HistoryRunner.js';
import type { HistoryEvent } from '../../HistoryTypes.js';
import { createScheduleArbitrary, UNENFORCED_RULES } from '../HistorySchedules.js';

const RUNS = Number(process.env.HISTORY_RUNS ?? 1002);
const SEED = Number(process.env.HISTORY_SEED ?? 6);
const CASES = [
  { name: 'one fault', count: 1 },
  { name: 'two faults', count: 2 },
  { name: 'three faults', count: 3 },
] as const;

describe('histories of random schedules', function describeHistories() {
  this.timeout(60_000 + RUNS * 1000);

  CASES.forEach(({ name, count }, i) => {
    const runs = Math.ceil(RUNS / CASES.length);

    it(`satisfies every rule in ${runs} seeded runs with ${name}`, async () => {
      // Guards against any mix of faults that leaves a caller without exactly one complete answer, reports
      // a wrong run state, or reverts a change. On a failure fast-check prints the seed, the path and the
      // shrunk schedule; HISTORY_SEED and HISTORY_PATH repeat it.
      const seen = new Map<string, number>();
      const path = process.env.HISTORY_PATH;
      await fc.assert(
        fc.asyncProperty(createScheduleArbitrary(count), async (schedule) => {
          const events = await runHistory(schedule);
          countKinds(seen, events);
          schedule.faults.forEach(({ kind }) => seen.set(kind, (seen.get(kind) ?? 0) + 1));
          const broken = checkHistory(events)
            .filter(({ rule }) => !UNENFORCED_RULES.has(rule))
            .map(({ rule, detail }) => `${rule}: ${detail}`);
          expect(broken.join('\n')).to.equal('');
        }),
        { seed: SEED + i, numRuns: runs, ...(path === undefined ? {} : { path }) },
      );
      // Runs without enough answers, failures, changes and faults would not test the rules.
      if (runs > 300) {
        expect(seen.get('answered')).to.be.above(5 * runs);
        expect(seen.get('failed')).to.be.above(runs / 10);
        expect(seen.get('in-force')).to.be.above(3 * runs);
        Object.values(HistoryFaultKind).forEach((kind) => {
          expect(seen.get(kind), kind).to.be.above(count);
        });
      }
    });
  });
});

function countKinds(seen: Map<string, number>, events: readonly HistoryEvent[]): void {
  events.forEach(({ kind }) => seen.set(kind, (seen.get(kind) ?? 0) + 1));
}
