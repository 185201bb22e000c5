import { expect } from 'chai';
import fc from 'fast-check';
import { CallFate, COMMON_FAULTS, listFates, type CallFateName } from '../../FakeFates.js';
import { findFaultyPlans } from '../../FakeShutdown.js';
import { playHolderPlan, type HolderOperation, type HolderPlan } from './StoreLeaseBed.js';

const { Answered, Refused, Lapsed } = CallFate;
const FAULTY: Readonly<Record<HolderOperation, readonly CallFateName[]>> = {
  acquire: COMMON_FAULTS,
  renew: [...COMMON_FAULTS, Lapsed],
  release: [...COMMON_FAULTS, Lapsed],
};
/** Stops before the call arrives, before its answer, after its answer, and after its timeout. */
const STOP_DELAYS = [10, 40, 500, 900];
const STOPS = (['acquire', 'renew'] as const).flatMap((after) =>
  STOP_DELAYS.map((delay) => ({ after, delay })),
);
const OUTAGES = [400, 900].map((time) => ({ from: 0, time }));
const LATE_DELAYS = [1300, 3000];
const SEEDS = [1, 2, 3];
const RUNS_PER_SEED = 400;

function drawFates(op: HolderOperation): fc.Arbitrary<CallFateName[]> {
  return fc.array(fc.constantFrom<CallFateName>(Answered, ...FAULTY[op]), { maxLength: 4 });
}

const drawnPlan: fc.Arbitrary<HolderPlan> = fc.record(
  {
    fates: fc.record({
      acquire: drawFates('acquire'),
      renew: drawFates('renew'),
      release: drawFates('release'),
    }),
    stop: fc.record({
      after: fc.constantFrom<HolderOperation>('acquire', 'renew'),
      delay: fc.integer({ min: 0, max: 2500 }),
      count: fc.integer({ min: 1, max: 3 }),
    }),
    lateDelay: fc.constantFrom(...LATE_DELAYS),
    outage: fc.record({
      from: fc.integer({ min: 0, max: 2000 }),
      time: fc.integer({ min: 0, max: 5000 }),
      isAbsolute: fc.boolean(),
    }),
  },
  { requiredKeys: ['fates', 'stop'] },
);

describe('the end of a lease holder', () => {
  it('frees its lease whatever becomes of two of its calls, wherever the stop comes', async () => {
    // Guards against a stopped holder whose lease keeps others waiting until it lapses.
    const plans = listFates(FAULTY).flatMap((fates) => STOPS.map((stop) => ({ fates, stop })));
    expect(await findFaultyPlans(plans, playHolderPlan)).to.deep.equal([]);
  });

  it('frees its lease after an outage that begins with the stop', async () => {
    // Guards against a release that is given up before the store answers again.
    const fates = listFates(FAULTY).filter((each) => Object.values(each).flat().length < 2);
    const plans = fates.flatMap((each) =>
      STOPS.flatMap((stop) => OUTAGES.map((outage) => ({ fates: each, stop, outage }))),
    );
    expect(await findFaultyPlans(plans, playHolderPlan)).to.deep.equal([]);
  });

  for (const seed of SEEDS) {
    it(`frees its lease after longer sequences of faults and outages (seed ${seed})`, async () => {
      // Guards against a lease that only several faults in a row hide from the stop.
      await fc.assert(
        fc.asyncProperty(drawnPlan, async (plan) => {
          expect(await playHolderPlan(plan)).to.deep.equal([]);
        }),
        { seed, numRuns: RUNS_PER_SEED },
      );
    });
  }

  it('frees a lease that it no longer relied on before the stop', async () => {
    // Guards against a lease that outlives the stop because the holder forgot it some seconds before it lapses.
    const plans = [6500, 7500, 8400].map((delay): HolderPlan => ({
      fates: {},
      stop: { after: 'acquire', delay },
      outage: { from: 1000, time: 5400, isAbsolute: true },
    }));
    expect(await findFaultyPlans(plans, playHolderPlan)).to.deep.equal([]);
  });

  it('frees a lease that it no longer relied on when the store refuses the next one', async () => {
    // Guards against a stop that waits for the acquisition under way and forgets the lease before it.
    const plans = STOP_DELAYS.map((delay): HolderPlan => ({
      fates: { acquire: [Answered, Refused] },
      stop: { after: 'acquire', delay, count: 2 },
      outage: { from: 1000, time: 5400, isAbsolute: true },
    }));
    expect(await findFaultyPlans(plans, playHolderPlan)).to.deep.equal([]);
  });
});
