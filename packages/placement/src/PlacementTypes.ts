/** Input and results of placement planning. */
import type { EngineFacts, Holding } from '@skylarksail/core/CoreEngine';
import type {
  AdapterId,
  DomainId,
  EngineId,
  LayerRange,
  ModelId,
  VersionId,
} from '@skylarksail/core/CoreTypes';

/** The part of a manifest's model that placement reads. */
export interface PlacementModel {
  readonly id: ModelId;
  readonly layers: number;
  readonly versions: readonly { readonly id: VersionId; readonly layerBytes: number }[];
  readonly serve: VersionId;
  readonly adapters: readonly AdapterId[];
  readonly activationBytes: number;
}

/** The capacity that a domain must provide for a model. */
export interface PlacementDemand {
  readonly model: ModelId;
  readonly minTokensPerSecond: number;
  readonly weight: number;
}

/** The part of a manifest that placement reads; `ManifestView` provides it. */
export interface PlacementManifest {
  readonly revision: number;
  readonly domains: readonly {
    readonly id: DomainId;
    readonly serves: readonly PlacementDemand[];
  }[];
  getModel(id: ModelId): PlacementModel | undefined;
  getDomain(id: DomainId): { readonly serves: readonly PlacementDemand[] } | undefined;
  getAccelerator(id: string): { readonly checksFencing: boolean } | undefined;
  findLink(
    from: readonly string[],
    to: readonly string[],
  ): { readonly bytesPerSecond: number } | undefined;
}

/** An engine as the planner sees it. */
export interface PlacementEngine {
  readonly facts: EngineFacts;
  /** What the engine holds and can serve now; null while it loads. */
  readonly holding: Holding | null;
  /** What the engine will hold once its pending order is done; same as `holding` without one. */
  readonly expected: Holding | null;
  /** False while plans leave the engine out: it is leaving, unhealthy, silent, or failed repeatedly. */
  readonly isUsable: boolean;
  readonly running: number;
}

/** Why an engine is to hold something else. */
export const MoveReason = {
  /** The model has no capacity, or less than its minimum. */
  Restore: 'restore',
  /** The layers stay loaded; only the adapters or the duty change. */
  Adapters: 'adapters',
  /** The engine holds nothing yet. */
  Join: 'join',
  /** The same layers change to another version. */
  Version: 'version',
  /** Any other change that improves the layout. */
  Tune: 'tune',
} as const;

export type MoveReasonName = (typeof MoveReason)[keyof typeof MoveReason];

/** Reasons from the most to the least urgent. */
export const MOVE_REASONS_BY_URGENCY: readonly MoveReasonName[] = [
  MoveReason.Restore,
  MoveReason.Adapters,
  MoveReason.Join,
  MoveReason.Version,
  MoveReason.Tune,
];

/** A change of what an engine holds. */
export interface PlacementMove {
  readonly engine: EngineId;
  readonly want: Holding | null;
  readonly reason: MoveReasonName;
  /** Bytes to load from the weight store. */
  readonly bytes: number;
  /** Whether the move may leave its engine's model without a chain, as nothing could change otherwise. */
  readonly isForced?: boolean;
}

/** Whether the order of a move may go out. */
export const OrderReadiness = {
  Ready: 'ready',
  /** It may within seconds: nothing runs at the engine, which is being closed to requests. */
  Closing: 'closing',
  /** Not yet: answers run at the engine, or may start there. */
  Draining: 'draining',
} as const;

export type OrderReadinessName = (typeof OrderReadiness)[keyof typeof OrderReadiness];

/** What each engine should hold in the end, and the moves towards it. */
export interface PlacementPlan {
  readonly targets: ReadonlyMap<EngineId, Holding | null>;
  /** Moves that may start now, the most urgent first. */
  readonly moves: readonly PlacementMove[];
  /** Moves that must wait: a model would fall below its floor, or too many engines would load. */
  readonly blocked: readonly PlacementMove[];
  /** Tokens per second of each model once all targets are reached. */
  readonly capacities: ReadonlyMap<ModelId, number>;
}

export interface PlacementState {
  readonly domain: DomainId;
  readonly manifest: PlacementManifest;
  readonly engines: readonly PlacementEngine[];
}

/** A stage of a column, with the engines that hold its layers. */
export interface LayoutStage {
  readonly layers: LayerRange;
  readonly engines: readonly PlacementEngine[];
}

/** A model split into stages over engines of one island, a group of racks joined by fast links. */
export interface LayoutColumn {
  readonly model: PlacementModel;
  readonly island: string;
  readonly stages: readonly LayoutStage[];
}

/** What the domain's engines are to hold, by column. */
export type Layout = readonly LayoutColumn[];

/** The capacity planned for a model in this domain. */
export interface ModelGoal {
  readonly model: PlacementModel;
  readonly minTokensPerSecond: number;
  /** Tokens per second that its share of the engines provides. */
  readonly goal: number;
}
