import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createCutBed } from './RelayCutBed.js';
import type { SentCall } from './RelayPartsBed.js';

const SEEDS = Number(process.env.SOAK_SEEDS ?? 6);
const ROUNDS = 500;
const MOST_PERIOD: Millis = 60;
const SETTLE_TIME: Millis = 5000;
const PLAIN_TIME: Millis = 600;
const MODEL_TIME: Millis = 5000;
const NOT_RUN = 503;
const PATHS = ['/letters/', '/statements/', '/receipts/'];

/** Cuts, servers that are down and instances that are gone come and go in series that overlap. */
async function play(seed: number) {
  const random = createRandom(seed);
  const size = 3 + random.nextInt(10);
  const fleet = createCutBed(size);
  const { bed, ids, down } = fleet;
  const sent: SentCall[] = [];
  await bed.timers.advanceToAsync(SETTLE_TIME);
  for (let i = 0; i < ROUNDS; i++) {
    if (random.nextFloat() < 0.02) {
      const mode = random.nextFloat() < 0.5 ? 'hang' : 'reset';
      fleet.cutOff(
        ids.filter(() => random.nextFloat() < 0.5),
        mode,
      );
    }
    if (random.nextFloat() < 0.02) {
      fleet.heal();
    }
    if (random.nextFloat() < 0.02) {
      down.clear();
      down.add(`p${random.nextInt(3)}`);
    }
    if (random.nextFloat() < 0.02) {
      bed.gone.clear();
      bed.gone.add(ids[random.nextInt(size)] ?? '');
    }
    const path = `${PATHS[random.nextInt(PATHS.length)] ?? ''}${i}-`;
    const time = path.startsWith('/letters/') ? MODEL_TIME : PLAIN_TIME;
    sent.push(bed.submit(ids[random.nextInt(size)] ?? '', path, time));
    await bed.timers.advanceToAsync(bed.timers.now() + MOST_PERIOD * random.nextFloat());
  }
  fleet.heal();
  await bed.timers.advanceToAsync(bed.timers.now() + 2 * MODEL_TIME);
  return { sent, served: fleet.served };
}

describe('Links that are cut and restored at random', () => {
  it('run no call twice that must not, answer each once, and tell truthfully what has not run', async () => {
    // Guards against a call that is given to a second instance though the first may have sent it, or told as not run.
    for (let seed = 1; seed <= SEEDS; seed++) {
      const { sent, served } = await play(seed);
      for (const { path, ends, aborts, refusals } of sent) {
        const runs = served.filter(({ request }) => request.includes(path)).length;
        const where = `${path} seed ${seed}`;
        expect(ends.length + aborts.length + refusals.length, where).to.equal(1);
        if (path.startsWith('/receipts/')) {
          expect(runs, where).to.be.at.most(1);
        }
        if (refusals.some(({ status }) => status === NOT_RUN)) {
          expect(runs, where).to.equal(0);
        }
      }
    }
  });
});
