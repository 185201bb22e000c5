/**
 * Decides which moves may start now. An engine serves nothing while it loads, so a move starts only if
 * the model that the engine serves keeps its minimum capacity without it.
 */
import type { ModelId } from '@skylarksail/core/CoreTypes';
import type { ServingEngine } from './PlacementCapacity.js';
import { computeModelCapacity, listServing } from './PlacementCapacity.js';
import type {
  ModelGoal,
  PlacementEngine,
  PlacementMove,
  PlacementState,
} from './PlacementTypes.js';
import { MoveReason } from './PlacementTypes.js';

/**
 * Share of a model's current capacity that moves leave in place. It is the only floor where the manifest
 * sets no minimum or the model is already below it.
 */
const SOFT_FLOOR_SHARE = 0.5;
/** Share of the usable engines that may load at a time; restore moves are exempt. */
const MAX_LOADING_SHARE = 0.15;
/** Relative tolerance for rounding errors in sums of rates. */
const ROUNDING = 1e-6;

/** A move with what decides when it may start. */
export interface PlannedMove extends PlacementMove {
  /** The engine as it is before the move. */
  readonly from: PlacementEngine;
  /** Rank of the move's reason; 0 is the most urgent. */
  readonly urgencyRank: number;
  /** Model, version and layers that the move is for; null if the engine is to hold nothing. */
  readonly stage: string | null;
}

/** Moves that may start now, and moves that must wait. */
export interface AdmittedMoves {
  readonly moves: readonly PlacementMove[];
  readonly blocked: readonly PlacementMove[];
}

/** Splits moves, given the most urgent first, into those that may start and those that must wait. */
export function admitMoves(
  state: PlacementState,
  goals: readonly ModelGoal[],
  ordered: readonly PlannedMove[],
): AdmittedMoves {
  const usable = state.engines.filter(({ isUsable }) => isUsable);
  let loading = usable.filter(({ holding, expected }) => !holding && expected).length;
  const maxLoading = Math.max(1, Math.floor(usable.length * MAX_LOADING_SHARE));
  const serving = listServing(state.engines);
  let remaining = serving;
  const moves: PlannedMove[] = [];
  const blocked: PlannedMove[] = [];
  const floors = new Map(goals.map((goal) => [goal.model.id, createFloor(goal, serving)]));
  for (const move of ordered) {
    const isRestore = move.reason === MoveReason.Restore;
    const servingWithout = remaining.filter(({ engine }) => engine !== move.from);
    const isOverLoadingLimit = !isRestore && loading >= maxLoading;
    if (!isOverLoadingLimit && isAboveFloor(move, floors, remaining, servingWithout)) {
      moves.push(move);
      remaining = servingWithout;
      loading += 1;
    } else {
      blocked.push(move);
    }
  }
  if (moves.length === 0 && loading === 0) {
    return forceMove(blocked, floors);
  }
  return { moves, blocked };
}

/** Capacity of a model, in tokens per second, that moves must leave in place. */
interface Floor {
  readonly goal: ModelGoal;
  /** Floor for moves that are not forced. */
  readonly soft: number;
  /** The manifest's minimum, or 0 if the model is already below it; a move is forced only at 0. */
  readonly hard: number;
  readonly isBelowMinimum: boolean;
}

function createFloor(goal: ModelGoal, serving: readonly ServingEngine[]): Floor {
  const capacity = computeModelCapacity(goal.model, serving);
  const { minTokensPerSecond } = goal;
  const isBelowMinimum = capacity < minTokensPerSecond * (1 - ROUNDING);
  return {
    goal,
    hard: isBelowMinimum ? 0 : minTokensPerSecond,
    soft: Math.max(isBelowMinimum ? 0 : minTokensPerSecond, capacity * SOFT_FLOOR_SHARE),
    isBelowMinimum,
  };
}

/** Whether the model that the move's engine serves stays above its floor without that engine. */
function isAboveFloor(
  move: PlannedMove,
  floors: ReadonlyMap<ModelId, Floor>,
  before: readonly ServingEngine[],
  after: readonly ServingEngine[],
): boolean {
  const floor = floors.get(move.from.holding?.model ?? '');
  if (!floor) {
    return true;
  }
  const capacityAfter = computeModelCapacity(floor.goal.model, after);
  if (capacityAfter >= computeModelCapacity(floor.goal.model, before) * (1 - ROUNDING)) {
    return true;
  }
  const isAllowed = !floor.isBelowMinimum || move.reason === MoveReason.Restore;
  return isAllowed && capacityAfter >= floor.soft * (1 - ROUNDING);
}

/**
 * Admits the first move whose model has no minimum or is already below it, when otherwise nothing could
 * ever change. A stage of a single engine cannot change without a gap, and a manifest without a minimum
 * allows one.
 */
function forceMove(
  blocked: readonly PlannedMove[],
  floors: ReadonlyMap<ModelId, Floor>,
): AdmittedMoves {
  const forced = blocked.find(
    (move) => (floors.get(move.from.holding?.model ?? '')?.hard ?? 0) <= 0,
  );
  return {
    moves: forced ? [{ ...forced, isForced: true }] : [],
    blocked: blocked.filter((move) => move !== forced),
  };
}
