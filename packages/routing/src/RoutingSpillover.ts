/**
 * Decides which part of a domain's new requests goes to other domains. It responds to the memory that the requests of each
 * domain hold, wherever they run, and acts only for models whose memory is shared.
 */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { DomainId, EngineId, Millis, ModelId, VersionId } from '@skylarksail/core/CoreTypes';
import { getRampUpShare } from './RoutingDomains.js';
import type { DomainRoom } from './RoutingRoom.js';
import { getDomainRoom, getRoomShare } from './RoutingRoom.js';
import type { DomainUse, KnownRoom, RoutingState } from './RoutingTypes.js';

/** Demand and memory of a domain for a model, in tokens. */
export interface DomainDemand {
  readonly domain: DomainId;
  readonly capacity: number;
  /** Memory that the requests of the domain hold, there and in other domains. */
  readonly demand: number;
  /** Memory that the requests of all domains hold there. */
  readonly used: number;
  readonly seenAt: Millis;
  /** Since when its reports arrive again after an interruption; -Infinity without one. */
  readonly since: Millis;
}

/** A domain to which a part of the own domain's new requests goes. */
export interface SpillTarget extends DomainDemand {
  /** Part of new requests, 0 to 1, before it is reduced for a domain that ramps up. */
  readonly probability: number;
}

/** Spillover of a model from the own domain, by the work and reports known when it was computed. */
export interface SpillPlan {
  readonly version: VersionId;
  /** Memory of the own domain, with what its own requests hold of it. */
  readonly room: DomainRoom;
  /** Memory that requests of the own domain hold in other domains. */
  readonly abroad: readonly DomainUse[];
  readonly own: DomainDemand;
  /** Domains with a usable report. */
  readonly others: readonly DomainDemand[];
  readonly targets: readonly SpillTarget[];
}

/** A domain that spillover chose, with what determined the choice. */
export interface SpillChoice {
  readonly domain: DomainId;
  readonly ownShare: number;
  readonly share: number;
  /** Age of that domain's report. */
  readonly age: Millis;
}

/** A domain to which spillover may send, as admission sees it. */
export interface SpillDestination extends SpillChoice {
  /** Part of new requests that goes there. */
  readonly probability: number;
}

/** Shares of the memory in use that a new request meets. */
export interface SpillShares {
  readonly own: number;
  /** The emptiest domain to which spillover may send; null if there is none. */
  readonly emptiest: SpillDestination | null;
}

/** Reports older than this are not used: answers run for one to five seconds, so most of the requests in them have ended. */
export const MAX_ROOM_AGE: Millis = 3000;
/**
 * Share of its memory that a domain fills before it sends requests away. Below it, engines are not short of memory, and
 * a request would only pay for the longer link.
 */
const SPILL_LEVEL = 0.6;
/**
 * Excess over the mean share that a domain keeps. Shares of equally loaded domains vary at random, so without a margin each
 * would send requests all the time, and a larger one would leave the domains further apart.
 */
const SPILL_MARGIN = 0.01;
/** Use above the mean share from which a domain gets nothing; the most by which shares of domains should differ. */
const OVERFILL = 0.1;
/**
 * Time for which an engine of another domain is not used after it refused a call. The work of other instances there is known
 * by domain only, not by engine. In this time a fifth or more of the engine's running requests end.
 */
const REFUSAL_TIME: Millis = 1000;

/**
 * Part of the own domain's new requests that each other domain gets.
 *
 * The inputs are demands: memory that the requests of a domain hold wherever they run. Unlike the memory in use, a
 * demand does not change when requests move, so the decision does not react to its own effect in reports 200 to 900 ms
 * old. With D, C: demand and capacity, w = sum(D) / sum(C) the mean share, and t = max(level, w + margin), a domain
 * sends its excess X = D - t * C to the domains below w, each in proportion to its headroom w * C - D. A part p of the new
 * requests holds p * D once requests that run now have ended, so the gain is p = X / D. Memory in other domains then approaches X
 * exponentially, with the time that requests run as time constant, and does not overshoot. Several sending domains
 * divide the same room by the same formula, so together they never fill a domain beyond w.
 */
export function planSpill(
  own: DomainDemand,
  others: readonly DomainDemand[],
): readonly SpillTarget[] {
  const all = [own, ...others];
  const mean = sum(all.map(({ demand }) => demand)) / sum(all.map(({ capacity }) => capacity));
  const excess = own.demand - Math.max(SPILL_LEVEL, mean + SPILL_MARGIN) * own.capacity;
  if (!(excess > 0 && own.capacity > 0)) {
    return [];
  }
  const headrooms = others.map(({ demand, capacity }) => Math.max(0, mean * capacity - demand));
  const totalHeadroom = sum(headrooms);
  return others.flatMap((other, i) => {
    const headroom = headrooms[i] ?? 0;
    const probability = (excess / own.demand) * (headroom / totalHeadroom) * getTaper(other, mean);
    return headroom > 0 && probability > 0 ? [{ ...other, probability }] : [];
  });
}

/**
 * Factor that reduces what a domain gets as its use rises from the mean share to `OVERFILL` above it. Its use gets there although
 * its demand is below the mean when requests run longer there than at home, or when it has just lost engines.
 */
function getTaper(domain: DomainDemand, mean: number): number {
  return Math.min(1, Math.max(0, (mean + OVERFILL - getRoomShare(domain)) / OVERFILL));
}

/** What an instance knows of the memory of domains for a model. */
export interface SpillInput {
  readonly version: VersionId;
  readonly room: DomainView;
  /** The other domains as the own domain sees them: with the work of its own requests only. */
  readonly others: readonly DomainView[];
  readonly reports: readonly KnownRoom[];
  readonly now: Millis;
}

/** Memory of a domain, with what the own domain's requests hold of it. */
export interface DomainView extends DomainRoom {
  readonly domain: DomainId;
}

/** Plans the spillover of a model from what is known of each domain. */
export function createSpillPlan(input: SpillInput): SpillPlan {
  const { version, room, now } = input;
  const reports = input.reports.filter(
    (report) => report.domain !== room.domain && isFresh(report, now),
  );
  const abroad = input.others.map(({ domain, used }) => ({ domain, used }));
  const uses = [...abroad, ...reports.flatMap((report) => report.abroad)];
  const own = createDemand({ ...room, abroad, seenAt: now, since: -Infinity }, uses);
  const others = input.others.flatMap((view) => {
    const report = reports.find(({ domain }) => domain === view.domain);
    // A report may be older than the news that engines left, so the lesser capacity counts.
    const capacity = Math.min(view.capacity, report?.capacity ?? 0);
    return report && capacity > 0 ? [createDemand({ ...report, capacity }, uses)] : [];
  });
  return { version, room, abroad, own, others, targets: planSpill(own, others) };
}

/** Recomputes the spillover of all models whose memory is shared. Call it after new load reports or rooms, and for fresh shares. */
export function refreshSpills(state: RoutingState, now: Millis): RoutingState {
  const shared = [...state.models.values()].filter(({ isMemoryShared }) => isMemoryShared);
  if (shared.length === 0 && state.spills.size === 0) {
    return state;
  }
  const spills = new Map<ModelId, SpillPlan>();
  shared.forEach(({ id }) => {
    const plan = readSpillPlan(state, id, now);
    if (plan) {
      spills.set(id, plan);
    }
  });
  return { ...state, spills };
}

/** Draws the domain that is searched first for a new request; null for the own domain. */
export function drawSpill(
  state: RoutingState,
  { variant, now }: { readonly variant: ModelVariant; readonly now: Millis },
  random: Random,
): SpillChoice | null {
  const plan = getSpillPlan(state, variant);
  const targets = plan?.targets.filter((target) => getProbability(state, target, now) > 0) ?? [];
  if (!plan || targets.length === 0) {
    return null;
  }
  let draw = random.nextFloat();
  for (const target of targets) {
    const probability = getProbability(state, target, now);
    if (draw < probability) {
      return describeChoice(plan, target, now);
    }
    draw -= probability;
  }
  return null;
}

/** Shares that a new request meets in the own domain and where spillover may send it; null if they are not known. */
export function getSpillShares(
  state: RoutingState,
  variant: ModelVariant,
  now: Millis,
): SpillShares | null {
  const plan = getSpillPlan(state, variant);
  if (!plan) {
    return null;
  }
  const [emptiest] = plan.targets
    .map((target) => ({
      ...describeChoice(plan, target, now),
      probability: getProbability(state, target, now),
    }))
    .filter(({ probability }) => probability > 0)
    .sort((a, b) => a.share - b.share);
  return { own: getRoomShare(plan.own), emptiest: emptiest ?? null };
}

/** Orders domains from the emptiest to the fullest; those whose room is not known stay last, in their order. */
export function orderByRoom(
  state: RoutingState,
  variant: ModelVariant,
  domains: readonly DomainId[],
  now: Millis,
): readonly DomainId[] {
  const known = (getSpillPlan(state, variant)?.others ?? []).filter((other) => isFresh(other, now));
  const shares = new Map(known.map((other) => [other.domain, getRoomShare(other)]));
  return shares.size === 0
    ? domains
    : [
        ...domains
          .filter((id) => shares.has(id))
          .sort((a, b) => (shares.get(a) ?? 0) - (shares.get(b) ?? 0)),
        ...domains.filter((id) => !shares.has(id)),
      ];
}

/** Records that an engine refused a call, if it is in another domain and its model's memory is shared. */
export function recordEngineRefusal(
  state: RoutingState,
  model: ModelId,
  engine: EngineId,
  now: Millis,
): RoutingState {
  const { domain: own } = state.tuning;
  const domain = state.engines.get(engine)?.domain;
  if (!state.models.get(model)?.isMemoryShared || domain === undefined || domain === own) {
    return state;
  }
  const recent = [...state.refusals].filter(([, at]) => now - at < REFUSAL_TIME);
  return { ...state, refusals: new Map(recent).set(engine, now) };
}

/** Whether an engine of another domain refused a call a short time ago. */
export function isRefusing({ refusals }: RoutingState, engine: EngineId, now: Millis): boolean {
  return now - (refusals.get(engine) ?? -Infinity) < REFUSAL_TIME;
}

function getSpillPlan(state: RoutingState, { model, version }: ModelVariant): SpillPlan | null {
  const plan = state.spills.get(model);
  return plan?.version === version ? plan : null;
}

/** Null if the own domain holds no part of the model, or several versions of it are held: rooms tell no version. */
function readSpillPlan(state: RoutingState, model: ModelId, now: Millis): SpillPlan | null {
  const { domain } = state.tuning;
  const pools = [...state.pools.values()].filter((pool) => pool.model === model);
  const [version, ...otherVersions] = new Set(pools.map((pool) => pool.version));
  if (domain === null || version === undefined || otherVersions.length > 0) {
    return null;
  }
  const variant = { model, version, adapter: null };
  const layerCount = Math.max(
    ...pools.flatMap(({ members }) => members.map(({ holding }) => holding.layers.end)),
  );
  const views = pools.flatMap((pool) => {
    const room = getDomainRoom(state, variant, layerCount, pool.domain, now);
    return room ? [{ ...room, domain: pool.domain }] : [];
  });
  const room = views.find((view) => view.domain === domain);
  const reports = state.rooms.filter((report) => report.model === model);
  const others = views.filter((view) => view.domain !== domain);
  return room ? createSpillPlan({ version, room, others, reports, now }) : null;
}

function createDemand(
  { domain, capacity, used, abroad, seenAt, since }: Omit<KnownRoom, 'model'>,
  uses: readonly DomainUse[],
): DomainDemand {
  const inOthers = abroad.filter((use) => use.domain !== domain);
  const byOthers = uses.filter((use) => use.domain === domain);
  return {
    domain,
    capacity,
    demand: used + sum(inOthers.map((use) => use.used)),
    used: used + sum(byOthers.map((use) => use.used)),
    seenAt,
    since,
  };
}

/** Part of new requests that a domain gets now: none if it is unreachable, suspected or its report is too old. */
function getProbability(state: RoutingState, target: SpillTarget, now: Millis): number {
  const { domain, since, probability } = target;
  if (!isFresh(target, now) || (state.suspected.get(domain) ?? -Infinity) > now) {
    return 0;
  }
  const reported = getRampUpShare({ reachable: true, since }, now);
  return probability * Math.min(reported, getRampUpShare(state.domains.get(domain), now));
}

function describeChoice({ own }: SpillPlan, target: SpillTarget, now: Millis): SpillChoice {
  return {
    domain: target.domain,
    ownShare: getRoomShare(own),
    share: getRoomShare(target),
    age: now - target.seenAt,
  };
}

function isFresh({ seenAt }: { readonly seenAt: Millis }, now: Millis): boolean {
  return now - seenAt <= MAX_ROOM_AGE;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
