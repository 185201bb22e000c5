import { expect } from 'chai';
import fc from 'fast-check';
import {
  CallFate,
  COMMON_FAULTS,
  listFates,
  type CallFateName,
} from '@skylarksail/store/FakeFates';
import { findFaultyPlans } from '@skylarksail/store/FakeShutdown';
import {
  playInstancePlan,
  playKeeperPlan,
  type LeaseOperation,
  type LeasePlan,
} from './RelayLeaseBed.js';

const { Answered, Delayed, Overlong, Lapsed, Throws } = CallFate;
const FAULTY: Readonly<Record<LeaseOperation, readonly CallFateName[]>> = {
  grant: COMMON_FAULTS,
  write: [...COMMON_FAULTS, Lapsed, Throws],
  renew: [...COMMON_FAULTS, Lapsed],
  revoke: COMMON_FAULTS,
};
/** Stops before the call arrives, before its answer, after its answer, and after its timeout. */
const STOP_DELAYS = [10, 40, 500, 900];
const STOPS = (['grant', 'write', 'renew'] as const).flatMap((after) =>
  STOP_DELAYS.map((delay) => ({ after, delay })),
);
const OUTAGES = [400, 900].map((time) => ({ from: 0, time }));
const LATE_DELAYS = [1300, 3000];
const SEEDS = [1, 2, 3];
const RUNS_PER_SEED = 400;

function drawFates(op: LeaseOperation): fc.Arbitrary<CallFateName[]> {
  return fc.array(fc.constantFrom<CallFateName>(Answered, ...FAULTY[op]), { maxLength: 4 });
}

const drawnPlan: fc.Arbitrary<LeasePlan> = fc.record(
  {
    fates: fc.record({
      grant: drawFates('grant'),
      write: drawFates('write'),
      renew: drawFates('renew'),
      revoke: drawFates('revoke'),
    }),
    stop: fc.record({
      after: fc.constantFrom<LeaseOperation>('grant', 'write', 'renew'),
      delay: fc.integer({ min: 0, max: 2500 }),
      count: fc.integer({ min: 1, max: 3 }),
    }),
    lateDelay: fc.constantFrom(...LATE_DELAYS),
    outage: fc.record({
      from: fc.integer({ min: 0, max: 2000 }),
      time: fc.integer({ min: 0, max: 3000 }),
      isAbsolute: fc.boolean(),
    }),
    neededUntil: fc.integer({ min: 0, max: 6000 }),
    starts: fc.array(fc.integer({ min: 0, max: 9000 }), { maxLength: 3 }),
  },
  { requiredKeys: ['fates', 'stop'] },
);

describe('the end of a lease keeper', () => {
  it('frees its keys whatever becomes of two of its calls, wherever the stop comes', async () => {
    // Guards against an instance that has stopped and stays registered until its lease lapses.
    const plans = listFates(FAULTY).flatMap((fates) => STOPS.map((stop) => ({ fates, stop })));
    expect(await findFaultyPlans(plans, playKeeperPlan)).to.deep.equal([]);
  });

  it('frees its keys after an outage that begins with the stop', async () => {
    // Guards against a revocation that is given up before the store answers again.
    const fates = listFates(FAULTY).filter((each) => Object.values(each).flat().length < 2);
    const plans = fates.flatMap((each) =>
      STOPS.flatMap((stop) => OUTAGES.map((outage) => ({ fates: each, stop, outage }))),
    );
    expect(await findFaultyPlans(plans, playKeeperPlan)).to.deep.equal([]);
  });

  for (const seed of SEEDS) {
    it(`frees its keys after longer sequences of faults, outages and starts (seed ${seed})`, async () => {
      // Guards against a lease that only several faults in a row hide from the stop.
      await fc.assert(
        fc.asyncProperty(drawnPlan, async (plan) => {
          expect(await playKeeperPlan(plan)).to.deep.equal([]);
        }),
        { seed, numRuns: RUNS_PER_SEED },
      );
    });
  }

  it('asks for no lease when a renewal finds after the stop that the lease has ended', async () => {
    // Guards against a second lease of a stopped instance, whose end would have to be noticed again.
    const plans = [Lapsed, Delayed].flatMap((fate) =>
      [10, 40].map((delay): LeasePlan => ({
        fates: { renew: [fate] },
        stop: { after: 'renew', delay },
      })),
    );
    expect(await findFaultyPlans(plans, playKeeperPlan)).to.deep.equal([]);
  });

  it('frees the keys of a lease that it no longer needed before the stop', async () => {
    // Guards against a key that stays bound because the keeper dropped its lease without revoking it.
    const plans = [2500, 4000].map((delay): LeasePlan => ({
      fates: {},
      stop: { after: 'grant', delay },
      neededUntil: 1000,
    }));
    expect(await findFaultyPlans(plans, playKeeperPlan)).to.deep.equal([]);
  });

  it('acquires nothing when it is started again, before or after the stop', async () => {
    // Guards against a claim under way at the stop that starts the keeper again.
    const plans = STOPS.map((stop): LeasePlan => ({
      fates: {},
      stop,
      starts: [20, 60, 600, 1500, 2030, 3500],
    }));
    expect(await findFaultyPlans(plans, playKeeperPlan)).to.deep.equal([]);
  });

  it('frees its keys when the grant is answered after its timeout', async () => {
    // Guards against an id that arrives late, after the stop, and that nobody revokes.
    const plans = [10, 500, 900, 1290].map((delay): LeasePlan => ({
      fates: { grant: [Overlong] },
      stop: { after: 'grant', delay },
    }));
    expect(await findFaultyPlans(plans, playKeeperPlan)).to.deep.equal([]);
  });
});

describe('the end of an instance in the store', () => {
  it('frees its entry and its duty while a claim is under way', async () => {
    // Guards against a duty that nobody carries out because a stopped instance's claim was applied at its stop.
    const claims = [Answered, ...FAULTY.write.filter((fate) => fate !== Throws)];
    const ends = [[], ...COMMON_FAULTS.flatMap((fate) => [[fate], [Answered, fate]])];
    const plans = claims.flatMap((claim) =>
      ends.flatMap((revoke) =>
        STOP_DELAYS.map((delay): LeasePlan => ({
          fates: { write: [Answered, claim], revoke },
          stop: { after: 'write', delay, count: 2 },
        })),
      ),
    );
    expect(await findFaultyPlans(plans, playInstancePlan)).to.deep.equal([]);
  });

  it('frees its duty when the stop comes while the lease of the duty is being granted', async () => {
    // Guards against a claim that is written under a lease granted after the stop.
    const plans = [Answered, ...FAULTY.grant].flatMap((fate) =>
      STOP_DELAYS.map((delay): LeasePlan => ({
        fates: { grant: [Answered, fate] },
        stop: { after: 'grant', delay, count: 2 },
      })),
    );
    expect(await findFaultyPlans(plans, playInstancePlan)).to.deep.equal([]);
  });
});
