/** Types of capacity plans: groups of engines, hops between them, and options of the planner. */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { LinkCost } from './RoutingLinks.js';
import type { PoolMember } from './RoutingPools.js';

/** Engines of one zone that hold the same layers. */
export interface PlanGroup {
  readonly zone: string;
  readonly first: number;
  readonly end: number;
  readonly members: readonly PoolMember[];
  /** Cumulative rates of the members, for a random draw weighted by rate. */
  readonly cumulativeRates: readonly number[];
}

/** A step to the next group, and the link that it crosses. */
export interface PlanHop {
  readonly group: PlanGroup;
  readonly link: LinkCost;
}

/** Hops with their cumulative flows, for a random draw weighted by flow. */
export interface PlanHops {
  readonly hops: readonly PlanHop[];
  readonly cumulativeFlows: readonly number[];
}

export interface CapacityPlan {
  readonly layerCount: number;
  readonly tokensPerSecond: number;
  readonly firstHops: PlanHops;
  /** Hops that leave a zone at a layer, by `getHopKey`. */
  readonly hops: ReadonlyMap<string, PlanHops>;
}

export interface PlanOptions {
  readonly layerCount: number;
  /** Bytes that cross a link per generated token, including its part of the prompt. */
  readonly bytesPerToken: number;
  /** Engine time per generated token, in ms. */
  readonly getTokenCost: (member: PoolMember) => number;
  readonly getLink: (from: EngineFacts, to: EngineFacts) => LinkCost;
}

/** Key of a zone at a layer boundary, between two stages of a chain. */
export function getHopKey(layer: number, zone: string): string {
  return `${layer}@${zone}`;
}

/** Tokens per second of all members of a group. */
export function getGroupRate(group: PlanGroup): number {
  return group.cumulativeRates.at(-1) ?? 0;
}
