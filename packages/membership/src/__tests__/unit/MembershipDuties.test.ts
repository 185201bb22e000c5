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

/** Counts, for each duty, the running instances that hold it. */
function countHolders({ fleet, duties }: DutyFleet): readonly number[] {
  return DUTIES.map(
    (duty) =>
      fleet.getInstances().filter(({ listed }) => duties.get(listed.id)?.isOwn(duty)).length,
  );
}

describe('MembershipDuties', () => {
  it('assigns each duty to one instance, and moves only the duties of an instance that is gone', () => {
    const dutyFleet = createDutyFleet(1, 10);
    expect(countHolders(dutyFleet).every((count) => count === 1)).to.equal(true);
    const moved: string[] = [];
    dutyFleet.duties.forEach((own, id) => {
      own.registerListener(({ lost }) => moved.push(...lost.map(() => id)));
    });
    const lostWithIt = dutyFleet.duties.get('d0-i3')?.getOwn().length ?? 0;
    dutyFleet.fleet.crash('d0-i3');
    dutyFleet.fleet.advance(10_000);
    expect(countHolders(dutyFleet).every((count) => count === 1)).to.equal(true);
    expect(lostWithIt).to.be.above(0);
    expect(moved).to.have.length(0);
  });

  it('reassigns duties within a second of the start of a planned stop', () => {
    // Guards against duties that move only once the instance is dead and not when it announces its stop.
    const dutyFleet = createDutyFleet(2, 10);
    const lost: string[] = [];
    dutyFleet.duties.get('d0-i5')?.registerListener((change) => lost.push(...change.lost));
    dutyFleet.fleet.leave('d0-i5', 30_000);
    expect(dutyFleet.duties.get('d0-i5')?.getOwn()).to.have.length(0);
    expect(lost.length).to.be.above(0);
    dutyFleet.fleet.advance(1000);
    expect(countHolders(dutyFleet).every((count) => count === 1)).to.equal(true);
  });

  it('has two holders per duty while a domain is partitioned in two, and one after it heals', () => {
    const dutyFleet = createDutyFleet(3, 10);
    const isLeft = (id: string) => Number(id.slice(4)) < 5;
    dutyFleet.fleet.setLinkFilter((from, to) => isLeft(from.id) === isLeft(to.id));
    dutyFleet.fleet.advance(15_000);
    expect(countHolders(dutyFleet).every((count) => count === 2)).to.equal(true);
    dutyFleet.fleet.setLinkFilter(null);
    dutyFleet.fleet.advance(25_000);
    expect(countHolders(dutyFleet).every((count) => count === 1)).to.equal(true);
  });

  it('assigns the same owners step by step as all at once', () => {
    // Guards against owners that depend on the order in which instances joined and left.
    const random = createRandom(4);
    let incremental = applyDuties(createDutyState('i0'), DUTIES).state;
    for (let round = 0; round < 50; round++) {
      const live = ['i0', ...Array.from({ length: 9 }, (_, i) => `i${i + 1}`)].filter(
        () => random.nextInt(3) > 0,
      );
      incremental = applyLive(incremental, live).state;
      const recomputed = applyDuties(applyLive(createDutyState('i0'), live).state, DUTIES).state;
      expect(getOwnDuties(incremental)).to.deep.equal(getOwnDuties(recomputed));
      expect(incremental.holders).to.deep.equal(recomputed.holders);
    }
  });
});
