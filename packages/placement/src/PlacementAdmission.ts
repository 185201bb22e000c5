/**
 * Which moves may start now. An engine that loads serves nothing, so a move is let through only if the
 * model that it serves keeps its floor without it.
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

/** Where there is no minimum, or it is missed already, moves keep this share of what is served. */
const SOFT_FLOOR = 0.5;
/** Share of the engines that may load at a time for anything but restoring. */
const LOADING_SHARE = 0.15;
/** Rounding of sums of rates. */
const ROUNDING = 1e-6;

/** A move with its engine, its place in the order, and the stage and version that it is for. */
export interface PlannedMove extends PlacementMove {
  readonly from: PlacementEngine;
  readonly urgencyRank: number;
  readonly stage: string | null;
}

/** Moves that may start, and those that must wait. */
export interface AdmittedMoves {
  readonly moves: readonly PlacementMove[];
  readonly blocked: readonly PlacementMove[];
}

/** Divides moves, the most urgent first, into those that may start and those that must wait. */
export function admitMoves(
  state: PlacementState,
  goals: readonly ModelGoal[],
  ordered: readonly PlannedMove[],
): AdmittedMoves {
  const usable = state.engines.filter(({ isUsable }) => isUsable);
  let loading = usable.filter(({ holding, expected }) => !holding && expected).length;
  const mostLoading = Math.max(1, Math.floor(usable.length * LOADING_SHARE));
  const serving = listServing(state.engines);
  let left = serving;
  const moves: PlannedMove[] = [];
  const blocked: PlannedMove[] = [];
  const floors = new Map(goals.map((goal) => [goal.model.id, createFloor(goal, serving)]));
  for (const move of ordered) {
    const isRestore = move.reason === MoveReason.Restore;
    const without = left.filter(({ engine }) => engine !== move.from);
    const isTooMany = !isRestore && loading >= mostLoading;
    if (!isTooMany && isAboveFloor(move, floors, left, without)) {
      moves.push(move);
      left = without;
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

interface Floor {
  readonly goal: ModelGoal;
  readonly soft: number;
  readonly hard: number;
  readonly isShort: boolean;
}

function createFloor(goal: ModelGoal, serving: readonly ServingEngine[]): Floor {
  const capacity = computeModelCapacity(goal.model, serving);
  const { minTokensPerSecond } = goal;
  const isMissed = capacity < minTokensPerSecond * (1 - ROUNDING);
  return {
    goal,
    hard: isMissed ? 0 : minTokensPerSecond,
    soft: Math.max(isMissed ? 0 : minTokensPerSecond, capacity * SOFT_FLOOR),
    isShort: isMissed,
  };
}

/** Whether the model that an engine serves keeps its floor without it. */
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
  const left = computeModelCapacity(floor.goal.model, after);
  if (left >= computeModelCapacity(floor.goal.model, before) * (1 - ROUNDING)) {
    return true;
  }
  const isAllowed = !floor.isShort || move.reason === MoveReason.Restore;
  return isAllowed && left >= floor.soft * (1 - ROUNDING);
}

/**
 * Lets the first move through that breaks no minimum, when otherwise nothing could ever change: a stage
 * of a single engine cannot be changed without a gap, and where the manifest sets no minimum it allows one.
 */
function forceMove(
  blocked: readonly PlannedMove[],
  floors: ReadonlyMap<ModelId, Floor>,
): AdmittedMoves {
  const forced = blocked.find(
    (move) => (floors.get(move.from.holding?.model ?? '')?.hard ?? 0) <= 0,
  );
  return {
    moves: forced ? [forced] : [],
    blocked: blocked.filter((move) => move !== forced),
  };
}
