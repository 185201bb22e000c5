/** Keeps the capacity plans of all pools up to date, off the hot path. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import { getHealth } from './RoutingCalls.js';
import { isEjected } from './RoutingHealth.js';
import { getLinkBetween } from './RoutingLinks.js';
import { createPlan } from './RoutingPlan.js';
import type { Pool, PoolMember } from './RoutingPools.js';
import { getPromptTokensPerToken, getTokenCost } from './RoutingScore.js';
import type { PlannedPool, RoutingState } from './RoutingTypes.js';

/** Change of the mix of prompt and answer that is worth a new plan. */
const MIX_CHANGE = 0.2;
const DEFAULT_ACTIVATION_BYTES = 16384;

/**
 * Plans the pools whose engines, links or mix have changed since their plan was made; the others keep
 * theirs. To be called now and then, and soon after a change.
 */
export function refreshPlans(state: RoutingState, now: Millis): RoutingState {
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
    change <= MIX_CHANGE * known.promptTokensPerToken
  );
}

function listExcluded(state: RoutingState, pool: Pool, now: Millis): readonly string[] {
  return pool.members
    .map(({ id }) => id)
    .filter((id) => state.leaving.has(id) || isEjected(getHealth(state, id), now));
}

function planPool(state: RoutingState, pool: Pool, excluded: readonly string[]): PlannedPool {
  const { activationBytes = DEFAULT_ACTIVATION_BYTES } = state.models.get(pool.model) ?? {};
  const promptTokensPerToken = getPromptTokensPerToken(state);
  const out = new Set(excluded);
  const members = pool.members.filter(({ id }) => !out.has(id));
  const plan = createPlan(members, {
    layerCount: Math.max(0, ...members.map(({ holding }) => holding.layers.end)),
    bytesPerToken: activationBytes * (1 + promptTokensPerToken),
    getTokenCost: (member: PoolMember) => getTokenCost(state, member.facts, member.holding.layers),
    getLink: (from, to) => getLinkBetween(state, from, to),
  });
  return { pool, links: state.links, excluded: excluded.join(), promptTokensPerToken, plan };
}
