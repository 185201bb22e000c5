import { createRandom } from '@skylarksail/core/CoreRandom';
import { expect } from 'chai';
import type { Duties } from '../../MembershipDuties.js';
import {
  applyDuties,
  applyLive,
  createDuties,
  createDutyState,
  getOwnDuties,
} from '../../MembershipDuties.js';
import type { VirtualFleet } from '../../VirtualFleet.js';
import { createVirtualFleet } from '../../VirtualFleet.js';

const DUTIES = Array.from({ length: 60 }, (_, i) => `poll/engine-${i}`);

interface DutyFleet {
  readonly fleet: VirtualFleet;
  readonly duties: Map<string, Duties>;
}

function createDutyFleet(seed: number, size: number): DutyFleet {
  const duties = new Map<string, Duties>();
  const fleet = createVirtualFleet({
    seed,
    domainSizes: [size],
    onStart({ listed, membership }) {
      const own = createDuties(listed, membership);
      own.setDuties(DUTIES);
      duties.set(listed.id, own);
    },
  });
  fleet.advance(15_000);
  return { fleet, duties };
}

/** How many of the running instances hold each duty. */
function countHolders({ fleet, duties }: DutyFleet): readonly number[] {
  return DUTIES.map(
    (duty) =>
      fleet.getInstances().filter(({ listed }) => duties.get(listed.id)?.isOwn(duty)).length,
  );
}

describe('MembershipDuties', () => {
  it('gives each duty to one instance, and moves only what a change concerns', () => {
    const shared = createDutyFleet(1, 10);
    expect(countHolders(shared).every((count) => count === 1)).to.equal(true);
    const moved: string[] = [];
    shared.duties.forEach((own, id) => {
      own.registerListener(({ lost }) => moved.push(...lost.map(() => id)));
    });
    const lostWithIt = shared.duties.get('d0-i3')?.getOwn().length ?? 0;
    shared.fleet.crash('d0-i3');
    shared.fleet.advance(10_000);
    expect(countHolders(shared).every((count) => count === 1)).to.equal(true);
    expect(lostWithIt).to.be.above(0);
    expect(moved).to.have.length(0);
  });

  it('hands duties over within a second of the start of a planned stop', () => {
    // Guards against duties that follow an instance's death and not its intent to stop.
    const shared = createDutyFleet(2, 10);
    const lost: string[] = [];
    shared.duties.get('d0-i5')?.registerListener((change) => lost.push(...change.lost));
    shared.fleet.leave('d0-i5', 30_000);
    expect(shared.duties.get('d0-i5')?.getOwn()).to.have.length(0);
    expect(lost.length).to.be.above(0);
    shared.fleet.advance(1000);
    expect(countHolders(shared).every((count) => count === 1)).to.equal(true);
  });

  it('has two holders while a domain is cut in halves, and one again afterwards', () => {
    const shared = createDutyFleet(3, 10);
    const isLeft = (id: string) => Number(id.slice(4)) < 5;
    shared.fleet.setLinkFilter((from, to) => isLeft(from.id) === isLeft(to.id));
    shared.fleet.advance(15_000);
    expect(countHolders(shared).every((count) => count === 2)).to.equal(true);
    shared.fleet.setLinkFilter(null);
    shared.fleet.advance(25_000);
    expect(countHolders(shared).every((count) => count === 1)).to.equal(true);
  });

  it('weighs step by step to the same owners as all at once', () => {
    // Guards against owners that depend on the order in which joins and ends were heard.
    const random = createRandom(4);
    let stepped = applyDuties(createDutyState('i0'), DUTIES).state;
    for (let round = 0; round < 50; round++) {
      const live = ['i0', ...Array.from({ length: 9 }, (_, i) => `i${i + 1}`)].filter(
        () => random.nextInt(3) > 0,
      );
      stepped = applyLive(stepped, live).state;
      const atOnce = applyDuties(applyLive(createDutyState('i0'), live).state, DUTIES).state;
      expect(getOwnDuties(stepped)).to.deep.equal(getOwnDuties(atOnce));
      expect(stepped.holders).to.deep.equal(atOnce.holders);
    }
  });
});
