import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createCrashBed } from './RelayCrashBed.js';
import type { PartsBed, SentCall } from './RelayPartsBed.js';
import { createPlainCrashBed } from './RelayPlainCrashBed.js';

const SETTLE_TIME: Millis = 5000;
const SPELL: Millis = 8000;
const PERIOD: Millis = 20;
const READ_TIME: Millis = 5;
/** Time from which the requests at one instance must be served as before. */
const STABLE_TIME: Millis = 3000;
/** Share of the requests that one instance must serve, of those that all served before. */
const LEAST_SERVED = 0.75;
const DOMAINS = ['d1', 'd2', 'd3'];

interface Setup {
  readonly bed: PartsBed;
  readonly path: string;
  readonly timeLeft: Millis;
}

const SETUPS: Readonly<Record<string, () => Setup>> = {
  'a model': () => ({
    bed: createCrashBed(DOMAINS, { isCrashing: () => false, readTime: READ_TIME }).bed,
    path: '/letters/',
    timeLeft: 5000,
  }),
  'a plain service': () => ({
    bed: createPlainCrashBed(DOMAINS, () => 0).bed,
    path: '/statements/',
    timeLeft: 600,
  }),
};

/** Sends requests to all instances for a while, then to one of them only; returns those of both spells. */
async function play({ bed, path, timeLeft }: Setup, instances: number) {
  const { timers } = bed;
  const random = createRandom(1);
  const ids = Array.from({ length: instances }, (_, i) => `i${i}`);
  ids.forEach((id, i) => bed.start(id, bed.store, DOMAINS[i % DOMAINS.length]));
  await timers.advanceToAsync(SETTLE_TIME);
  const spells: SentCall[][] = [];
  for (const receivers of [ids, ids.slice(0, 1)]) {
    const sent: SentCall[] = [];
    const end = timers.now() + SPELL;
    for (let i = 0; timers.now() < end; i++) {
      const id = receivers[random.nextInt(receivers.length)] ?? '';
      sent.push(bed.submit(id, `${path}${spells.length}-${i}`, timeLeft));
      await timers.advanceToAsync(timers.now() + PERIOD);
    }
    spells.push(sent);
  }
  await timers.advanceToAsync(timers.now() + SETTLE_TIME);
  return spells;
}

function computeServed(sent: readonly SentCall[]): number {
  return sent.filter(({ ends }) => ends.length > 0).length / sent.length;
}

describe('Most requests at one instance', () => {
  Object.entries(SETUPS).forEach(([what, createSetup]) => {
    [7, 24].forEach((instances) => {
      it(`are served for ${what} as well as by ${instances} instances together`, async () => {
        // Guards against shares of the fleet's budgets and limits that are fixed, and too small for the one in need.
        const [before = [], after = []] = await play(createSetup(), instances);
        const from = (after[0]?.at ?? 0) + STABLE_TIME;
        const late = after.filter(({ at }) => at >= from);
        expect(computeServed(before), 'before').to.be.above(LEAST_SERVED);
        expect(computeServed(late)).to.be.at.least(LEAST_SERVED * computeServed(before));
      });
    });
  });
});
