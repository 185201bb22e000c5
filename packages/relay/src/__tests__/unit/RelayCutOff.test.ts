import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { CutMode } from './RelayCutBed.js';
import { createCutBed } from './RelayCutBed.js';
import type { SentCall } from './RelayPartsBed.js';

const SETTLE_TIME: Millis = 5000;
const CUT_TIME: Millis = 12_000;
/** Time after which a cut must no longer be felt by callers. */
const STABLE_TIME: Millis = 3000;
const PERIOD: Millis = 25;
const PLAIN_TIME: Millis = 600;
const MODEL_TIME: Millis = 5000;
/** Of the first tries at instances that are cut off, so many may fail: the target is two thirds of those elsewhere. */
const MOST_FAILED_SHARE = 1 / 50;

interface Case {
  readonly size: number;
  readonly cut: number;
  readonly mode: CutMode;
}

const PATHS = ['/letters/', '/statements/', '/receipts/'];

async function play({ size, cut, mode }: Case, seed: number) {
  const random = createRandom(seed);
  const fleet = createCutBed(size);
  const { bed, ids } = fleet;
  const { timers } = bed;
  const sent: SentCall[] = [];

  async function sendUntil(endsAt: Millis): Promise<void> {
    while (timers.now() < endsAt) {
      const path = `${PATHS[random.nextInt(PATHS.length)] ?? ''}${sent.length}`;
      const time = path.startsWith('/letters/') ? MODEL_TIME : PLAIN_TIME;
      sent.push(bed.submit(ids[random.nextInt(size)] ?? '', path, time));
      await timers.advanceToAsync(timers.now() + PERIOD);
    }
  }

  await timers.advanceToAsync(SETTLE_TIME);
  await sendUntil(SETTLE_TIME + 2000);
  const cutAt = timers.now();
  const isolated = ids.slice(0, cut);
  fleet.cutOff(isolated, mode);
  await sendUntil(cutAt + CUT_TIME);
  fleet.heal();
  const healedAt = timers.now();
  await sendUntil(healedAt + 2 * STABLE_TIME);
  await timers.advanceToAsync(timers.now() + MODEL_TIME);
  return { ...fleet, sent, cutAt, healedAt, isolated };
}

const CASES: readonly Case[] = [
  { size: 7, cut: 4, mode: 'hang' },
  { size: 7, cut: 4, mode: 'reset' },
  { size: 7, cut: 6, mode: 'hang' },
  { size: 21, cut: 7, mode: 'hang' },
  { size: 21, cut: 17, mode: 'reset' },
];

describe('An instance that reaches no backend server while its peers do', () => {
  // Guards against callers that are refused, or wait until their deadline, at an instance whose own links are cut.
  CASES.forEach((one) => {
    const { size, cut, mode } = one;
    it(`serves its callers at the first try: ${cut} of ${size} instances, ${mode}`, async () => {
      for (const seed of [1, 2]) {
        const { sent, cutAt, healedAt, isolated } = await play(one, seed);
        for (const prefix of PATHS) {
          const tried = sent.filter(
            ({ id, at, path }) =>
              path.startsWith(prefix) &&
              isolated.includes(id) &&
              at > cutAt + STABLE_TIME &&
              at < healedAt,
          );
          const failed = tried.filter(({ ends }) => ends.length === 0);
          expect(failed.length, `${prefix} of ${tried.length}, seed ${seed}`).to.be.at.most(
            MOST_FAILED_SHARE * tried.length,
          );
        }
      }
    });
  });

  it('harms none of the others by what it believes meanwhile', async () => {
    // Guards against engines that the others avoid, and requests that they refuse, on the word of one that is cut off.
    for (const mode of ['hang', 'reset'] as const) {
      const { sent, cutAt, isolated } = await play({ size: 7, cut: 4, mode }, 3);
      const others = sent.filter(({ id, at }) => !isolated.includes(id) && at > cutAt);
      const refused = others.flatMap(({ path, refusals }) =>
        refusals.map(({ status, reason }) => `${path} ${status} ${reason}`),
      );
      expect(refused).to.deep.equal([]);
    }
  });

  it('goes back to its own links once they carry again', async () => {
    // Guards against a way through other instances that is kept for good.
    const { served, isolated, healedAt, sent } = await play({ size: 7, cut: 4, mode: 'hang' }, 4);
    const late = sent.filter(({ id, at }) => isolated.includes(id) && at > healedAt + STABLE_TIME);
    const runs = late.flatMap(({ path }) => served.filter(({ request }) => request.endsWith(path)));
    expect(late).to.not.have.length(0);
    expect(runs.filter(({ by }) => !isolated.includes(by))).to.deep.equal([]);
    expect(runs.length).to.be.at.least(late.length);
  });
});
