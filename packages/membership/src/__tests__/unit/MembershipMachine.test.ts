import { expect } from 'chai';
import type { MembershipChange } from '../../MembershipService.js';
import type { VirtualFleet, VirtualFleetOptions } from '../../VirtualFleet.js';
import { createListed, createVirtualFleet } from '../../VirtualFleet.js';

interface Seen {
  readonly observer: string;
  readonly kind: string;
  readonly id: string;
  readonly at: number;
}

interface Watched {
  readonly fleet: VirtualFleet;
  readonly seen: Seen[];
}

function createWatched(options: VirtualFleetOptions): Watched {
  const seen: Seen[] = [];
  function onChange(observer: string, change: MembershipChange, at: number): void {
    const [kind, id] =
      change.kind === 'member'
        ? [change.change.kind as string, change.change.id]
        : [change.reachable ? 'reachable' : 'cut-off', change.domain];
    seen.push({ observer, kind, id, at });
  }
  return { fleet: createVirtualFleet({ ...options, onChange }), seen };
}

function select(seen: readonly Seen[], kind: string, id?: string): readonly Seen[] {
  return seen.filter((one) => one.kind === kind && (id === undefined || one.id === id));
}

/** Numbers of live instances that the instances count, each number once. */
function countViews(fleet: VirtualFleet, domain?: string): readonly number[] {
  const sizes = fleet
    .getInstances()
    .map(({ membership }) => membership.getLiveInstances(domain).length);
  return [...new Set(sizes)];
}

describe('MembershipMachine', () => {
  it('brings instances of several domains to one view', () => {
    const { fleet, seen } = createWatched({ seed: 1, domainSizes: [7, 5, 9] });
    fleet.advance(15_000);
    expect(countViews(fleet)).to.deep.equal([21]);
    expect(select(seen, 'dead')).to.have.length(0);
    expect(select(seen, 'suspected')).to.have.length(0);
  });

  it('learns of each instance when only one name is listed', () => {
    const { fleet } = createWatched({ seed: 2, domainSizes: [1] });
    fleet.advance(2000);
    fleet.setListUp(true);
    for (let number = 1; number < 12; number++) {
      fleet.start(createListed('d0', number));
    }
    fleet.advance(10_000);
    expect(countViews(fleet)).to.deep.equal([12]);
  });
});
