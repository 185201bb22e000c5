import { expect } from 'chai';
import fc from 'fast-check';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { RoomRequest, RoomView } from '../../RequestRoom.js';
import { decideByRoom, getRefusalProbability } from '../../RequestRoom.js';

const ASK: RoomRequest = { priority: 'high', higherPriorities: 0, timeLeft: 20_000 };
const VIEW: RoomView = { share: 0.5, age: 200, teamShare: 0 };
const SEED = 5;

/** Share of 2,000 decisions that are refusals. */
function measureRefusals(view: Partial<RoomView>, ask: Partial<RoomRequest> = {}): number {
  const { nextFloat } = createRandom(SEED);
  const decisions = Array.from({ length: 2000 }, () =>
    decideByRoom({ ...VIEW, ...view }, { ...ASK, ...ask }, nextFloat),
  );
  return decisions.filter(({ kind }) => kind === 'refused').length / decisions.length;
}

describe('RequestRoom', () => {
  it('refuses all less important requests before it refuses the first more important one', () => {
    // Guards against an important request that is refused while a less important one gets the memory.
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 3, noNaN: true }),
        fc.nat(2),
        (share, higherPriorities) => {
          const important = getRefusalProbability(share, higherPriorities);
          expect(
            important === 0 || getRefusalProbability(share, higherPriorities + 1) === 1,
          ).to.equal(true);
        },
      ),
      { seed: SEED },
    );
  });

  it('lets the probability rise over a range, so that instances do not switch together', () => {
    const [least, middle, most] = [0.855, 0.88, 0.905].map((share) =>
      measureRefusals({ share }, { higherPriorities: 2 }),
    );
    expect(least).to.be.within(0.05, 0.2);
    expect(middle).to.be.within(0.4, 0.6);
    expect(most).to.be.within(0.8, 0.95);
  });

  it('keeps no memory for more important requests where there are none', () => {
    // Guards against a fleet with requests of a single priority that leaves a part of its memory unused.
    expect(measureRefusals({ share: 0.95 }, { priority: 'normal' })).to.equal(0);
    expect(measureRefusals({ share: 1.1 }, { priority: 'urgent' })).to.equal(1);
  });

  it('judges a team over its fair share like one priority lower, and only while memory is short', () => {
    expect(measureRefusals({ share: 0.97, teamShare: 1 })).to.equal(0);
    expect(measureRefusals({ share: 0.97, teamShare: 1.125 })).to.be.within(0.45, 0.55);
    expect(measureRefusals({ share: 0.97, teamShare: 1.25 })).to.equal(1);
    expect(measureRefusals({ share: 0.78, teamShare: 20 }, { higherPriorities: 3 })).to.equal(0);
    const refused = decideByRoom({ ...VIEW, share: 0.97, teamShare: 9 }, ASK, () => 0.5);
    expect(refused).to.deep.include({ kind: 'refused', reason: 'team' });
  });

  it('spreads the retries of a burst over seconds, later for less important requests', () => {
    // Guards against callers that return within the second of their refusal, or all at the same time.
    const { nextFloat } = createRandom(SEED);
    const listDelays = (ask: Partial<RoomRequest>): number[] =>
      Array.from({ length: 500 }, () => {
        const decision = decideByRoom({ ...VIEW, share: 2 }, { ...ASK, ...ask }, nextFloat);
        return decision.kind === 'refused' ? decision.retryAfter : 0;
      }).sort((a, b) => a - b);
    const [most, less] = [listDelays({}), listDelays({ higherPriorities: 2 })];
    expect(most[0]).to.be.at.least(1000);
    expect((most.at(-1) ?? 0) - (most[0] ?? 0)).to.be.above(1900);
    expect(less[250]).to.be.above((most[250] ?? 0) + 1000);
    expect(less.at(-1)).to.be.at.most(20_000 / 3);
    const late = listDelays({ timeLeft: 2400, higherPriorities: 2 });
    expect(late.at(-1)).to.be.at.most(800);
    expect((late.at(-1) ?? 0) - (late[0] ?? 0)).to.be.above(390);
  });

  it('admits requests if the share is not a number', () => {
    expect(decideByRoom({ ...VIEW, share: NaN }, ASK, () => 0).kind).to.equal('admitted');
    expect(decideByRoom({ ...VIEW, share: 0.96, teamShare: NaN }, ASK, () => 0).kind).to.equal(
      'admitted',
    );
  });
});
