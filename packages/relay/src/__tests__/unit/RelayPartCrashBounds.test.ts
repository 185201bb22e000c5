import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { PartCrashCase, PartCrashReport } from './RelayPartCrashPlay.js';
import { computeServedShare, listCrashTimes, playPartCrashes } from './RelayPartCrashPlay.js';

/** Crashes that show a part, and requests with it that may reach engines afterwards. */
const SHOWING_CRASHES = 5;
const MOST_LATE_RUNS = 3;
/** Time after that crash from which further runs are late. */
const STABLE_TIME: Millis = 3000;
/** Share of the sound requests that are still served, of those served before. */
const LEAST_SERVED = 0.9;

function checkBounds({ badRuns }: PartCrashReport): void {
  for (const part of new Set(badRuns.map((run) => run.part))) {
    const fifth = listCrashTimes(badRuns, part)[SHOWING_CRASHES - 1] ?? Infinity;
    const late = badRuns.filter((run) => run.part === part && run.at > fifth + STABLE_TIME);
    expect(late.length, part).to.be.at.most(MOST_LATE_RUNS);
  }
}

/** From twice the stable time after the last part was shown, sound requests are served as before. */
function checkServed({ badRuns, sound, startsAt }: PartCrashReport): void {
  const parts = [...new Set(badRuns.map(({ part }) => part))];
  const shownAt = parts.map((part) => {
    const times = listCrashTimes(badRuns, part);
    return times[SHOWING_CRASHES - 1] ?? times.at(-1) ?? 0;
  });
  const before = computeServedShare(sound, 0, startsAt);
  const after = computeServedShare(sound, Math.max(...shownAt) + 2 * STABLE_TIME, Infinity);
  expect(before, 'before').to.be.above(LEAST_SERVED);
  expect(after, 'after').to.be.above(LEAST_SERVED * before);
}

const ONE: PartCrashCase = {
  instances: 7,
  domains: 3,
  badParts: 1,
  place: 1,
  parts: 2,
  copies: 1,
  period: 400,
};

const CASES: readonly PartCrashCase[] = [
  { ...ONE, instances: 1, domains: 1 },
  ONE,
  { ...ONE, place: 0 },
  { ...ONE, place: 5, parts: 7 },
  { ...ONE, copies: 7, period: 1500 },
  { ...ONE, badParts: 3, place: 2, parts: 4, period: 300 },
  { ...ONE, instances: 24, domains: 4, badParts: 2, parts: 3, period: 130 },
  { ...ONE, instances: 24, domains: 4, place: 2, parts: 3, copies: 24, period: 2500 },
];

describe('Bound on the engines that a part of a prompt crashes', () => {
  // Guards against requests, no two alike, that each cost an engine since nobody knows what they have in common, and
  // against sound requests that are refused for the other parts that they share with them.
  CASES.forEach((one) => {
    const { instances, domains, badParts, place, parts, copies, period } = one;
    const what = `${badParts} at place ${place + 1} of ${parts + 1}, ${copies} each ${period} ms`;
    it(`holds for ${what}, ${instances} instances, ${domains} failure domains`, async () => {
      for (const seed of [1, 2]) {
        const report = await playPartCrashes(one, seed);
        checkBounds(report);
        checkServed(report);
      }
    });
  });
});
