import { expect } from 'chai';
import fc from 'fast-check';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { formatChain } from '@skylarksail/core/CoreChain';
import { selectChain } from '../../RoutingChoice.js';
import { refreshPlans } from '../../RoutingPlans.js';
import type { DomainDemand, SpillInput } from '../../RoutingSpillover.js';
import {
  createSpillPlan,
  getSpillShares,
  orderByRoom,
  planSpill,
  recordEngineRefusal,
  refreshSpills,
} from '../../RoutingSpillover.js';
import type { RoutingState } from '../../RoutingState.js';
import { setDomainReach, setLoad, setRoutingFacts } from '../../RoutingState.js';
import type { KnownRoom } from '../../RoutingTypes.js';
import {
  createFacts,
  createFilledState,
  createQuery,
  createSeenLoad,
  LAYERS,
  VARIANT,
} from './RoutingFixtures.js';
import type { FleetDomain } from './RoutingSpilloverFleet.js';
import { countSent, DOMAINS, getMeanShare, getSpread, runFleet } from './RoutingSpilloverFleet.js';

const WHOLE = [0, LAYERS] as const;
/** Memory of each domain of the fixtures, in tokens: four engines of a million layers times tokens. */
const CAPACITY = 4e6 / LAYERS;
const AGES = [200, 900] as const;

function createDemand(domain: string, share: number, capacity = 1000): DomainDemand {
  const used = share * capacity;
  return { domain, capacity, demand: used, used, seenAt: 0, since: -Infinity };
}

function listProbabilities(own: DomainDemand, others: readonly DomainDemand[]) {
  return Object.fromEntries(
    planSpill(own, others).map(({ domain, probability }) => [domain, probability]),
  );
}

function createRoom(changes: Partial<KnownRoom> = {}): KnownRoom {
  const { model } = VARIANT;
  return {
    domain: 'b',
    model,
    capacity: CAPACITY,
    used: 0.3 * CAPACITY,
    abroad: [],
    seenAt: 0,
    since: -Infinity,
    ...changes,
  };
}

/** Three domains as seen from `a`, of which 0.9 of the memory is in use. */
function createDomains(
  rooms: readonly KnownRoom[],
  { isMemoryShared = true, ownShare = 0.9 } = {},
): RoutingState {
  const ids = ['a', 'b', 'c'].flatMap((domain) => [1, 2, 3, 4].map((i) => `${domain}${i}`));
  const engines = ids.map((id) => ({
    facts: createFacts(id, { domain: id.slice(0, 1) }),
    layers: WHOLE,
  }));
  const loaded = ids
    .filter((id) => id.startsWith('a'))
    .reduce(
      (state, id) => setLoad(state, createSeenLoad(id, WHOLE, { kvUsed: ownShare })),
      createFilledState(engines),
    );
  const tuning = { ...loaded.tuning, domain: 'a', crossDomainShare: 3 };
  const models = new Map([
    [VARIANT.model, { id: VARIANT.model, activationBytes: 1000, isMemoryShared }],
  ]);
  const state = refreshPlans(setRoutingFacts(loaded, { tuning, models }), 0);
  return refreshSpills({ ...state, rooms }, 0);
}

/** Chains of 200 requests with the same random numbers. */
function listChains(state: RoutingState, changes: Parameters<typeof createQuery>[0] = {}) {
  const random = createRandom(3);
  return Array.from({ length: 200 }, () => selectChain(state, createQuery(changes), random));
}

function countDomain(state: RoutingState, domain: string, changes = {}): number {
  return listChains(state, changes).filter(
    (choice) => choice.ok && choice.value.chain.stages[0]?.engine.startsWith(domain),
  ).length;
}

describe('RoutingSpillover', () => {
  it('sends nothing below the level, or to domains that are about as full', () => {
    expect(planSpill(createDemand('a', 0.58), [createDemand('b', 0.1)])).to.deep.equal([]);
    expect(planSpill(createDemand('a', 0.9), [createDemand('b', 0.89)])).to.deep.equal([]);
    expect(planSpill(createDemand('a', 0.9), [])).to.deep.equal([]);
  });

  it('sends the part that evens the shares out, in proportion to the room of each domain', () => {
    // Mean share 0.75; `a` keeps 0.76 of its 0.9.
    expect(listProbabilities(createDemand('a', 0.9), [createDemand('b', 0.6)]).b).to.be.closeTo(
      0.14 / 0.9,
      1e-9,
    );
    const both = listProbabilities(createDemand('a', 1.2, 1000), [
      createDemand('b', 0.5, 500),
      createDemand('c', 0.5, 1000),
    ]);
    // The same number of tokens is a larger share of a smaller domain.
    expect(both.c).to.be.closeTo(2 * (both.b ?? 0), 1e-9);
  });

  it('sends less to a domain that is used by more than its demand, and none above the bound', () => {
    // Guards against overfilling a domain in which requests run longer, or which just lost engines.
    const own = createDemand('a', 0.9);
    const getPart = (share: number) =>
      listProbabilities(own, [{ ...createDemand('b', 0.6), used: share * 1000 }]).b ?? 0;
    expect(getPart(0.8)).to.be.closeTo(getPart(0.75) / 2, 1e-9);
    expect(getPart(0.86)).to.equal(0);
  });

  it('never fills a domain beyond the mean share, whichever domains send', () => {
    // Guards against a cascade: domains that each use the room of a third one for themselves would overload it.
    const domains = fc.array(
      fc.record({ share: fc.double({ min: 0, max: 3, noNaN: true }), capacity: fc.nat(1e6) }),
      { minLength: 2, maxLength: 6 },
    );
    fc.assert(
      fc.property(domains, (list) => {
        const all = list.map(({ share, capacity }, i) =>
          createDemand(`d${i}`, share, capacity + 1),
        );
        const received = new Map<string, number>();
        for (const own of all) {
          const targets = planSpill(
            own,
            all.filter((other) => other !== own),
          );
          targets.forEach(({ domain, probability }) => {
            expect(probability).to.be.within(0, 1);
            received.set(domain, (received.get(domain) ?? 0) + probability * own.demand);
          });
        }
        const total = all.reduce((sum, { demand }) => sum + demand, 0);
        const mean = total / all.reduce((sum, { capacity }) => sum + capacity, 0);
        for (const [domain, tokens] of received) {
          const receiver = all.find((other) => other.domain === domain);
          const demand = (receiver?.demand ?? 0) + tokens;
          expect(demand).to.be.at.most(mean * (receiver?.capacity ?? 0) * (1 + 1e-9) + 1e-9);
        }
      }),
    );
  });

  it('counts what requests hold in other domains, for the domain that they come from', () => {
    const input: SpillInput = {
      version: 'v1',
      room: { domain: 'a', capacity: 1000, used: 700 },
      others: [{ domain: 'b', capacity: 1000, used: 100 }],
      reports: [
        createRoom({ capacity: 1000, used: 300, abroad: [{ domain: 'a', used: 50 }], seenAt: 900 }),
      ],
      now: 1000,
    };
    const { own, others } = createSpillPlan(input);
    expect(own).to.include({ demand: 800, used: 750 });
    expect(others).to.have.length(1);
    expect(others[0]).to.include({ demand: 350, used: 400, seenAt: 900 });
  });

  it('uses no report that is stale, or that tells of more memory than the engines there have', () => {
    const plan = (report: Partial<KnownRoom>) => createDomains([createRoom(report)]).spills;
    expect(plan({}).get(VARIANT.model)?.targets).to.have.length(1);
    expect(plan({ seenAt: -3001 }).get(VARIANT.model)?.targets).to.deep.equal([]);
    expect(plan({ capacity: 0 }).get(VARIANT.model)?.targets).to.deep.equal([]);
    expect(plan({ used: 1e300 }).get(VARIANT.model)?.targets).to.deep.equal([]);
    const [huge] = plan({ capacity: 1e300 }).get(VARIANT.model)?.targets ?? [];
    const [plain] = plan({}).get(VARIANT.model)?.targets ?? [];
    expect(huge).to.deep.equal(plain);
    // A plan outlives the report that it is based on if no other load report arrives.
    expect(countDomain(createDomains([createRoom()]), 'b', { now: 3001 })).to.equal(0);
  });
});

describe('RoutingSpillover in the choice of chains', () => {
  it('sends a part of new requests to the emptier domain, and none of begun answers', () => {
    const state = createDomains([createRoom()]);
    // Mean share 0.6, so the level and the margin let `a` keep 0.61 of 0.9.
    expect(countDomain(state, 'b') / 200).to.be.within(0.22, 0.42);
    expect(countDomain(state, 'c')).to.equal(0);
    expect(countDomain(state, 'b', { isBegun: true })).to.equal(0);
    const spilled = listChains(state).find((choice) => choice.ok && choice.value.spillover);
    expect(spilled?.ok && spilled.value.spillover).to.deep.equal({
      domain: 'b',
      ownShare: 0.9,
      share: 0.3,
      age: 0,
    });
  });

  it('chooses the same chains as before if memory is not shared or no rooms are known', () => {
    const read = (state: RoutingState) =>
      listChains(state).map((choice) => choice.ok && formatChain(choice.value.chain));
    const before = read({ ...createDomains([]), models: new Map(), spills: new Map() });
    expect(read(createDomains([createRoom()], { isMemoryShared: false }))).to.deep.equal(before);
    expect(read(createDomains([]))).to.deep.equal(before);
    expect(read(createDomains([createRoom()], { ownShare: 0.5 }))).to.deep.equal(
      read(createDomains([], { ownShare: 0.5 })),
    );
  });

  it('sends nothing to a domain that is unreachable or suspected, and little while it ramps up', () => {
    const state = createDomains([createRoom()]);
    const all = countDomain(state, 'b');
    expect(countDomain(setDomainReach(state, 'b', false, 0), 'b')).to.equal(0);
    expect(countDomain({ ...state, suspected: new Map([['b', 1000]]) }, 'b')).to.equal(0);
    const returned = createDomains([createRoom({ since: -2000 })]);
    expect(countDomain(returned, 'b')).to.be.below(all / 4);
  });

  it('stays within the limit of calls in another domain', () => {
    const state = createDomains([createRoom()]);
    const busy = { ...state, crossDomainCalls: new Map([['b', 1e6]]) };
    expect(countDomain(busy, 'b')).to.equal(0);
  });

  it('avoids engines of another domain for a second after they refused', () => {
    const state = createDomains([createRoom()]);
    const refused = ['b1', 'b2', 'b3'].reduce(
      (next, id) => recordEngineRefusal(next, VARIANT.model, id, 0),
      state,
    );
    const listEngines = (now: number) =>
      new Set(
        listChains(refused, { now }).flatMap((choice) =>
          choice.ok && choice.value.crossedDomain ? [choice.value.chain.stages[0]?.engine] : [],
        ),
      );
    expect([...listEngines(100)]).to.deep.equal(['b4']);
    expect(listEngines(1000).size).to.be.above(1);
    expect(recordEngineRefusal(state, VARIANT.model, 'a1', 0)).to.equal(state);
    const unshared = createDomains([createRoom()], { isMemoryShared: false });
    expect(recordEngineRefusal(unshared, VARIANT.model, 'b1', 0)).to.equal(unshared);
  });

  it('tries other domains by room when the own one is full, and offers the shares to admission', () => {
    const rooms = [createRoom({ used: 0.5 * CAPACITY }), createRoom({ domain: 'c' })];
    const state = createDomains(rooms);
    expect(orderByRoom(state, VARIANT, ['b', 'c'], 0)).to.deep.equal(['c', 'b']);
    expect(orderByRoom(state, VARIANT, ['b', 'c'], 3001)).to.deep.equal(['b', 'c']);
    expect(getSpillShares(state, VARIANT, 0)?.own).to.be.closeTo(0.9, 1e-9);
    expect(getSpillShares(state, VARIANT, 0)?.emptiest?.domain).to.equal('c');
    expect(getSpillShares(createDomains([]), VARIANT, 0)?.emptiest).to.equal(null);
  });
});

describe('RoutingSpillover under load', () => {
  const UNEVEN = { a: 0.825, b: 0.55, c: 0.55 };
  const getUneven = (domain: FleetDomain): number => UNEVEN[domain];

  it('evens out 1.5 times the demand within six seconds without oscillation, and ends with it', () => {
    // Guards against instances that move together on one report: shares would swing, or never meet.
    for (const age of AGES) {
      const samples = runFleet({
        age,
        until: 45_000,
        getDemand: (domain, now) => (now >= 10_000 && now < 30_000 ? UNEVEN[domain] : 0.55),
      });
      expect(getSpread(samples, 16_000, 30_000), `age ${age}`).to.be.below(0.1);
      const sentAfter = DOMAINS.slice(1).map((to) => countSent(samples, 'a', to, 33_000, 45_000));
      const kept = countSent(samples, 'a', 'a', 33_000, 45_000);
      expect(Math.max(...sentAfter) / kept, `age ${age}`).to.be.below(0.02);
    }
  });

  it('sends few requests away where all domains have the same demand', () => {
    for (const age of AGES) {
      const samples = runFleet({ age, until: 30_000, getDemand: () => 0.7 });
      const count = (from: FleetDomain, to: FleetDomain) =>
        countSent(samples, from, to, 10_000, 30_000);
      const kept = DOMAINS.reduce((sum, id) => sum + count(id, id), 0);
      const all = DOMAINS.reduce(
        (sum, from) => sum + DOMAINS.reduce((part, to) => part + count(from, to), 0),
        0,
      );
      expect(1 - kept / all, `age ${age}`).to.be.below(0.03);
    }
  });

  it('sends nothing to a domain that is cut off once its report expired, and ramps up on its return', () => {
    for (const age of AGES) {
      const samples = runFleet({
        age,
        until: 50_000,
        getDemand: getUneven,
        isCut: (domain, now) => domain === 'c' && now >= 15_000 && now < 25_000,
      });
      const count = (from: number, to: number) => countSent(samples, 'a', 'c', from, to);
      expect(count(18_100, 25_000), `age ${age}`).to.equal(0);
      expect(count(25_000, 28_000), `age ${age}`).to.be.below(count(45_000, 48_000) / 3);
      expect(count(45_000, 48_000), `age ${age}`).to.be.above(0);
      expect(getSpread(samples, 45_000, 50_000), `age ${age}`).to.be.below(0.1);
    }
  });

  it('spreads the loss of half a receiving domain over all, without a cascade', () => {
    for (const age of AGES) {
      const samples = runFleet({
        age,
        until: 40_000,
        getDemand: getUneven,
        getCapacity: (domain, now) => (domain === 'c' && now >= 15_000 ? 0.5 : 1),
      });
      const sent = (['a', 'b'] as const).map((from) =>
        countSent(samples, from, 'c', 15_000 + 2 * age, 40_000),
      );
      expect(sent, `age ${age}`).to.deep.equal([0, 0]);
      // The whole demand is 0.77 of the memory that is left.
      for (const domain of DOMAINS) {
        const share = getMeanShare(samples, domain, 23_000, 40_000);
        expect(share, `${domain} age ${age}`).to.be.within(0.67, 0.87);
      }
      const highest = Math.max(
        ...Array.from({ length: 25 }, (_, i) => 15_000 + i * 1000).map((at) =>
          getMeanShare(samples, 'b', at, at + 1000),
        ),
      );
      expect(highest, `age ${age}`).to.be.below(0.87);
    }
  });
});
