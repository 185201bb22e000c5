/** Pools: the engines of one failure domain that hold layers of one model version. */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineFacts, Holding } from '@skylarksail/core/CoreEngine';
import { EngineDuty } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, ModelId, VersionId } from '@skylarksail/core/CoreTypes';
import { coverLayers } from './RoutingCover.js';

/** An engine with the layers that it holds of the pool's model. */
export interface PoolMember {
  readonly id: EngineId;
  readonly facts: EngineFacts;
  readonly holding: Holding;
}

export interface Pool {
  readonly key: string;
  readonly domain: DomainId;
  readonly model: ModelId;
  readonly version: VersionId;
  readonly members: readonly PoolMember[];
}

export type PoolIndex = ReadonlyMap<string, Pool>;

/** Key of the pool that serves a model version in a domain. */
export function getPoolKey(model: ModelId, version: VersionId, domain: DomainId): string {
  return `${model}/${version}/${domain}`;
}

/** The pool of a variant in a domain, if any engine there holds part of it. */
export function getPool(
  pools: PoolIndex,
  variant: ModelVariant,
  domain: DomainId,
): Pool | undefined {
  return pools.get(getPoolKey(variant.model, variant.version, domain));
}

/** Moves an engine to the pool of its present holding. Removes it if `after` is null or its duty is prefill only. */
export function moveMember(
  pools: PoolIndex,
  before: PoolMember | null,
  after: PoolMember | null,
): PoolIndex {
  const next = new Map(pools);
  if (before) {
    removeMember(next, before);
  }
  if (after && after.holding.duty !== EngineDuty.Prefill) {
    addMember(next, after);
  }
  return next;
}

/**
 * Whether the engines of a domain hold all layers of a variant by their last reports, whether or not they can take
 * requests at the moment.
 */
export function isHeld(
  { pools }: { readonly pools: PoolIndex },
  { model, version }: ModelVariant,
  layerCount: number,
): boolean {
  return [...pools.values()].some(
    (pool) =>
      pool.model === model &&
      pool.version === version &&
      coverLayers(pool.members, { first: 0, end: layerCount }, pickFirst) !== null,
  );
}

function pickFirst(options: readonly PoolMember[]): PoolMember {
  const [first] = options;
  invariant(first, 'there is a member to pick from');
  return first;
}

function removeMember(pools: Map<string, Pool>, member: PoolMember): void {
  const key = getMemberKey(member);
  const pool = pools.get(key);
  const members = pool?.members.filter(({ id }) => id !== member.id) ?? [];
  if (!pool || members.length === 0) {
    pools.delete(key);
    return;
  }
  pools.set(key, { ...pool, members });
}

function addMember(pools: Map<string, Pool>, member: PoolMember): void {
  const key = getMemberKey(member);
  const members = [...(pools.get(key)?.members ?? []), member];
  const { model, version } = member.holding;
  pools.set(key, { key, domain: member.facts.domain, model, version, members });
}

function getMemberKey({ facts, holding }: PoolMember): string {
  return getPoolKey(holding.model, holding.version, facts.domain);
}
