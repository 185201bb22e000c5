import { expect } from 'chai';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ServedShares } from './RoomLoadBed.js';
import { simulateBurst } from './RoomLoadBed.js';

const SEEDS = [1, 2, 3];

function average(runs: readonly ServedShares[]): ServedShares {
  return (priority: PriorityName, from: Millis, to: Millis) =>
    runs.reduce((sum, served) => sum + served(priority, from, to), 0) / runs.length;
}

describe('Load of the least important kind at four times its rate for nine seconds', () => {
  it('collapses the service of all kinds, beyond its end, without admission by memory', () => {
    // Guards against a test that passes because its load would harm nobody.
    const served = average(SEEDS.map((seed) => simulateBurst(false, seed)));
    expect(served('urgent', 5000, 8000)).to.be.above(0.95);
    expect(served('urgent', 11_000, 17_000)).to.be.below(0.6);
    expect(served('urgent', 11_000, 17_000)).to.be.below(served('normal', 11_000, 17_000));
    expect(served('urgent', 17_000, 21_000)).to.be.below(0.85);
  });

  it('leaves the important kinds served, and all kinds soon after, with admission by memory', () => {
    // Guards against congestion collapse: preempted and repeated requests that keep engines out of memory.
    const served = average(SEEDS.map((seed) => simulateBurst(true, seed)));
    expect(served('normal', 5000, 8000)).to.be.above(0.95);
    expect(served('urgent', 8000, 17_000)).to.be.above(0.9);
    expect(served('high', 8000, 17_000)).to.be.above(0.85);
    expect(served('urgent', 17_000, 21_000)).to.be.above(0.95);
    expect(served('high', 19_000, 23_000)).to.be.above(0.92);
    // The callers that were refused in the burst have returned by then.
    expect(served('normal', 26_000, 30_000)).to.be.above(0.8);
  });
});
