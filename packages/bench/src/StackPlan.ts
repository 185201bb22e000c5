/** Layout of a loopback stack: its engines, services, daemons and the manifest that it serves. */
import { createHash } from 'node:crypto';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { ManifestInput } from '@skylarksail/manifest/ManifestSchema';
import type { StandInEngineOptions } from '@skylarksail/stand-ins/StandInEngine';
import type { StandInServiceOptions } from '@skylarksail/stand-ins/StandInService';

/** Sizes and speeds of a stack. */
export interface StackSize {
  readonly seed: number;
  readonly domains: number;
  readonly daemonsPerDomain: number;
  readonly enginesPerDomain: number;
  readonly layers: number;
  /** Stages of a chain; each engine holds the layers of one stage. */
  readonly stages: number;
  readonly stepMsPerLayer: number;
  /** Processes that a domain's stand-in engines are split over; defaults to 1. */
  readonly engineProcesses?: number;
}

export const DEFAULT_STACK_SIZE: StackSize = {
  seed: 1,
  domains: 3,
  daemonsPerDomain: 1,
  enginesPerDomain: 6,
  layers: 24,
  stages: 3,
  stepMsPerLayer: 1,
};

export const STACK_MODEL = 'letters';
export const STACK_ADAPTER = 'monthly';
export const STACK_HOST = '127.0.0.1';

/** Teams of the stack with their bearer keys. The keys are test values, not secrets. */
export const STACK_TEAMS = [
  { id: 'branches', key: 'key-branches', maxPriority: 'high', share: 3 },
  { id: 'schools', key: 'key-schools', maxPriority: 'normal', share: 1 },
] as const;

const ACCELERATORS = {
  fast: { decode: 240_000, prefill: 2_400_000 },
  slow: { decode: 120_000, prefill: 1_200_000 },
} as const;

const KV_LAYER_TOKENS = 4_000_000;
const WEIGHT_BYTES = 80e9;
const LAYER_BYTES = 1e9;
const MAX_BATCH = 64;

/** Returns the ids of the failure domains. */
export function listDomains(size: StackSize): readonly string[] {
  return Array.from({ length: size.domains }, (_, i) => `domain-${String.fromCharCode(97 + i)}`);
}

/** Plans the engines of one domain; they are assigned to the stages round-robin. */
export function planEngines(size: StackSize, domain: string): readonly StandInEngineOptions[] {
  const random = createRandom(size.seed);
  return Array.from({ length: size.enginesPerDomain }, (_, i) => {
    const stage = i % size.stages;
    const accelerator = random.nextFloat() < 0.5 ? 'fast' : 'slow';
    const facts: Omit<EngineFacts, 'address'> = {
      id: `${domain}/engine-${i}`,
      domain,
      rack: `${domain}/rack-${i % 2}`,
      accelerator,
      decodeLayerTokensPerSecond: ACCELERATORS[accelerator].decode,
      prefillLayerTokensPerSecond: ACCELERATORS[accelerator].prefill,
      weightBytes: WEIGHT_BYTES,
      kvLayerTokens: KV_LAYER_TOKENS,
      maxBatch: MAX_BATCH,
    };
    return {
      facts,
      host: STACK_HOST,
      port: 0,
      holding: {
        model: STACK_MODEL,
        version: 'v1',
        adapters: [STACK_ADAPTER],
        layers: {
          first: Math.round((size.layers * stage) / size.stages),
          end: Math.round((size.layers * (stage + 1)) / size.stages),
        },
        duty: 'mixed',
      },
      checksFencing: true,
      stepMsPerLayer: size.stepMsPerLayer,
      loadMsPerLayer: 20,
    };
  });
}

/** Plans the servers of the plain service, one in each domain. */
export function planServices(size: StackSize): readonly StandInServiceOptions[] {
  return listDomains(size).map((domain) => ({
    id: `accounts/${domain}`,
    host: STACK_HOST,
    port: 0,
    workMs: 5,
  }));
}

/** Creates the manifest that the stack serves. */
export function planManifest(size: StackSize): ManifestInput {
  return {
    schema: 1,
    models: [
      {
        id: STACK_MODEL,
        layers: size.layers,
        versions: [{ id: 'v1', layerBytes: LAYER_BYTES }],
        serve: 'v1',
        adapters: [STACK_ADAPTER],
      },
    ],
    teams: STACK_TEAMS.map(({ id, key, maxPriority, share }) => ({
      id,
      keyHashes: [`sha256:${createHash('sha256').update(key).digest('hex')}`],
      models: [STACK_MODEL],
      services: ['accounts'],
      maxPriority,
      share,
      queueLimit: 256,
    })),
    services: [
      {
        id: 'accounts',
        routes: [
          { method: 'POST', path: '/receipts', idempotent: false },
          { method: 'POST', path: '/search', idempotent: true },
        ],
      },
    ],
    domains: listDomains(size).map((id) => ({
      id,
      serves: [{ model: STACK_MODEL }],
    })),
    accelerators: Object.entries(ACCELERATORS).map(([id, { decode, prefill }]) => ({
      id,
      decodeLayerTokensPerSecond: decode,
      prefillLayerTokensPerSecond: prefill,
      weightBytes: WEIGHT_BYTES,
      kvLayerTokens: KV_LAYER_TOKENS,
      maxBatch: MAX_BATCH,
      checksFencing: true,
    })),
    links: [],
  };
}
