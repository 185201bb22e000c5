/** Manifests and engines of several kinds of accelerators for the tests of placement. */
import type { Holding } from '@skylarksail/core/CoreEngine';
import type {
  PlacementDemand,
  PlacementEngine,
  PlacementManifest,
  PlacementModel,
  PlacementMove,
  PlacementPlan,
  PlacementState,
} from '../PlacementTypes.js';

export const GIB = 1024 ** 3;

/** Kinds of accelerators, with their layer tokens per second and bytes of memory for weights. */
export const KINDS = {
  large: { rate: 32000, weightBytes: 64 * GIB },
  medium: { rate: 21300, weightBytes: 40 * GIB },
  small: { rate: 9100, weightBytes: 24 * GIB },
  old: { rate: 6400, weightBytes: 20 * GIB },
} as const;

export type KindName = keyof typeof KINDS;

export function createModel(id: string, layers: number, fields: Partial<PlacementModel> = {}) {
  return {
    id,
    layers,
    versions: [
      { id: 'v1', layerBytes: 1.5 * GIB },
      { id: 'v2', layerBytes: 1.5 * GIB },
    ],
    serve: 'v1',
    adapters: ['a1'],
    activationBytes: 16384,
    ...fields,
  };
}

export interface ManifestOptions {
  readonly models: readonly PlacementModel[];
  readonly serves?: readonly PlacementDemand[];
  readonly checksFencing?: boolean;
  /** Racks that only a slow link connects to the others. */
  readonly slowRacks?: readonly string[];
  readonly revision?: number;
}

export function createManifest(options: ManifestOptions): PlacementManifest {
  const { models, slowRacks = [] } = options;
  const serves =
    options.serves ?? models.map(({ id }) => ({ model: id, minTokensPerSecond: 0, weight: 1 }));
  return {
    revision: options.revision ?? 1,
    domains: [{ id: 'd1', serves }],
    getModel: (id) => models.find((model) => model.id === id),
    getDomain: (id) => (id === 'd1' ? { serves } : undefined),
    getAccelerator: () => ({ checksFencing: options.checksFencing ?? true }),
    findLink: ([from], [to]) => ({
      bytesPerSecond:
        from !== to && [from, to].some((rack) => slowRacks.includes(rack ?? '')) ? 2e6 : 2e9,
    }),
  };
}

export function createEngine(id: string, kind: KindName, rack = 'r1'): PlacementEngine {
  const { rate, weightBytes } = KINDS[kind];
  return {
    facts: {
      id,
      domain: 'd1',
      rack,
      address: { host: '127.0.0.1', port: 1 },
      accelerator: kind,
      decodeLayerTokensPerSecond: rate,
      prefillLayerTokensPerSecond: rate * 12,
      weightBytes,
      kvLayerTokens: 1e6,
      maxBatch: 16,
    },
    holding: null,
    expected: null,
    isUsable: true,
    running: 0,
  };
}

/** Engines that cycle through the kinds, `perRack` to a rack. */
export function createEngines(
  count: number,
  kinds: readonly KindName[],
  perRack = 8,
): readonly PlacementEngine[] {
  return Array.from({ length: count }, (_, i) =>
    createEngine(
      `e${String(i).padStart(3, '0')}`,
      kinds[i % kinds.length] as KindName,
      `r${Math.floor(i / perRack)}`,
    ),
  );
}

/** The state with an engine's holding replaced; `expected` defaults to the new holding. */
export function setHolding(
  state: PlacementState,
  id: string,
  holding: Holding | null,
  expected: Holding | null = holding,
): PlacementState {
  const engines = state.engines.map((engine) =>
    engine.facts.id === id ? { ...engine, holding, expected } : engine,
  );
  return { ...state, engines };
}

/** The state after every engine has reached its target. */
export function applyTargets(state: PlacementState, plan: PlacementPlan): PlacementState {
  return [...plan.targets].reduce((next, [id, want]) => setHolding(next, id, want), state);
}

/** The state after the order for a move was sent: the engine is loading and serves nothing. */
export function startMove(state: PlacementState, move: PlacementMove): PlacementState {
  return setHolding(state, move.engine, null, move.want);
}

/** The state after an engine has finished loading. */
export function finishMove(state: PlacementState, id: string): PlacementState {
  const engine = state.engines.find(({ facts }) => facts.id === id);
  return setHolding(state, id, engine?.expected ?? null);
}

export function setUsable(state: PlacementState, id: string, isUsable: boolean): PlacementState {
  const engines = state.engines.map((engine) =>
    engine.facts.id === id ? { ...engine, isUsable } : engine,
  );
  return { ...state, engines };
}
