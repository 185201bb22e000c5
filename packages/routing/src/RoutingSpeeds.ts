/**
 * Sets the speed in the health of slow engines, which lowers their share of new work in proportion. At most a third of the memory of
 * a domain's engines is left unused for it at any layer: otherwise the other engines would run out of memory, which costs more than
 * slow answers.
 */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import { getHealth, setHealth } from './RoutingCalls.js';
import type { Pool, PoolMember } from './RoutingPools.js';
import type { SlownessMap } from './RoutingSlowness.js';
import { isSlownessTracked } from './RoutingSlowness.js';
import type { RoutingState } from './RoutingTypes.js';

/** Largest share of a domain's memory at a layer that is left unused because engines are slow. */
export const MAX_SLOW_SHARE = 1 / 3;

/** Speeds of engines as shares of their usual speed; engines that are missing have their usual speed. */
export type SpeedMap = ReadonlyMap<EngineId, number>;

/** The speeds while no engine is slow. */
export const USUAL_SPEEDS: SpeedMap = new Map();

/**
 * Sets the speeds of slow engines, and restores the usual speed of those in `before`, the speeds that were last applied, that are
 * no longer slow. Engines that were removed meanwhile are restored too, since they may return.
 */
export function applySpeeds(state: RoutingState, before: SpeedMap, speeds: SpeedMap): RoutingState {
  let next = state;
  for (const engine of new Set([...before.keys(), ...speeds.keys()])) {
    const health = getHealth(state, engine);
    const speed = speeds.get(engine);
    if (health.speed !== speed) {
      const { speed: previous, ...others } = health;
      next = setHealth(next, engine, speed === undefined ? others : { ...others, speed });
    }
  }
  return next;
}

/** Speeds by the factors in effect, raised where they would leave too much of a domain's memory unused: the least slow engines first. */
export function limitSpeeds(state: RoutingState, slowness: SlownessMap): SpeedMap {
  const speeds = new Map<EngineId, number>();
  if (slowness.size === 0) {
    return speeds;
  }
  for (const pool of state.pools.values()) {
    if (isSlownessTracked(state, pool.model)) {
      limitPool(state, pool, slowness).forEach((speed, engine) => speeds.set(engine, speed));
    }
  }
  return speeds;
}

function limitPool(state: RoutingState, pool: Pool, slowness: SlownessMap): SpeedMap {
  const usable = pool.members.filter(({ id }) => !state.leaving.has(id) && !state.silent.has(id));
  const speeds = new Map<EngineId, number>();
  usable.forEach(({ id }) => {
    const factor = slowness.get(id)?.factor ?? 1;
    if (factor > 1) {
      speeds.set(id, 1 / factor);
    }
  });
  if (speeds.size > 0) {
    const edges = usable.flatMap(({ holding: { layers } }) => [layers.first, layers.end]);
    new Set(edges).forEach((layer) =>
      limitLayer(
        speeds,
        usable.filter(({ holding: { layers } }) => layers.first <= layer && layer < layers.end),
      ),
    );
  }
  return speeds;
}

/** Raises speeds of the least slow of these engines until at most `MAX_SLOW_SHARE` of their memory is left unused. */
function limitLayer(speeds: Map<EngineId, number>, holders: readonly PoolMember[]): void {
  const total = holders.reduce((sum, member) => sum + getTokens(member), 0);
  const slow = holders
    .filter(({ id }) => speeds.has(id))
    .sort((a, b) => getSpeed(speeds, b) - getSpeed(speeds, a) || (a.id < b.id ? -1 : 1));
  let excess =
    slow.reduce((sum, member) => sum + getTokens(member) * (1 - getSpeed(speeds, member)), 0) -
    MAX_SLOW_SHARE * total;
  for (const member of slow) {
    if (excess <= 0) {
      return;
    }
    const tokens = getTokens(member);
    const speed = getSpeed(speeds, member);
    const restored = Math.min(1 - speed, excess / tokens);
    speeds.set(member.id, speed + restored);
    excess -= restored * tokens;
  }
}

function getSpeed(speeds: SpeedMap, { id }: PoolMember): number {
  return speeds.get(id) ?? 1;
}

/** Memory of an engine in tokens. */
function getTokens({ facts, holding: { layers } }: PoolMember): number {
  return facts.kvLayerTokens / (layers.end - layers.first);
}
