import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RelayRefusal } from '../../RelayTypes.js';
import type { CrashingRun } from './RelayPlainCrashBed.js';
import { CRASH_DELAY, createPlainCrashBed } from './RelayPlainCrashBed.js';

const SETTLE_TIME: Millis = 5000;
const ROUNDS = 400;
/** Longest time between two harmless calls; with some of them one that crashes servers comes too. */
const MOST_PERIOD: Millis = 100;
const CRASHING_SHARE = 1 / 3;
/** Contents of harmless calls: they come again and again, as those that crash servers do. */
const CONTENTS = 8;
/** Three servers show it, and three further runs are allowed, whatever the fleet. */
const MOST_SERVERS = 6;
const MOST_LATE_RUNS = 3;
/** Time after the third crash from which further runs are late. */
const STABLE_TIME: Millis = 3000;

interface Case {
  readonly instances: number;
  readonly domains: number;
  /** Number of calls that crash servers. */
  readonly crashing: number;
  /** Copies of such a call that are sent at once. */
  readonly copies: number;
  readonly route: 'statements' | 'receipts';
}

interface Sent {
  readonly path: string;
  readonly refusals: readonly RelayRefusal[];
}

/** Sends calls to random instances; returns the runs that crashed servers, and the refusals of all other calls. */
async function play({ instances, domains, crashing, copies, route }: Case, seed: number) {
  const random = createRandom(seed);
  const names = Array.from({ length: domains }, (_, i) => `d${i + 1}`);
  const ids = Array.from({ length: instances }, (_, i) => `i${i}`);
  const { bed, runs, call } = createPlainCrashBed(names, () => random.nextFloat());
  const drawInstance = (): string => ids[random.nextInt(instances)] ?? '';
  ids.forEach((id, i) => bed.start(id, bed.store, names[i % domains]));
  await bed.timers.advanceToAsync(SETTLE_TIME);
  const harmless: Sent[] = [];
  for (let i = 0; i < ROUNDS; i++) {
    if (random.nextFloat() < CRASHING_SHARE) {
      const path = `/${route}/crash-${random.nextInt(crashing)}`;
      Array.from({ length: copies }, () => call(drawInstance(), path));
    }
    const kind = random.nextFloat() < 1 / 4 ? 'reset' : 'calm';
    const path = `/statements/${kind}-${random.nextInt(CONTENTS)}`;
    harmless.push({ path, refusals: call(drawInstance(), path) });
    await bed.timers.advanceToAsync(bed.timers.now() + MOST_PERIOD * random.nextFloat());
  }
  await bed.timers.advanceToAsync(bed.timers.now() + SETTLE_TIME);
  return { runs, harmless };
}

function checkBounds(runs: readonly CrashingRun[]): void {
  for (const path of new Set(runs.map((run) => run.path))) {
    const own = runs.filter((run) => run.path === path);
    const crashes = [...new Map(own.map((run) => [run.server, run.at + CRASH_DELAY])).values()];
    const [, , third = Infinity] = crashes.sort((a, b) => a - b);
    const late = own.filter(({ at }) => at > third + STABLE_TIME);
    expect(crashes.length, path).to.be.at.most(MOST_SERVERS);
    expect(late.length, path).to.be.at.most(MOST_LATE_RUNS);
  }
}

/** A harmless call may fail with its server; nothing may refuse it for what the calls beside it do. */
function checkRefusals(harmless: readonly Sent[]): void {
  const unjust = harmless.flatMap(({ path, refusals }) =>
    refusals
      .filter(({ reason }) => reason.includes('poison') || reason.includes('suspected'))
      .map(({ reason }) => `${path}: ${reason}`),
  );
  expect(unjust).to.deep.equal([]);
}

const CASES: readonly Case[] = [
  { instances: 1, domains: 1, crashing: 1, copies: 1, route: 'statements' },
  { instances: 7, domains: 1, crashing: 1, copies: 1, route: 'statements' },
  { instances: 7, domains: 3, crashing: 2, copies: 1, route: 'statements' },
  { instances: 7, domains: 3, crashing: 2, copies: 1, route: 'receipts' },
  { instances: 24, domains: 4, crashing: 4, copies: 1, route: 'statements' },
  { instances: 7, domains: 3, crashing: 2, copies: 7, route: 'statements' },
  { instances: 24, domains: 4, crashing: 2, copies: 7, route: 'receipts' },
];

describe('Bound on the servers of a plain service that a call crashes', () => {
  // Guards against calls to plain services that no instance counts as the cause of a crash, and against harmless calls
  // that are refused for those beside them or for connections that were reset.
  CASES.forEach((one) => {
    const { instances, domains, crashing, copies, route } = one;
    const where = `${instances} instances, ${domains} failure domains`;
    it(`holds for ${crashing} calls of ${route}, ${copies} at once, ${where}`, async () => {
      for (const seed of [1, 2, 3]) {
        const { runs, harmless } = await play(one, seed);
        checkBounds(runs);
        checkRefusals(harmless);
      }
    });
  });

  it('refuses no call of a quiet service whose connections are reset again and again', async () => {
    // Guards against resets that count as crashes where no other call shows that the servers live.
    const { bed, call } = createPlainCrashBed(['d1'], () => 0);
    bed.start('i0');
    await bed.timers.advanceToAsync(SETTLE_TIME);
    const harmless: Sent[] = [];
    for (let i = 0; i < 20; i++) {
      const path = '/statements/reset';
      harmless.push({ path, refusals: call('i0', path) });
      await bed.timers.advanceToAsync(bed.timers.now() + 300);
    }
    checkRefusals(harmless);
  });
});
