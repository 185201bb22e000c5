/** Chooses the chain that a request runs on: a pure function of state, request and random numbers. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import { createChain, formatChain } from '@skylarksail/core/CoreChain';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { DomainId, Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { getHealth } from './RoutingCalls.js';
import { coverLayers } from './RoutingCover.js';
import { getRampUpShare, getCrossDomainCallLimit, orderForeignDomains } from './RoutingDomains.js';
import { isEjected } from './RoutingHealth.js';
import { isHopOpen } from './RoutingHops.js';
import type { LinkCost } from './RoutingLinks.js';
import { UNLIMITED_LINK, getLinkBetween } from './RoutingLinks.js';
import type { PoolMember } from './RoutingPools.js';
import { getPool, getPoolKey } from './RoutingPools.js';
import type { ChainQuery } from './RoutingScore.js';
import { estimateStage, estimateTransfer, getGapLimit } from './RoutingScore.js';
import type { SpillChoice } from './RoutingSpillover.js';
import { drawSpill, isRefusing, orderByRoom } from './RoutingSpillover.js';
import type { RoutingState } from './RoutingTypes.js';
import type { WalkOption } from './RoutingWalk.js';
import { walkPlan } from './RoutingWalk.js';

export type { ChainQuery } from './RoutingScore.js';
export type { PrefixKey } from './RoutingPrefixes.js';

/** A chain that was considered, for the decision log. */
export interface ChainCandidate {
  readonly chain: string;
  /** Expected time to the end of the answer in ms; lower is better. */
  readonly score: number;
  readonly reason: string;
}

export interface ChainChoice {
  readonly chain: Chain;
  readonly candidates: readonly ChainCandidate[];
  readonly crossedDomain: boolean;
  /** Set if spillover chose another domain although the own one may have capacity. */
  readonly spillover?: SpillChoice;
  /** Prompt tokens that every stage is expected to have cached. */
  readonly cachedTokens: number;
}

/** Why no chain is available. Nothing was sent, so the request provably has not run. */
export type RoutingRefusal =
  /** Engines hold the model, but all that could serve the request are full. */
  | { readonly kind: 'no-capacity'; readonly retryAfter: Millis }
  /** No reachable engine holds the model, version and adapter. */
  | { readonly kind: 'model-not-held'; readonly retryAfter: Millis }
  /** Engines hold the model, but some layers are not covered. */
  | { readonly kind: 'layers-missing'; readonly retryAfter: Millis }
  /** Only other domains hold the model, and they are unreachable or at their cross-domain limit. */
  | {
      readonly kind: 'cut-off';
      readonly retryAfter: Millis;
      /** Why the own domain has no chain. */
      readonly own: RoutingRefusal['kind'];
      readonly abroad: readonly ForeignRefusal[];
    };

/** Why another domain was not used: suspected, at its cross-domain limit, or without a chain itself. */
export interface ForeignRefusal {
  readonly domain: DomainId;
  readonly reason: 'doubted' | 'lends-no-more' | RoutingRefusal['kind'];
}

/** Expected cost of a chain. */
export interface ChainScore {
  /** Time to the end of the answer. */
  readonly finish: Millis;
  /** Expected time between tokens at its most heavily loaded engine. */
  readonly gap: Millis;
  readonly cachedTokens: number;
}

interface ScoredChain extends ChainScore {
  readonly chain: Chain;
}

const CANDIDATE_COUNT = 3;
const NO_CAPACITY_RETRY_MS = 1000;
const NOT_HELD_RETRY_MS = 5000;
/** Share of the load limit up to which this instance fills engines of another domain: local callers take precedence. */
const FOREIGN_FILL = 0.9;
/**
 * Share of the own domain's load limit for interrupted answers. It exceeds 1 because no new request is admitted while
 * they wait.
 */
const INTERRUPTED_FILL = 1.1;
const DEFAULT_ACTIVATION_BYTES = 16384;

/**
 * Selects the chain with the lowest expected finish time among a few random candidates: in the own domain
 * if one there has capacity, otherwise in another domain within its cross-domain limit. Fails with a reason.
 * If the own domain is shorter of memory than others, a part of its new requests is tried in another domain first.
 */
export function selectChain(
  state: RoutingState,
  ask: ChainQuery,
  random: Random,
): Result<ChainChoice, RoutingRefusal> {
  const spillover = ask.isBegun ? null : drawSpill(state, ask, random);
  const spilled = spillover && selectInOtherDomain(state, ask, spillover.domain, random);
  if (spillover && spilled?.ok) {
    return createOk({ ...spilled.value, spillover });
  }
  const own = selectInDomain(state, ask, ask.domain, ask.isBegun ? INTERRUPTED_FILL : 1, random);
  if (own.ok && !isSuspected(state, ask.domain, ask.now)) {
    return own;
  }
  const remote = selectInOtherDomains(state, ask, random);
  if (remote.ok) {
    return remote;
  }
  if (own.ok) {
    return own;
  }
  const isHeldElsewhere =
    own.error.kind !== 'no-capacity' &&
    [...state.pools.values()].some(
      (pool) =>
        pool.model === ask.variant.model &&
        pool.version === ask.variant.version &&
        pool.domain !== ask.domain,
    );
  return isHeldElsewhere
    ? createFailed({
        kind: 'cut-off',
        retryAfter: NO_CAPACITY_RETRY_MS,
        own: own.error.kind,
        abroad: remote.error,
      })
    : own;
}

/** Whether a chain in the domain recently timed out without output from any engine. */
function isSuspected(
  { suspected: suspectedUntil }: RoutingState,
  domain: DomainId,
  now: Millis,
): boolean {
  return (suspectedUntil.get(domain) ?? -Infinity) > now;
}

/** Members of the domain's pool that may serve this request. */
export function selectMembers(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
): readonly PoolMember[] {
  const pool = getPool(state.pools, ask.variant, domain);
  return (pool?.members ?? []).filter((member) => mayServe(state, ask, member));
}

/** Picks the cheaper of two random members (power of two choices), including the link from the previous stage. */
export function pickOfTwo(
  state: RoutingState,
  ask: ChainQuery,
  options: readonly PoolMember[],
  previous: Pick<PoolMember, 'facts'> | null,
  random: Random,
): PoolMember {
  const reachable = previous
    ? options.filter(({ facts }) => isHopOpen(state, previous.facts, facts))
    : options;
  const eligible = reachable.length > 0 ? reachable : options;
  const a = eligible[random.nextInt(eligible.length)];
  const b = eligible[random.nextInt(eligible.length)];
  invariant(a && b, 'there is at least one member to pick from');
  const getCost = (member: PoolMember) => {
    const link = previous ? getLinkBetween(state, previous.facts, member.facts) : UNLIMITED_LINK;
    const isOpen = !previous || isHopOpen(state, previous.facts, member.facts);
    return isOpen ? estimateMemberCost(state, ask, member, link) : Infinity;
  };
  return getCost(b) < getCost(a) ? b : a;
}

/** Expected cost of a chain for this request. */
export function scoreChain(state: RoutingState, ask: ChainQuery, chain: Chain): ChainScore {
  const bytes = getActivationBytes(state, ask);
  let gap = 0;
  let pathTime = 0;
  let firstTokenTime = 0;
  let cachedTokens = ask.promptTokens;
  chain.stages.forEach(({ engine, layers }, i) => {
    const facts = state.engines.get(engine);
    invariant(facts, 'the engine of a selected chain is registered');
    const cost = estimateStage(state, ask, facts, layers);
    gap = Math.max(gap, cost.gap);
    pathTime += cost.step;
    firstTokenTime += cost.prefill + cost.wait;
    cachedTokens = Math.min(cachedTokens, cost.cachedTokens);
    const next = state.engines.get(chain.stages[i + 1]?.engine ?? '');
    if (next) {
      const link = getLinkBetween(state, facts, next);
      const transfer = estimateTransfer(link, bytes, ask.promptTokens - cost.cachedTokens);
      gap = isHopOpen(state, facts, next) ? gap : Infinity;
      pathTime += transfer.gap;
      firstTokenTime += transfer.prefill;
    }
  });
  return { finish: firstTokenTime + ask.maxTokens * Math.max(gap, pathTime), gap, cachedTokens };
}

/** Creates a chain from stages that must cover the model. */
export function buildChain(ask: ChainQuery, stages: readonly Stage[]): Chain {
  const chain = createChain(ask.variant, ask.layerCount, stages);
  invariant(chain.ok, 'stages that cover all layers form a chain');
  return chain.value;
}

/** Selects a chain in another domain that is reachable and below its cross-domain limit, or says why each has none. */
function selectInOtherDomains(
  state: RoutingState,
  ask: ChainQuery,
  random: Random,
): Result<ChainChoice, readonly ForeignRefusal[]> {
  const refusals: ForeignRefusal[] = [];
  const domains = [...new Set([...state.pools.values()].map(({ domain }) => domain))].sort();
  const orderedDomains = orderForeignDomains(
    domains,
    ask.domain,
    random.nextInt(Math.max(1, domains.length - 1)),
  );
  for (const domain of orderByRoom(state, ask.variant, orderedDomains, ask.now)) {
    const choice = selectInOtherDomain(state, ask, domain, random);
    if (choice.ok) {
      return choice;
    }
    refusals.push(choice.error);
  }
  return createFailed(refusals);
}

/** Selects a chain in a domain other than the own one, if it is reachable and below its cross-domain limit. */
function selectInOtherDomain(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
  random: Random,
): Result<ChainChoice, ForeignRefusal> {
  if (isSuspected(state, domain, ask.now)) {
    return createFailed({ domain, reason: 'doubted' });
  }
  if ((state.crossDomainCalls.get(domain) ?? 0) + 1 > getCallLimit(state, ask, domain)) {
    return createFailed({ domain, reason: 'lends-no-more' });
  }
  const choice = selectInDomain(state, ask, domain, FOREIGN_FILL, random);
  return choice.ok ? choice : createFailed({ domain, reason: choice.error.kind });
}

/** Number of calls that this instance may have in another domain at once. */
function getCallLimit(state: RoutingState, ask: ChainQuery, domain: DomainId): number {
  const { model, version } = ask.variant;
  const planned = state.plans.get(getPoolKey(model, version, domain));
  const rampUpShare = getRampUpShare(state.domains.get(domain), ask.now);
  return planned
    ? getCrossDomainCallLimit(
        planned.plan,
        state.tuning,
        ask.priority,
        ask.isBegun ?? false,
        rampUpShare,
      )
    : 0;
}

/** Selects the best of a few chains in one domain whose engines stay within the share `fill` of the load limit. */
function selectInDomain(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
  fill: number,
  random: Random,
): Result<ChainChoice, RoutingRefusal> {
  const candidates: ScoredChain[] = [];
  for (let i = 0; i < CANDIDATE_COUNT; i++) {
    const stages = drawStages(state, ask, domain, random);
    if (!stages.ok) {
      return stages;
    }
    if (stages.value) {
      const chain = buildChain(ask, stages.value);
      candidates.push({ chain, ...scoreChain(state, ask, chain) });
    }
  }
  const limit = getGapLimit(state, ask.priority) * fill;
  const withinLimit = candidates.filter(({ gap }) => gap <= limit);
  if (withinLimit.length === 0) {
    return createFailed({ kind: 'no-capacity', retryAfter: NO_CAPACITY_RETRY_MS });
  }
  const best = withinLimit.reduce((a, b) => (b.finish < a.finish ? b : a));
  return createOk({
    chain: best.chain,
    candidates: candidates.map((scored) => describeCandidate(scored, best, limit)),
    crossedDomain: domain !== ask.domain,
    cachedTokens: best.cachedTokens,
  });
}

function describeCandidate(scored: ScoredChain, best: ScoredChain, limit: Millis): ChainCandidate {
  const { chain, finish, gap } = scored;
  const comparison = scored === best ? 'least expected finish' : 'later expected finish';
  const reason = gap > limit ? 'full' : comparison;
  return { chain: formatChain(chain), score: finish, reason };
}

/** Draws stages from the plan, or by search if the plan does not apply. Null if every drawn engine was full. */
function drawStages(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
  random: Random,
): Result<readonly Stage[] | null, RoutingRefusal> {
  const { model, version } = ask.variant;
  const plan = state.plans.get(getPoolKey(model, version, domain))?.plan;
  if (plan && plan.tokensPerSecond > 0 && plan.layerCount === ask.layerCount) {
    const stages = walkPlan(plan, (option) => estimateOptionCost(state, ask, option), random);
    if (stages) {
      return createOk(stages);
    }
  }
  const members = selectMembers(state, ask, domain);
  if (members.length === 0) {
    return createFailed({ kind: 'model-not-held', retryAfter: NOT_HELD_RETRY_MS });
  }
  const covered = coverLayers(members, { first: 0, end: ask.layerCount }, (options, previous) =>
    pickOfTwo(state, ask, options, previous, random),
  );
  return covered
    ? createOk(covered)
    : createFailed({ kind: 'layers-missing', retryAfter: NOT_HELD_RETRY_MS });
}

function estimateOptionCost(
  state: RoutingState,
  ask: ChainQuery,
  { member, hop, previous }: WalkOption,
): number {
  const isOpen = !previous || isHopOpen(state, previous.facts, member.facts);
  return isOpen && mayServe(state, ask, member)
    ? estimateMemberCost(state, ask, member, hop.link)
    : Infinity;
}

function estimateMemberCost(
  state: RoutingState,
  ask: ChainQuery,
  { facts, holding }: PoolMember,
  link: LinkCost,
): number {
  const cost = estimateStage(state, ask, facts, holding.layers);
  const bytes = getActivationBytes(state, ask);
  const transfer = estimateTransfer(link, bytes, ask.promptTokens - cost.cachedTokens);
  return cost.weight + transfer.gap * ask.maxTokens + transfer.prefill;
}

function mayServe(state: RoutingState, ask: ChainQuery, member: PoolMember): boolean {
  const { variant } = ask;
  const { id, holding } = member;
  // The plan may be older than the engine's latest load report.
  const held = state.loads.get(id)?.load.holding;
  return (
    held?.model === variant.model &&
    held.version === variant.version &&
    held.layers.first === holding.layers.first &&
    held.layers.end === holding.layers.end &&
    (variant.adapter === null || held.adapters.includes(variant.adapter)) &&
    !state.leaving.has(id) &&
    !state.silent.has(id) &&
    !ask.avoidEngines.has(id) &&
    !isAvoidedForRefusal(state, ask, member) &&
    !isEjected(getHealth(state, id), ask.now)
  );
}

/** Whether a new request avoids the engine, in another domain, because it refused a call a short time ago. */
function isAvoidedForRefusal(
  state: RoutingState,
  ask: ChainQuery,
  { id, facts }: PoolMember,
): boolean {
  return facts.domain !== ask.domain && !ask.isBegun && isRefusing(state, id, ask.now);
}

function getActivationBytes(state: RoutingState, ask: ChainQuery): number {
  return state.models.get(ask.variant.model)?.activationBytes ?? DEFAULT_ACTIVATION_BYTES;
}
