/** Random schedules of histories, which fast-check shrinks when one fails. */
import fc from 'fast-check';
import type { HistoryFault, HistoryRequest, HistorySchedule } from '../HistoryPlan.js';
import { HistoryFaultKind, HistoryRequestKind } from '../HistoryPlan.js';
import type { HistoryRuleName } from '../HistoryTypes.js';
import { HistoryRule } from '../HistoryTypes.js';

/**
 * What a resend is told that is refused before its claim is looked at is an open question of the design,
 * told in docs/proof/histories.md; HISTORY_STRICT=1 holds the runs to this rule too.
 */
export const UNENFORCED_RULES: ReadonlySet<HistoryRuleName> = new Set(
  process.env.HISTORY_STRICT === '1' ? [] : [HistoryRule.TrueRunOfKey],
);

const FIRST_REQUEST = 800;
const LAST_REQUEST = 8500;
const LAST_FAULT = 6000;
const LAST_CHANGE = 6000;
const LONGEST_FAULT = 5000;
const MOST_REQUESTS = 28;
const MOST_TOKENS = 60;
const MOST_CHANGES = 3;
/** A fault is left out of one schedule in this many, which is what lets it be shrunk away. */
const FAULT_MISSING = 20;

const faults: fc.Arbitrary<HistoryFault> = fc.record({
  kind: fc.constantFrom(...Object.values(HistoryFaultKind)),
  at: fc.integer({ min: FIRST_REQUEST, max: LAST_FAULT }),
  duration: fc.integer({ min: 100, max: LONGEST_FAULT }),
  target: fc.nat(23),
});

const requests: fc.Arbitrary<HistoryRequest> = fc.record({
  work: fc.constantFrom(...Object.values(HistoryRequestKind)),
  at: fc.integer({ min: FIRST_REQUEST, max: LAST_REQUEST }),
  tokens: fc.integer({ min: 1, max: MOST_TOKENS }),
  instance: fc.nat(2),
});

/** Schedules with `count` faults. */
export function createScheduleArbitrary(count: number): fc.Arbitrary<HistorySchedule> {
  const some = Array.from({ length: count }, () => fc.option(faults, { freq: FAULT_MISSING }));
  return fc.record({
    seed: fc.nat(2 ** 30),
    requests: fc.array(requests, { minLength: 1, maxLength: MOST_REQUESTS, size: 'max' }),
    changes: fc.array(fc.integer({ min: FIRST_REQUEST, max: LAST_CHANGE }), {
      maxLength: MOST_CHANGES,
    }),
    faults: fc.tuple(...some).map((drawn) => drawn.filter((fault) => fault !== null)),
  });
}
