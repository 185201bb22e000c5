import { expect } from 'chai';
import type { SlownessBed } from './RelaySlownessBed.js';
import { createSlownessBed, INSTANCES } from './RelaySlownessBed.js';

const ONSET = 12_000;
const END = 20_000;
const FACTOR = 6;
const SEEDS = [1, 2];
const TENTH = ['e0-0', 'e1-3', 'e3-2'];
const CHAIN = ['e0-0', 'e1-0', 'e2-0', 'e3-0', 'e4-0'];

function runSlowdown(bed: SlownessBed, engines: readonly string[]): SlownessBed {
  bed.advanceTo(ONSET);
  bed.setSlow(engines, FACTOR);
  bed.advanceTo(END);
  bed.setSlow(engines, 1);
  bed.advanceTo(END + 5000);
  return bed;
}

/** Part of the work of these engines that new requests of a period still give them. */
function getRemainingPart(
  bed: SlownessBed,
  engines: readonly string[],
  from: number,
  to: number,
): number {
  return bed.getPart(engines, from, to) / bed.getPart(engines, 4000, ONSET);
}

/** The lowest speed that an instance of some assumed for any engine, sampled over a period. */
function getLowestSpeed(
  bed: SlownessBed,
  instances: readonly number[],
  from: number,
  to: number,
): number {
  let lowest = 1;
  for (let at = from; at <= to; at += 200) {
    bed.advanceTo(at);
    for (const i of instances) {
      lowest = Math.min(lowest, ...bed.listSpeeds(i).values());
    }
  }
  return lowest;
}

const ALL = Array.from({ length: INSTANCES }, (_, i) => i);

describe('RelaySlowness', () => {
  it('leaves new requests to slow engines in proportion to their speed, one second after they turned slow', () => {
    SEEDS.forEach((seed) => {
      const bed = runSlowdown(createSlownessBed({ seed }), TENTH);
      const second = getRemainingPart(bed, TENTH, ONSET + 1000, ONSET + 2000);
      expect(second, `seed ${seed}`).to.be.at.most(1 / FACTOR);
      expect(getRemainingPart(bed, TENTH, ONSET + 1000, END), `seed ${seed}`).to.be.below(0.25);
      // Three seconds after the end they have their part again.
      expect(getRemainingPart(bed, TENTH, END + 3000, END + 5000)).to.be.above(0.6);
    });
  });

  it('does so when all engines of one chain turn slow at once', () => {
    SEEDS.forEach((seed) => {
      const bed = runSlowdown(createSlownessBed({ seed }), CHAIN);
      const second = getRemainingPart(bed, CHAIN, ONSET + 1000, ONSET + 2000);
      expect(second, `seed ${seed}`).to.be.at.most(1 / FACTOR);
      expect(getRemainingPart(bed, CHAIN, ONSET + 1000, END), `seed ${seed}`).to.be.below(0.25);
      expect(getRemainingPart(bed, CHAIN, END + 3000, END + 5000)).to.be.above(0.6);
    });
  });

  it('is of use: by ejection alone, slow engines keep more than half of their part', () => {
    // Guards against a load test that passes because requests leave slow engines anyway.
    const bed = runSlowdown(createSlownessBed({ seed: 1, isMemoryShared: false }), TENTH);
    expect(getRemainingPart(bed, TENTH, ONSET + 1000, END)).to.be.above(0.5);
    expect(ALL.every((i) => bed.listSpeeds(i).size === 0)).to.equal(true);
  });

  it('blames no engine while an instance itself is slow, at that instance and at the others', () => {
    const bed = createSlownessBed({ seed: 3, getOwnDelay: (i) => (i === 4 ? 80 : 0) });
    expect(getLowestSpeed(bed, [3, 4, 5], 3000, 12_000)).to.be.at.least(0.6);
  });

  it('takes little from healthy engines when one instance reports all of them as slow', () => {
    const bed: SlownessBed = createSlownessBed({
      seed: 3,
      forgeReport: (i, work) =>
        i === 5 ? { ...work, slow: bed.engines.map((engine) => ({ engine, factor: 1e9 })) } : work,
    });
    expect(getLowestSpeed(bed, [3, 4, 6], 3000, 12_000)).to.be.at.least(0.6);
  });

  it('uses engines fully again some seconds after the last report, when reports stop', () => {
    // Guards against stale reports that keep healthy engines empty.
    let isConnected = true;
    const bed = createSlownessBed({ seed: 3, isConnected: () => isConnected });
    bed.advanceTo(ONSET);
    bed.setSlow(TENTH, FACTOR);
    bed.advanceTo(ONSET + 2000);
    expect(bed.listSpeeds(7).get('e0-0')).to.be.below(0.35);
    isConnected = false;
    bed.setSlow(TENTH, 1);
    bed.advanceTo(ONSET + 8000);
    TENTH.forEach((engine) => expect(bed.listSpeeds(7).get(engine) ?? 1).to.be.above(0.7));
  });
});
