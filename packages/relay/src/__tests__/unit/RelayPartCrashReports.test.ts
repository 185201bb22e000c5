import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LinkFaults, PartRun } from './RelayCrashFleet.js';
import { createCrashFleet, SOUND_LINKS } from './RelayCrashFleet.js';

const PERIOD: Millis = 20;
/** One request in so many holds the part that crashes engines. */
const BAD_PERIOD = 8;
const PLAY_TIME: Millis = 20_000;
/** Requests that wait on an engine that ends, at as many instances. */
const BESIDES = 10;
const SHOWING_CRASHES = 5;
const MOST_LATE_RUNS = 3;
/** Time after the fifth crash from which further runs are late. */
const STABLE_TIME: Millis = 3000;
/** Share of the sound requests that may wait for a trial. */
const MOST_HELD = 0.05;
/** What an instance may receive for control, in bytes a second. */
const MOST_BYTES = 4000;

async function play(size: number, seed: number, links: LinkFaults) {
  const fleet = createCrashFleet(size, seed, links);
  const { random, timers } = fleet;
  const drawSound = (): string[] => [
    'first',
    `common-${random.nextInt(6)}`,
    `session-${random.nextInt(400)}`,
  ];
  const sound: PartRun[] = [];
  for (let i = 0; timers.now() < PLAY_TIME; i++) {
    if (i % BAD_PERIOD === 0) {
      const parts = ['first', 'bad', `common-${random.nextInt(6)}`];
      void fleet.runWithParts(
        random.nextInt(size),
        parts,
        Array.from({ length: BESIDES }, drawSound),
      );
    }
    void fleet.runWithParts(random.nextInt(size), drawSound(), null).then((run) => sound.push(run));
    await timers.advanceToAsync(timers.now() + PERIOD);
  }
  return { fleet, sound };
}

describe('Reports of parts that crash engines', () => {
  function check({ fleet, sound }: Awaited<ReturnType<typeof play>>): void {
    const fifth = fleet.crashTimes[SHOWING_CRASHES - 1] ?? Infinity;
    const late = fleet.crashTimes.filter((at) => at > fifth + STABLE_TIME);
    expect(late.length, 'late').to.be.at.most(MOST_LATE_RUNS);
    expect(sound.filter((run) => run === 'refused').length, 'refused').to.equal(0);
    const held = sound.filter((run) => run === 'held').length / sound.length;
    expect(held, 'share held').to.be.below(MOST_HELD);
  }

  /** Bytes a second that each instance received, fewest first. */
  function listBytes({ fleet }: Awaited<ReturnType<typeof play>>): readonly number[] {
    return fleet
      .listBytes()
      .map((bytes) => bytes / (PLAY_TIME / 1000))
      .sort((a, b) => a - b);
  }

  [1, 7, 680].forEach((size) => {
    it(`bound the engines that a part costs ${size} instances, and refuse no request without it`, async () => {
      // Guards against a bound that grows with the fleet, as each instance sees a small share of the crashes and begins.
      const report = await play(size, 1, SOUND_LINKS);
      check(report);
      expect(report.fleet.crashTimes.length, 'crashes').to.be.at.most(SHOWING_CRASHES);
      expect(listBytes(report).at(-1)).to.be.at.most(MOST_BYTES);
    });

    it(`do so while the reports of ${size} instances are lost, late and repeated`, async () => {
      // Guards against a bound that holds only while each report and each grant arrives at once.
      const report = await play(size, 1, { lost: 0.3, delay: 200, repeated: 0.2 });
      check(report);
      expect(listBytes(report)[Math.floor(size / 2)]).to.be.at.most(MOST_BYTES);
    });
  });
});
