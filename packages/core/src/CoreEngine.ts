/** Static properties of a backend server that runs layers of a model, and the load that it last reported. */
import type { LifeStateName } from './CoreConstants.js';
import type {
  AdapterId,
  DomainId,
  EngineId,
  HostPort,
  LayerRange,
  Millis,
  ModelId,
  VersionId,
} from './CoreTypes.js';

/** The phases of inference that an engine performs for a model: prefill, decode or both. */
export const EngineDuty = {
  Mixed: 'mixed',
  Prefill: 'prefill',
  Decode: 'decode',
} as const;

export type EngineDutyName = (typeof EngineDuty)[keyof typeof EngineDuty];

/** What an engine has loaded. */
export interface Holding {
  readonly model: ModelId;
  readonly version: VersionId;
  readonly adapters: readonly AdapterId[];
  readonly layers: LayerRange;
  readonly duty: EngineDutyName;
}

/** Properties of an engine that rarely change. */
export interface EngineFacts {
  readonly id: EngineId;
  readonly domain: DomainId;
  /** Engines in the same rack share network links and power supply. */
  readonly rack: string;
  readonly address: HostPort;
  /** Accelerator type, as named in the manifest. */
  readonly accelerator: string;
  /** Decode throughput with a full batch, in layers times tokens per second. */
  readonly decodeLayerTokensPerSecond: number;
  /** Prefill throughput, in layers times prompt tokens per second. */
  readonly prefillLayerTokensPerSecond: number;
  /** Memory for model weights, in bytes. */
  readonly weightBytes: number;
  /** KV-cache capacity, in layers times tokens. */
  readonly kvLayerTokens: number;
  /** Maximum number of requests in a batch. */
  readonly maxBatch: number;
}

/** The last load report of an engine. It is always somewhat stale when it is read. */
export interface EngineLoad {
  readonly engine: EngineId;
  /** Differs for each start of the engine's process. */
  readonly bootId: string;
  readonly state: LifeStateName;
  readonly holding: Holding | null;
  readonly running: number;
  readonly queued: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
  /** Prompt tokens of calls without a first token yet; unknown if omitted. */
  readonly prefillTokens?: number;
  /** Number of the last order that the engine accepted; 0 before the first. */
  readonly orderNumber: number;
}

/** A load report with the estimated local time at which it was made. */
export interface SeenEngineLoad {
  readonly load: EngineLoad;
  readonly seenAt: Millis;
}
