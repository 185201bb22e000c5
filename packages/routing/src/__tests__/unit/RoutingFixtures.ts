/** Engines, queries and load reports for the tests of routing. */
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { ChainQuery } from '../../RoutingChoice.js';
import type { RoutingState } from '../../RoutingState.js';
import { createRoutingState, setEngines, setLoad } from '../../RoutingState.js';

export const VARIANT = { model: 'notes', version: 'v1', adapter: null };
export const LAYERS = 20;

/** An engine that decodes `speed` layers times tokens per second. */
export function createFacts(
  id: string,
  { domain = 'a', rack = 'a1', speed = 20000 } = {},
): EngineFacts {
  return {
    id,
    domain,
    rack,
    address: { host: '127.0.0.1', port: 1 },
    accelerator: 'kind',
    decodeLayerTokensPerSecond: speed,
    prefillLayerTokensPerSecond: speed * 10,
    weightBytes: 1e9,
    kvLayerTokens: 1e6,
    maxBatch: 16,
  };
}

export function createSeenLoad(
  engine: string,
  [first, end]: readonly [number, number],
  { running = 0, seenAt = 0, bootId = 'b1', kvUsed = 0 } = {},
): SeenEngineLoad {
  const { model, version } = VARIANT;
  return {
    seenAt,
    load: {
      engine,
      bootId,
      state: 'live',
      holding: { model, version, adapters: [], layers: { first, end }, duty: 'mixed' },
      running,
      queued: 0,
      kvUsed,
      orderNumber: 0,
    },
  };
}

/** A state with these engines, each holding its range of layers. */
export function createFilledState(
  engines: readonly { facts: EngineFacts; layers: readonly [number, number] }[],
): RoutingState {
  const state = setEngines(
    createRoutingState(),
    engines.map(({ facts }) => facts),
  );
  return engines.reduce(
    (s, { facts, layers }) => setLoad(s, createSeenLoad(facts.id, layers)),
    state,
  );
}

export function createQuery(changes: Partial<ChainQuery> = {}): ChainQuery {
  return {
    variant: VARIANT,
    layerCount: LAYERS,
    domain: 'a',
    priority: 'normal',
    promptTokens: 100,
    maxTokens: 50,
    prefixKeys: [],
    avoidEngines: new Set(),
    now: 0,
    ...changes,
  };
}
