/** What a capacity plan is made of: groups of engines, hops between them, and what the planner needs. */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { LinkCost } from './RoutingLinks.js';
import type { PoolMember } from './RoutingPools.js';

/** Engines of one zone that hold the same layers. */
export interface PlanGroup {
  readonly zone: string;
  readonly first: number;
  readonly end: number;
  readonly members: readonly PoolMember[];
  /** Sums of the members' rates, for drawing one by its rate. */
  readonly cumulativeRates: readonly number[];
}

/** A way from one group to the next one, with its share of the flow. */
export interface PlanHop {
  readonly group: PlanGroup;
  readonly link: LinkCost;
}

/** Hops with the sums of their shares, for drawing one by its share. */
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
  /** Bytes that cross a link for each generated token, with its part of the prompt. */
  readonly bytesPerToken: number;
  /** Engine time for each generated token, in ms. */
  readonly getTokenCost: (member: PoolMember) => number;
  readonly getLink: (from: EngineFacts, to: EngineFacts) => LinkCost;
}

/** Name of the place where a chain stands between two stages. */
export function getHopKey(layer: number, zone: string): string {
  return `${layer}@${zone}`;
}

/** Tokens a second of a whole group. */
export function getGroupRate(group: PlanGroup): number {
  return group.cumulativeRates.at(-1) ?? 0;
}
