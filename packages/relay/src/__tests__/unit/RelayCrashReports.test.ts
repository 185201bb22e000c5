import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createCrashBed } from './RelayCrashBed.js';
import { createCrashFleet, SOUND_LINKS } from './RelayCrashFleet.js';

const RESEND_PERIOD: Millis = 700;
const SETTLE_TIME: Millis = 5000;
/** Engines that such a request may cost the whole fleet: two show it, and one may begin before the others know. */
const MOST_ENGINES = 3;

/** Sendings of one request in a test of the whole fleet. */
const SENDINGS = 40;
/** Time after the third crash within which each instance must know of it. */
const STABLE_TIME: Millis = 3000;
/** Three engines show it, and three further runs are allowed. */
const MOST_CRASHES = 6;
/** What an instance may receive for control in five seconds. */
const MOST_BYTES = 20_000;

describe('RelayCrashReports', () => {
  it('lets a request that crashes its engines cost a fleet of seven instances three engines', async () => {
    // Guards against each instance of the fleet finding out by itself, with engines of its own.
    const { bed, runs } = createCrashBed();
    const instances = Array.from({ length: 7 }, (_, i) => `i${i}`);
    instances.forEach((id) => bed.start(id));
    await bed.timers.advanceToAsync(SETTLE_TIME);
    for (let i = 0; i < 3 * instances.length; i++) {
      bed.call(instances[i % instances.length] ?? '', '/letters/crash');
      await bed.timers.advanceToAsync(SETTLE_TIME + (i + 1) * RESEND_PERIOD);
    }
    expect(runs.map(({ engine }) => engine)).to.have.length.at.most(MOST_ENGINES);
  });

  [7, 680].forEach((size) => {
    it(`bounds the engines that such a request costs ${size} instances whose reports are lost, late and repeated`, async () => {
      // Guards against a bound that grows with the fleet, or that holds only while each report arrives at once.
      for (const seed of size === 7 ? [1, 2, 3, 4, 5, 6] : [1]) {
        const fleet = createCrashFleet(size, seed, { lost: 0.3, delay: 200, repeated: 0.2 });
        for (let i = 0; i < SENDINGS; i++) {
          fleet.runCrashing(fleet.random.nextInt(size), 'p', 10);
          if (i % 10 === 9) {
            fleet.restart(fleet.random.nextInt(size));
          }
          await fleet.timers.advanceToAsync((i + 1) * RESEND_PERIOD);
        }
        const [, , third = Infinity] = fleet.crashTimes;
        const late = fleet.crashTimes.filter((at) => at > third + STABLE_TIME);
        expect(late, `seed ${seed}`).to.deep.equal([]);
        expect(fleet.crashTimes, `seed ${seed}`).to.have.length.at.most(MOST_CRASHES);
        expect(new Set(fleet.judge('p')), `seed ${seed}`).to.deep.equal(new Set(['condemned']));
      }
    });
  });

  it('tells an instance that starts later of the requests that crash engines', async () => {
    // Guards against an instance that has forgotten them at its restart and loses two engines of its own.
    const fleet = createCrashFleet(12, 1, SOUND_LINKS);
    fleet.runCrashing(0, 'p', 0);
    fleet.runCrashing(1, 'p', 0);
    await fleet.timers.advanceToAsync(2000);
    for (let i = 0; i < 24; i++) {
      fleet.restart(0);
      await fleet.timers.advanceToAsync(2000 + 300 * (i + 1));
      expect(new Set(fleet.judge('p'))).to.deep.equal(new Set(['condemned']));
    }
  });

  it('sends the suspects of a lost rack to few instances', async () => {
    // Guards against a lost rack whose thousands of bystanders are sent to each instance of the fleet.
    const fleet = createCrashFleet(200, 1, SOUND_LINKS);
    for (let i = 0; i < 20; i++) {
      fleet.runCrashing(i, `own ${i}`, 130);
    }
    await fleet.timers.advanceToAsync(5000);
    const median = fleet.listBytes().sort((a, b) => a - b)[100] ?? 0;
    expect(median).to.be.at.most(MOST_BYTES);
  });
});
