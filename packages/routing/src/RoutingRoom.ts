/**
 * How much of a failure domain's memory for running requests is in use. A request holds memory at one engine for each layer, so
 * a domain has room for no more tokens than the engines that hold its scarcest layer.
 */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth, getOwnWork } from './RoutingCalls.js';
import { isEjected } from './RoutingHealth.js';
import type { PoolMember } from './RoutingPools.js';
import { getPool } from './RoutingPools.js';
import type { RoutingState } from './RoutingTypes.js';

/** Memory of a domain for running requests of a model, in tokens. */
export interface DomainRoom {
  readonly capacity: number;
  /** May exceed the capacity: requests are counted by the memory that they are expected to need. */
  readonly used: number;
}

const NO_ROOM: DomainRoom = { capacity: 0, used: 0 };

/**
 * Memory of a domain at the layer where the largest share of it is in use. Null if no engine there holds the model; a domain in
 * which some layer is held by no usable engine has a capacity of 0.
 */
export function getDomainRoom(
  state: RoutingState,
  variant: ModelVariant,
  layerCount: number,
  domain: DomainId,
  now: Millis,
): DomainRoom | null {
  const members = getPool(state.pools, variant, domain)?.members ?? [];
  if (members.length === 0) {
    return null;
  }
  const usable = members.filter(({ id }) => isUsable(state, id, now));
  const rooms = listBoundaries(usable, layerCount).map((layer) =>
    sumRoom(
      state,
      usable.filter(({ holding: { layers } }) => layers.first <= layer && layer < layers.end),
    ),
  );
  return rooms.reduce((a, b) => (isScarcer(b, a) ? b : a));
}

/** Compares by share, then by capacity. Shares may both be Infinity, and their difference is NaN then. */
function isScarcer(a: DomainRoom, b: DomainRoom): boolean {
  const difference = getRoomShare(a) - getRoomShare(b);
  return difference > 0 || (!(difference < 0) && a.capacity < b.capacity);
}

/** Share of the memory that is in use; Infinity without memory, more than 1 if running requests are expected to need more than there is. */
export function getRoomShare({ capacity, used }: DomainRoom): number {
  return capacity > 0 ? used / capacity : Infinity;
}

function isUsable(state: RoutingState, id: EngineId, now: Millis): boolean {
  return !state.leaving.has(id) && !state.silent.has(id) && !isEjected(getHealth(state, id), now);
}

/** First layers of the ranges within which the set of holders is the same. */
function listBoundaries(members: readonly PoolMember[], layerCount: number): readonly number[] {
  const edges = members.flatMap(({ holding: { layers } }) => [layers.first, layers.end]);
  return [...new Set([0, ...edges])].filter((layer) => layer < layerCount);
}

/** Sums the memory of engines in tokens. An engine with more layers needs more memory for each token. */
function sumRoom(state: RoutingState, members: readonly PoolMember[]): DomainRoom {
  return members.reduce((sum, { id, facts, holding: { layers } }) => {
    const layerCount = layers.end - layers.first;
    const capacity = facts.kvLayerTokens / layerCount;
    const known = state.loads.get(id);
    const reported = (known?.load.kvUsed ?? 0) * capacity;
    const added = getOwnWork(state, id).kvTokens - (known?.own.kvTokens ?? 0);
    return { capacity: sum.capacity + capacity, used: sum.used + Math.max(0, reported + added) };
  }, NO_ROOM);
}
