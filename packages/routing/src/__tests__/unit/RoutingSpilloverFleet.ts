/** A fleet of instances in three domains in virtual time, for load tests of spillover. Reports have one age for all. */
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createSpillPlan, drawSpill } from '../../RoutingSpillover.js';
import { createRoutingState } from '../../RoutingState.js';
import type { KnownRoom } from '../../RoutingTypes.js';

export const DOMAINS = ['a', 'b', 'c'] as const;
export type FleetDomain = (typeof DOMAINS)[number];
export type ByDomain<T> = Readonly<Record<FleetDomain, T>>;

const INSTANCES = 20;
/** Tokens: about 640 requests at once in each domain. */
const CAPACITY = 700_000;
const MEAN_TOKENS = 1100;
const MEAN_RUN_TIME = 3000;
const STEP = 100;

/** Memory in use of each domain, as a share, and the requests chosen in the step, by origin and domain. */
export interface FleetSample {
  readonly at: number;
  readonly shares: ByDomain<number>;
  readonly chosen: ByDomain<ByDomain<number>>;
}

export interface FleetOptions {
  /** Age of all reports, of other instances of a domain and of other domains, in ms. */
  readonly age: number;
  readonly until: number;
  readonly seed?: number;
  /** Demand of a domain as a share of its initial capacity. */
  readonly getDemand: (domain: FleetDomain, now: number) => number;
  /** Capacity of a domain as a share of its initial capacity; 1 if omitted. */
  readonly getCapacity?: (domain: FleetDomain, now: number) => number;
  /** Whether nothing passes between a domain and the others; never if omitted. */
  readonly isCut?: (domain: FleetDomain, now: number) => boolean;
}

type Uses = Record<FleetDomain, number>;

interface Snapshot {
  readonly at: number;
  /** Memory in use by instance and domain. */
  readonly own: readonly Uses[];
  /** Memory in use by origin and domain. */
  readonly uses: ByDomain<Uses>;
}

const MODEL = 'm';
const VARIANT = { model: MODEL, version: '1', adapter: null };

function mapDomains<T>(read: (domain: FleetDomain) => T): Record<FleetDomain, T> {
  return { a: read('a'), b: read('b'), c: read('c') };
}

/** Runs the fleet and samples it each 100 ms. */
export function runFleet(options: FleetOptions): readonly FleetSample[] {
  const { age, until, seed = 1, getDemand } = options;
  const { getCapacity = () => 1, isCut = () => false } = options;
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const state = createRoutingState();
  const origins = DOMAINS.flatMap((domain) => Array.from({ length: INSTANCES }, () => domain));
  const own: Uses[] = origins.map(() => mapDomains(() => 0));
  const uses = mapDomains(() => mapDomains(() => 0));
  const history: Snapshot[] = [];
  const samples: FleetSample[] = [];
  const reports = new Map<string, KnownRoom>();
  let chosen = mapDomains(() => mapDomains(() => 0));
  const readCapacity = (domain: FleetDomain): number =>
    CAPACITY * getCapacity(domain, timers.now());

  function isLinked(a: FleetDomain, b: FleetDomain): boolean {
    return a === b || !(isCut(a, timers.now()) || isCut(b, timers.now()));
  }

  function getSeen(): Snapshot | undefined {
    return history.findLast(({ at }) => at <= timers.now() - age);
  }

  /** Passes the room of each domain, as it was `age` ago, to the other domains. */
  function passRooms(): void {
    const seen = getSeen();
    for (const to of DOMAINS) {
      for (const from of DOMAINS.filter((id) => id !== to && seen && isLinked(id, to))) {
        const before = reports.get(`${from} ${to}`);
        const isBack = before && timers.now() - before.seenAt > 3000;
        reports.set(`${from} ${to}`, {
          domain: from,
          model: MODEL,
          capacity: readCapacity(from),
          used: seen?.uses[from][from] ?? 0,
          abroad: DOMAINS.filter((id) => id !== from).map((domain) => ({
            domain,
            used: seen?.uses[from][domain] ?? 0,
          })),
          seenAt: seen?.at ?? 0,
          since: isBack ? timers.now() : (before?.since ?? -Infinity),
        });
      }
    }
  }

  /** Domain of a new request at an instance, by its own work and the reports of others. */
  function choose(instance: number, origin: FleetDomain): FleetDomain {
    const now = timers.now();
    const seen = getSeen();
    if (!seen) {
      return origin;
    }
    const readUse = (domain: FleetDomain): number =>
      seen.uses[origin][domain] +
      (own[instance]?.[domain] ?? 0) -
      (seen.own[instance]?.[domain] ?? 0);
    const views = mapDomains((domain) => ({
      domain,
      capacity: CAPACITY,
      used: Math.max(0, readUse(domain)),
    }));
    const plan = createSpillPlan({
      version: '1',
      room: { ...views[origin], capacity: readCapacity(origin) },
      others: DOMAINS.filter((domain) => domain !== origin).map((domain) => views[domain]),
      reports: DOMAINS.flatMap((domain) => reports.get(`${domain} ${origin}`) ?? []),
      now,
    });
    const spills = new Map([[MODEL, plan]]);
    const spill = drawSpill({ ...state, spills }, { variant: VARIANT, now }, random);
    return DOMAINS.find((domain) => domain === spill?.domain) ?? origin;
  }

  function startRequest(instance: number, origin: FleetDomain): void {
    const domain = choose(instance, origin);
    const tokens = MEAN_TOKENS * (0.5 + random.nextFloat());
    const change = (by: number): void => {
      uses[origin][domain] += by;
      const table = own[instance];
      if (table) {
        table[domain] += by;
      }
    };
    chosen[origin][domain] += 1;
    change(tokens);
    const runTime = MEAN_RUN_TIME * (1 / 3 + (4 / 3) * random.nextFloat());
    timers.registerTimeout(runTime, () => change(-tokens));
  }

  /** Random independent arrivals. */
  function arriveAt(instance: number, origin: FleetDomain): void {
    const demand = (getDemand(origin, timers.now()) * CAPACITY) / INSTANCES;
    const meanGap = (MEAN_RUN_TIME * MEAN_TOKENS) / demand;
    timers.registerTimeout(-Math.log(1 - random.nextFloat()) * meanGap, () => {
      startRequest(instance, origin);
      arriveAt(instance, origin);
    });
  }

  function sample(): void {
    history.push({
      at: timers.now(),
      own: own.map((table) => ({ ...table })),
      uses: mapDomains((origin) => ({ ...uses[origin] })),
    });
    history.splice(0, Math.max(0, history.length - 1 - age / STEP));
    passRooms();
    const shares = mapDomains(
      (domain) =>
        DOMAINS.reduce((sum, origin) => sum + uses[origin][domain], 0) / readCapacity(domain),
    );
    samples.push({ at: timers.now(), shares, chosen });
    chosen = mapDomains(() => mapDomains(() => 0));
  }

  origins.forEach((origin, instance) => arriveAt(instance, origin));
  timers.registerInterval(STEP, sample);
  timers.advanceTo(until);
  return samples;
}

/**
 * Largest distance of a domain's share from the mean of all in a time, each share as its mean over one second: requests run for
 * some seconds, so faster variation is that of the arrivals.
 */
export function getSpread(samples: readonly FleetSample[], from: number, to: number): number {
  const seconds = Array.from({ length: (to - from) / 1000 }, (_, i) => from + i * 1000);
  return Math.max(
    ...seconds.map((second) => {
      const means = DOMAINS.map((domain) => getMeanShare(samples, domain, second, second + 1000));
      const mean = average(means);
      return Math.max(...means.map((share) => Math.abs(share - mean)));
    }),
  );
}

/** Mean share of a domain in a time. */
export function getMeanShare(
  samples: readonly FleetSample[],
  domain: FleetDomain,
  from: number,
  to: number,
): number {
  return average(
    samples.filter(({ at }) => at >= from && at < to).map(({ shares }) => shares[domain]),
  );
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Number of requests of a domain that were sent to another one in a time. */
export function countSent(
  samples: readonly FleetSample[],
  origin: FleetDomain,
  domain: FleetDomain,
  from: number,
  to: number,
): number {
  return samples
    .filter(({ at }) => at >= from && at < to)
    .reduce((sum, { chosen }) => sum + chosen[origin][domain], 0);
}
