import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RelayRefusal } from '../../RelayTypes.js';
import type { CrashingRun } from './RelayCrashBed.js';
import { CRASH_DELAY, createCrashBed } from './RelayCrashBed.js';

const SETTLE_TIME: Millis = 5000;
const ROUNDS = 400;
/** Longest time between two harmless requests; with some of them one that crashes engines comes too. */
const MOST_PERIOD: Millis = 100;
const CRASHING_SHARE = 1 / 3;
const RACK_SIZE = 6;
/** One harmless request in so many comes at the moment at which a rack is lost. */
const RACK_SHARE = 1 / 80;
/** Three engines show it, and three further runs are allowed: one number, whatever the fleet. */
const MOST_ENGINES = 6;
const MOST_LATE_RUNS = 3;
/** Time after the third crash from which further runs are late. */
const STABLE_TIME: Millis = 3000;

interface Case {
  readonly instances: number;
  readonly domains: number;
  /** Number of requests that crash engines. */
  readonly crashing: number;
  readonly losesRacks: boolean;
}

/** Sends requests to random instances; returns the runs that crashed engines, and the refusals of all other requests. */
async function play({ instances, domains, crashing, losesRacks }: Case, seed: number) {
  const random = createRandom(seed);
  const names = Array.from({ length: domains }, (_, i) => `d${i + 1}`);
  const { bed, runs, loseRack } = createCrashBed(names);
  const ids = Array.from({ length: instances }, (_, i) => `i${i}`);
  const drawInstance = (): string => ids[random.nextInt(instances)] ?? '';
  ids.forEach((id, i) => bed.start(id, bed.store, names[i % domains]));
  await bed.timers.advanceToAsync(SETTLE_TIME);
  const refusals: RelayRefusal[][] = [];
  for (let i = 0; i < ROUNDS; i++) {
    if (random.nextFloat() < CRASHING_SHARE) {
      bed.call(drawInstance(), `/letters/crash-${random.nextInt(crashing)}`);
    }
    if (losesRacks && random.nextFloat() < RACK_SHARE) {
      loseRack(names[random.nextInt(domains)] ?? '', RACK_SIZE);
    }
    refusals.push(bed.call(drawInstance(), `/letters/${i}`));
    await bed.timers.advanceToAsync(bed.timers.now() + MOST_PERIOD * random.nextFloat());
  }
  await bed.timers.advanceToAsync(bed.timers.now() + SETTLE_TIME);
  return { runs, refusals: refusals.flat() };
}

function checkBounds(runs: readonly CrashingRun[]): void {
  for (const path of new Set(runs.map(({ request }) => request))) {
    const own = runs.filter(({ request }) => request === path);
    const crashes = [...new Map(own.map((run) => [run.engine, run.at + CRASH_DELAY])).values()];
    const [, , third = Infinity] = crashes.sort((a, b) => a - b);
    const late = own.filter(({ at }) => at > third + STABLE_TIME);
    expect(crashes.length, path).to.be.at.most(MOST_ENGINES);
    expect(late.length, path).to.be.at.most(MOST_LATE_RUNS);
  }
}

/** A harmless request may fail with its engines, and wait for a chain; nothing else may refuse it. */
function checkRefusals(refusals: readonly RelayRefusal[]): void {
  const unjust = refusals.filter(
    ({ reason }) => reason.includes('poison') || reason.includes('suspected'),
  );
  expect(unjust).to.deep.equal([]);
}

const CASES: readonly Case[] = [
  ...[1, 7].flatMap((instances) =>
    [1, 4].map((crashing) => ({ instances, domains: 1, crashing, losesRacks: false })),
  ),
  { instances: 21, domains: 3, crashing: 4, losesRacks: false },
].flatMap((one) => [one, { ...one, losesRacks: true }]);

describe('Bound on the engines that a request crashes', () => {
  // Guards against a bound that holds for one request, one instance or one failure domain only, and against harmless
  // requests that are refused for those beside them.
  CASES.forEach((one) => {
    const beside = one.losesRacks ? 'beside lost racks' : 'beside harmless ones';
    const where = `${one.instances} instances, ${one.domains} failure domains`;
    it(`holds for ${one.crashing} requests, ${where}, ${beside}`, async () => {
      for (const seed of [1, 2]) {
        const { runs, refusals } = await play(one, seed);
        checkBounds(runs);
        checkRefusals(refusals);
      }
    });
  });
});
