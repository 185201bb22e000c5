/** What is known of a backend server that runs a model: its facts, and the load that it last told. */
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

/** Part that an engine plays for a model. */
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

/** Facts that change seldom. */
export interface EngineFacts {
  readonly id: EngineId;
  readonly domain: DomainId;
  /** Engines of one rack share their links and their power. */
  readonly rack: string;
  readonly address: HostPort;
  /** Kind of accelerator, as the manifest names it. */
  readonly accelerator: string;
  /** Layers times tokens per second that it generates with a full batch. */
  readonly decodeLayerTokensPerSecond: number;
  /** Layers times prompt tokens per second. */
  readonly prefillLayerTokensPerSecond: number;
  /** Weights that fit, in bytes. */
  readonly weightBytes: number;
  /** KV-cache entries that fit, in layers times tokens. */
  readonly kvLayerTokens: number;
  /** Requests that it batches at the most. */
  readonly maxBatch: number;
}

/** What an engine last told of itself. It is old by the time it is read. */
export interface EngineLoad {
  readonly engine: EngineId;
  /** A new value after each start of the engine's process. */
  readonly bootId: string;
  readonly state: LifeStateName;
  readonly holding: Holding | null;
  readonly running: number;
  readonly queued: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
  /** Number of the last order that it took; 0 before the first. */
  readonly orderNumber: number;
}

/** A load report with the local time at which it was made, as near as can be told. */
export interface SeenEngineLoad {
  readonly load: EngineLoad;
  readonly seenAt: Millis;
}
