/** Chooses the chain that a request runs on. Pure: state, ask and random numbers in, choice out. */
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
import type { RoutingState } from './RoutingTypes.js';
import type { WalkOption } from './RoutingWalk.js';
import { walkPlan } from './RoutingWalk.js';

export type { ChainQuery } from './RoutingScore.js';
export type { PrefixKey } from './RoutingPrefixes.js';

/** A chain that was weighed, for the decision log. */
export interface ChainCandidate {
  readonly chain: string;
  /** Expected time to the end of the answer in ms; less is better. */
  readonly score: number;
  readonly reason: string;
}

export interface ChainChoice {
  readonly chain: Chain;
  readonly candidates: readonly ChainCandidate[];
  readonly crossedDomain: boolean;
  /** Prompt tokens that every stage is expected to have cached. */
  readonly cachedTokens: number;
}

/** Why no chain can be had. Nothing was sent, so the request is proven not to have run. */
export type RoutingRefusal =
  /** Engines hold the model, but all that could serve it are full. */
  | { readonly kind: 'no-capacity'; readonly retryAfter: Millis }
  /** No engine that can be reached holds the model, version and adapter. */
  | { readonly kind: 'model-not-held'; readonly retryAfter: Millis }
  /** Engines hold it, but leave a gap somewhere. */
  | { readonly kind: 'layers-missing'; readonly retryAfter: Millis }
  /** Only other domains hold it, and they are cut off or lend no more. */
  | {
      readonly kind: 'cut-off';
      readonly retryAfter: Millis;
      /** Why the own domain has no chain. */
      readonly own: RoutingRefusal['kind'];
      readonly abroad: readonly ForeignRefusal[];
    };

/** Why a foreign domain was passed over: kept off, at its lending limit, or without a chain itself. */
export interface ForeignRefusal {
  readonly domain: DomainId;
  readonly reason: 'doubted' | 'lends-no-more' | RoutingRefusal['kind'];
}

/** What a chain is expected to cost. */
export interface ChainScore {
  /** Time to the end of the answer. */
  readonly finish: Millis;
  /** Longest time between tokens that any of its engines would allow. */
  readonly gap: Millis;
  readonly cachedTokens: number;
}

interface ScoredChain extends ChainScore {
  readonly chain: Chain;
}

const CANDIDATE_COUNT = 3;
const FULL_RETRY_MS = 1000;
const MISSING_RETRY_MS = 5000;
/** Engines of another domain may be filled so far by us: its own callers come first. */
const FOREIGN_FILL = 0.9;
/** Answers that broke off may fill the own domain so far: nothing new is let in while they wait. */
const BEGUN_FILL = 1.1;
const DEFAULT_ACTIVATION_BYTES = 16384;

/**
 * The chain with the least expected finish among few random ones, in the own domain if any there has
 * room, else in one of the others within what they lend; or why there is none.
 */
export function selectChain(
  state: RoutingState,
  ask: ChainQuery,
  random: Random,
): Result<ChainChoice, RoutingRefusal> {
  const own = selectInDomain(state, ask, ask.domain, ask.isBegun ? BEGUN_FILL : 1, random);
  if (own.ok && !isDoubted(state, ask.domain, ask.now)) {
    return own;
  }
  const crossed = selectAbroad(state, ask, random);
  if (crossed.ok) {
    return crossed;
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
        retryAfter: FULL_RETRY_MS,
        own: own.error.kind,
        abroad: crossed.error,
      })
    : own;
}

/** Whether chains of a domain stayed silent a short while ago. */
function isDoubted({ suspected: doubted }: RoutingState, domain: DomainId, now: Millis): boolean {
  return (doubted.get(domain) ?? -Infinity) > now;
}

/** Members of the domain's pool that may take new work of this ask. */
export function selectMembers(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
): readonly PoolMember[] {
  const pool = getPool(state.pools, ask.variant, domain);
  return (pool?.members ?? []).filter((member) => mayServe(state, ask, member));
}

/** Of two random members the one that costs less, the link from the stage before it counted in. */
export function pickOfTwo(
  state: RoutingState,
  ask: ChainQuery,
  options: readonly PoolMember[],
  previous: Pick<PoolMember, 'facts'> | null,
  random: Random,
): PoolMember {
  const open = previous
    ? options.filter(({ facts }) => isHopOpen(state, previous.facts, facts))
    : options;
  const drawn = open.length > 0 ? open : options;
  const a = drawn[random.nextInt(drawn.length)];
  const b = drawn[random.nextInt(drawn.length)];
  invariant(a && b, 'there is an option to pick');
  const weigh = (member: PoolMember) => {
    const link = previous ? getLinkBetween(state, previous.facts, member.facts) : UNLIMITED_LINK;
    const isOpen = !previous || isHopOpen(state, previous.facts, member.facts);
    return isOpen ? weighMember(state, ask, member, link) : Infinity;
  };
  return weigh(b) < weigh(a) ? b : a;
}

/** What a chain is expected to cost this ask. */
export function scoreChain(state: RoutingState, ask: ChainQuery, chain: Chain): ChainScore {
  const bytes = getActivationBytes(state, ask);
  let gap = 0;
  let path = 0;
  let first = 0;
  let cachedTokens = ask.promptTokens;
  chain.stages.forEach(({ engine, layers }, i) => {
    const facts = state.engines.get(engine);
    invariant(facts, 'a chosen engine is known');
    const cost = estimateStage(state, ask, facts, layers);
    gap = Math.max(gap, cost.gap);
    path += cost.step;
    first += cost.prefill;
    cachedTokens = Math.min(cachedTokens, cost.cachedTokens);
    const next = state.engines.get(chain.stages[i + 1]?.engine ?? '');
    if (next) {
      const link = getLinkBetween(state, facts, next);
      const transfer = estimateTransfer(link, bytes, ask.promptTokens - cost.cachedTokens);
      gap = isHopOpen(state, facts, next) ? gap : Infinity;
      path += transfer.gap;
      first += transfer.prefill;
    }
  });
  return { finish: first + ask.maxTokens * Math.max(gap, path), gap, cachedTokens };
}

/** A chain of stages that are known to cover the model. */
export function buildChain(ask: ChainQuery, stages: readonly Stage[]): Chain {
  const chain = createChain(ask.variant, ask.layerCount, stages);
  invariant(chain.ok, 'stages that cover the layers form a chain');
  return chain.value;
}

/** A whole chain in another domain that can be reached and still lends to us, or why each has none. */
function selectAbroad(
  state: RoutingState,
  ask: ChainQuery,
  random: Random,
): Result<ChainChoice, readonly ForeignRefusal[]> {
  const refusals: ForeignRefusal[] = [];
  const names = [...new Set([...state.pools.values()].map(({ domain }) => domain))].sort();
  const order = orderForeignDomains(
    names,
    ask.domain,
    random.nextInt(Math.max(1, names.length - 1)),
  );
  for (const domain of order) {
    const { model, version } = ask.variant;
    const planned = state.plans.get(getPoolKey(model, version, domain));
    const healed = getRampUpShare(state.domains.get(domain), ask.now);
    const begun = ask.isBegun ?? false;
    const lent = planned
      ? getCrossDomainCallLimit(planned.plan, state.tuning, ask.priority, begun, healed)
      : 0;
    if (isDoubted(state, domain, ask.now)) {
      refusals.push({ domain, reason: 'doubted' });
    } else if ((state.crossDomainCalls.get(domain) ?? 0) + 1 > lent) {
      refusals.push({ domain, reason: 'lends-no-more' });
    } else {
      const choice = selectInDomain(state, ask, domain, FOREIGN_FILL, random);
      if (choice.ok) {
        return choice;
      }
      refusals.push({ domain, reason: choice.error.kind });
    }
  }
  return createFailed(refusals);
}

/** The best of few chains in one domain, if its engines are filled to less than `fill` of the limit. */
function selectInDomain(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
  fill: number,
  random: Random,
): Result<ChainChoice, RoutingRefusal> {
  const found: ScoredChain[] = [];
  for (let i = 0; i < CANDIDATE_COUNT; i++) {
    const stages = drawStages(state, ask, domain, random);
    if (!stages.ok) {
      return stages;
    }
    if (stages.value) {
      const chain = buildChain(ask, stages.value);
      found.push({ chain, ...scoreChain(state, ask, chain) });
    }
  }
  const limit = getGapLimit(state, ask.priority) * fill;
  const open = found.filter(({ gap }) => gap <= limit);
  if (open.length === 0) {
    return createFailed({ kind: 'no-capacity', retryAfter: FULL_RETRY_MS });
  }
  const best = open.reduce((a, b) => (b.finish < a.finish ? b : a));
  return createOk({
    chain: best.chain,
    candidates: found.map((scored) => explain(scored, best, limit)),
    crossedDomain: domain !== ask.domain,
    cachedTokens: best.cachedTokens,
  });
}

function explain(scored: ScoredChain, best: ScoredChain, limit: Millis): ChainCandidate {
  const { chain, finish, gap } = scored;
  const verdict = scored === best ? 'least expected finish' : 'later expected finish';
  const reason = gap > limit ? 'full' : verdict;
  return { chain: formatChain(chain), score: finish, reason };
}

/** Stages drawn by the plan; by search where the plan does not fit. Null if all drawn were full. */
function drawStages(
  state: RoutingState,
  ask: ChainQuery,
  domain: DomainId,
  random: Random,
): Result<readonly Stage[] | null, RoutingRefusal> {
  const { model, version } = ask.variant;
  const plan = state.plans.get(getPoolKey(model, version, domain))?.plan;
  if (plan && plan.tokensPerSecond > 0 && plan.layerCount === ask.layerCount) {
    const stages = walkPlan(plan, (option) => weighOption(state, ask, option), random);
    if (stages) {
      return createOk(stages);
    }
  }
  const members = selectMembers(state, ask, domain);
  if (members.length === 0) {
    return createFailed({ kind: 'model-not-held', retryAfter: MISSING_RETRY_MS });
  }
  const covered = coverLayers(members, { first: 0, end: ask.layerCount }, (options, previous) =>
    pickOfTwo(state, ask, options, previous, random),
  );
  return covered
    ? createOk(covered)
    : createFailed({ kind: 'layers-missing', retryAfter: MISSING_RETRY_MS });
}

function weighOption(
  state: RoutingState,
  ask: ChainQuery,
  { member, hop, previous }: WalkOption,
): number {
  const isOpen = !previous || isHopOpen(state, previous.facts, member.facts);
  return isOpen && mayServe(state, ask, member)
    ? weighMember(state, ask, member, hop.link)
    : Infinity;
}

function weighMember(
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

function mayServe(state: RoutingState, ask: ChainQuery, { id, holding }: PoolMember): boolean {
  const { variant } = ask;
  // A plan may be older than the latest report of what the engine holds.
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
    !isEjected(getHealth(state, id), ask.now)
  );
}

function getActivationBytes(state: RoutingState, ask: ChainQuery): number {
  return state.models.get(ask.variant.model)?.activationBytes ?? DEFAULT_ACTIVATION_BYTES;
}
