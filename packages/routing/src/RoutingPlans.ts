/** Keeps the capacity plans of all pools up to date, off the hot path. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth } from './RoutingCalls.js';
import { isEjected } from './RoutingHealth.js';
import { getLinkBetween } from './RoutingLinks.js';
import { createPlan } from './RoutingPlan.js';
import type { Pool, PoolMember } from './RoutingPools.js';
import { getPromptTokensPerToken, getTokenCost } from './RoutingScore.js';
import type { PlannedPool, RoutingState } from './RoutingTypes.js';

/** Relative change of the workload mix that requires a new plan. */
const MIX_CHANGE_THRESHOLD = 0.2;
const DEFAULT_ACTIVATION_BYTES = 16384;
/**
 * An engine without a report for so long is considered silent. Reports of an engine come every half second to two
 * seconds, and some are lost.
 */
const SILENT_MS = 5000;

/**
 * Plans the pools whose engines, links or workload mix have changed since their last plan. Call it
 * periodically, and soon after a change.
 */
export function refreshPlans(state: RoutingState, now: Millis): RoutingState {
  const silent = new Set([...state.pools.values()].flatMap((pool) => listSilent(state, pool)));
  return planPools(isSameSet(silent, state.silent) ? state : { ...state, silent }, now);
}

function planPools(state: RoutingState, now: Millis): RoutingState {
  const plans = new Map<string, PlannedPool>();
  let changed = state.plans.size !== state.pools.size;
  for (const [key, pool] of state.pools) {
    const known = state.plans.get(key);
    const excluded = listExcluded(state, pool, now);
    if (known && isCurrent(state, known, pool, excluded)) {
      plans.set(key, known);
    } else {
      plans.set(key, planPool(state, pool, excluded));
      changed = true;
    }
  }
  return changed ? { ...state, plans } : state;
}

function isCurrent(
  state: RoutingState,
  known: PlannedPool,
  pool: Pool,
  excluded: readonly string[],
): boolean {
  const mix = getPromptTokensPerToken(state);
  const change = Math.abs(mix - known.promptTokensPerToken);
  return (
    known.pool === pool &&
    known.links === state.links &&
    known.excluded === excluded.join() &&
    change <= MIX_CHANGE_THRESHOLD * known.promptTokensPerToken
  );
}

function listExcluded(state: RoutingState, pool: Pool, now: Millis): readonly string[] {
  return pool.members
    .map(({ id }) => id)
    .filter(
      (id) => state.leaving.has(id) || state.silent.has(id) || isEjected(getHealth(state, id), now),
    );
}

/**
 * Engines whose last report is far older than the newest report in their pool. If all reports stop, the
 * fault is on the path to this instance, and no engine is considered silent.
 */
function listSilent(state: RoutingState, pool: Pool): readonly EngineId[] {
  const seen = pool.members.map(({ id }) => ({ id, at: state.loads.get(id)?.seenAt ?? -Infinity }));
  const newest = Math.max(...seen.map(({ at }) => at));
  return seen.filter(({ at }) => newest - at > SILENT_MS).map(({ id }) => id);
}

function isSameSet(a: ReadonlySet<EngineId>, b: ReadonlySet<EngineId>): boolean {
  return a.size === b.size && [...a].every((id) => b.has(id));
}

function planPool(state: RoutingState, pool: Pool, excluded: readonly string[]): PlannedPool {
  const { activationBytes = DEFAULT_ACTIVATION_BYTES } = state.models.get(pool.model) ?? {};
  const promptTokensPerToken = getPromptTokensPerToken(state);
  const excludedIds = new Set(excluded);
  const members = pool.members.filter(({ id }) => !excludedIds.has(id));
  const plan = createPlan(members, {
    layerCount: Math.max(0, ...members.map(({ holding }) => holding.layers.end)),
    bytesPerToken: activationBytes * (1 + promptTokensPerToken),
    getTokenCost: (member: PoolMember) => getTokenCost(state, member.facts, member.holding.layers),
    getLink: (from, to) => getLinkBetween(state, from, to),
  });
  return { pool, links: state.links, excluded: excluded.join(), promptTokensPerToken, plan };
}
