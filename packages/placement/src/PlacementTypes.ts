/** What placement is planned from and what comes of it. */
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

/** What a domain must be able to serve of a model. */
export interface PlacementDemand {
  readonly model: ModelId;
  readonly minTokensPerSecond: number;
  readonly weight: number;
}

/** The part of a manifest that placement reads; a ManifestView has it. */
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
  /** What it holds and can serve with now; null while it loads. */
  readonly holding: Holding | null;
  /** What it will hold when the order under way is done; the holding if there is none. */
  readonly expected: Holding | null;
  /** False while it leaves, is ill, crashes in a loop or refuses orders: it is planned around. */
  readonly isUsable: boolean;
  readonly running: number;
}

/** Why an engine is to hold something else, from the most to the least urgent. */
export const MoveReason = {
  Restore: 'restore',
  Adapters: 'adapters',
  Join: 'join',
  Version: 'version',
  Tune: 'tune',
} as const;

export type MoveReasonName = (typeof MoveReason)[keyof typeof MoveReason];

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
  /** What it takes from the weight store. */
  readonly bytes: number;
}

/** What each engine should hold in the end, and what may be done about it now. */
export interface PlacementPlan {
  readonly targets: ReadonlyMap<EngineId, Holding | null>;
  /** Moves that may start now, the most urgent first. */
  readonly moves: readonly PlacementMove[];
  /** Moves that must wait, since a model would be left with less than its minimum. */
  readonly blocked: readonly PlacementMove[];
  /** Tokens a second of each model once all targets are reached. */
  readonly capacities: ReadonlyMap<ModelId, number>;
}

export interface PlacementState {
  readonly domain: DomainId;
  readonly manifest: PlacementManifest;
  readonly engines: readonly PlacementEngine[];
}

/** Engines in a column's stage. */
export interface LayoutStage {
  readonly layers: LayerRange;
  readonly engines: readonly PlacementEngine[];
}

/** A model cut into stages over the engines of one island. */
export interface LayoutColumn {
  readonly model: PlacementModel;
  readonly island: string;
  readonly stages: readonly LayoutStage[];
}

/** What the domain's engines are to hold, column by column. */
export type Layout = readonly LayoutColumn[];

/** A model's goal in this domain. */
export interface ModelGoal {
  readonly model: PlacementModel;
  readonly minTokensPerSecond: number;
  /** Tokens a second that are its share of the engines. */
  readonly goal: number;
}
