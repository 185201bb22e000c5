/**
 * Finds engines that turned slow from the pace of this instance's running answers and from what other instances report. Load that
 * it responds to: a tenth to a fifth of all engines at once run four to eight times slower for some seconds.
 *
 * All stages of a chain move in step, so the time between events of an answer is about the sum of its stages' times. The excess of an
 * answer over the expected time is thus an upper bound for each of its engines, and the smallest bound over all answers through an
 * engine is the estimate for it: one answer at the usual pace lowers the bounds of all engines of its chain to 1. Answers are compared
 * with the pace of this instance's other answers, so a slow instance, or a slow link to it, slows all of them alike and raises the
 * bound of no engine.
 */
import type { Chain } from '@skylarksail/core/CoreChain';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { EngineId, LayerRange, Millis, ModelId } from '@skylarksail/core/CoreTypes';
import { estimateCalls } from './RoutingScore.js';
import type { RoutingState } from './RoutingTypes.js';

/** Pace of a running answer. Its owner updates it in place at each event. */
export interface AnswerPace {
  readonly chain: Chain;
  /** Smoothed time between events; 0 before the second one. */
  readonly gap: Millis;
  /** Time of the last event. */
  readonly eventAt: Millis;
}

/** How many times slower than expected an engine is, and when that was observed. 1 is as expected. */
export interface EngineSlowness {
  readonly factor: number;
  readonly at: Millis;
}

export type SlownessMap = ReadonlyMap<EngineId, EngineSlowness>;

/** Slowness by engine as other instances report it; 1 for engines that one of them reports as slow and others do not. */
export type PeerSlowness = ReadonlyMap<EngineId, number>;

/** What an instance knows of slow engines. */
export interface SlownessState {
  /** Bounds from own answers, including bounds of 1. */
  readonly observed: SlownessMap;
  /** Factors in effect, all above 1. */
  readonly effective: SlownessMap;
}

/** An engine and its factor in a report to other instances. */
export interface ObservedEngine {
  readonly engine: EngineId;
  readonly factor: number;
}

export const NO_SLOWNESS: SlownessState = { observed: new Map(), effective: new Map() };

/** Largest factor in effect. The eighth of its work that an engine keeps shows when it recovers. */
export const MAX_FACTOR = 8;
/**
 * Largest factor in effect from own answers alone, while other instances report and none names the engine: the instance may have
 * only one answer through the engine, or be wrong about its own pace.
 */
export const UNCONFIRMED_FACTOR = 1.5;

/** Weight of the latest time between two events. Two events after a slowdown, the smoothed time shows five sixths of it. */
const GAP_WEIGHT = 0.6;
/**
 * An answer is slow from this multiple of the own pace on. A chain of seven equal stages with one engine four times slower is at
 * 1.43.
 */
const SLOW_RATIO = 1.4;
/** Time without an event counts from this multiple of the own pace on. Events vary, so a shorter delay shows little. */
const STALL_RATIO = 2;
/**
 * Quantile of the own answers' ratios that counts as the own pace. With a fifth of all engines slow, two thirds of all chains of
 * five are slow too, so the median would be that of slow chains.
 */
const PACE_QUANTILE = 0.25;
/** Minimum number of answers of a model and domain: fewer do not show the usual pace. */
const MIN_ANSWERS = 3;
/**
 * Part of a full batch's step that does not depend on the number of running requests. It differs by model; an error in it shifts
 * all chains alike and cancels out against the own pace.
 */
const FIXED_STEP_SHARE = 0.4;
/** How long a bound counts after the last answer through the engine has ended. */
const OBSERVED_MS = 1000;
/** Time constant with which a factor falls, so that an engine without evidence is tried again within a few seconds. */
const DECAY_MS = 1000;
/** Factors below this are taken as 1. */
const MIN_FACTOR = 1.1;

/** Smoothed time between events after another one; 0 stands for none before. */
export function smoothEventGap(before: Millis, gap: Millis): Millis {
  return before === 0 ? gap : before + GAP_WEIGHT * (gap - before);
}

/** Whether requests to the model share its engines' memory, so that `RoutingSlowness` and not ejection finds slow engines. */
export function isSlownessTracked({ models }: RoutingState, model: ModelId): boolean {
  return models.get(model)?.isMemoryShared ?? false;
}

/** Limits a factor to the range from 1 to `MAX_FACTOR`; one that is not finite becomes 1. */
export function clampFactor(factor: number): number {
  return Number.isFinite(factor) ? Math.min(MAX_FACTOR, Math.max(1, factor)) : 1;
}

/**
 * Updates the bounds from the running answers, and the factors in effect from the bounds and other instances' reports (null if there
 * are none). Call it a few times per second with all running answers.
 */
export function updateSlowness(
  known: SlownessState,
  state: RoutingState,
  answers: readonly AnswerPace[],
  peers: PeerSlowness | null,
  now: Millis,
): SlownessState {
  const observed = observeAnswers(known.observed, state, answers, now);
  return { observed, effective: updateEffective(known.effective, observed, peers, now) };
}

/**
 * Engines with the bounds from own answers for a report to other instances, slowest first. Bounds of 1 are included, since they
 * contradict wrong reports of other instances. Empty while neither this instance nor its peers know of a slow engine.
 */
export function listObserved(
  { observed }: SlownessState,
  peers: PeerSlowness | null,
): readonly ObservedEngine[] {
  const isAnySlow =
    (peers?.size ?? 0) > 0 || [...observed.values()].some(({ factor }) => factor > 1);
  return isAnySlow
    ? [...observed]
        .map(([engine, { factor }]) => ({ engine, factor }))
        .sort((a, b) => b.factor - a.factor)
    : [];
}

function observeAnswers(
  known: SlownessMap,
  state: RoutingState,
  answers: readonly AnswerPace[],
  now: Millis,
): SlownessMap {
  const observed = new Map([...known].filter(([, { at }]) => now - at <= OBSERVED_MS));
  const bounds = new Map<EngineId, number>();
  groupAnswers(state, answers).forEach((group) =>
    boundEngines(
      bounds,
      group
        .map((answer) => measureAnswer(state, answer, now))
        .filter(({ expected }) => expected > 0),
    ),
  );
  bounds.forEach((factor, engine) => observed.set(engine, { factor, at: now }));
  return observed;
}

/**
 * Groups the answers that are compared: those of one model in one domain. A slow link to another domain slows all answers from there
 * alike, and must not make their engines count as slow.
 */
function groupAnswers(
  state: RoutingState,
  answers: readonly AnswerPace[],
): ReadonlyMap<string, readonly AnswerPace[]> {
  const groups = new Map<string, AnswerPace[]>();
  for (const answer of answers) {
    const { stages, variant } = answer.chain;
    const domain = state.engines.get(stages[0]?.engine ?? '')?.domain ?? '';
    const key = `${variant.model}/${domain}`;
    const group = groups.get(key);
    if (group) {
      group.push(answer);
    } else if (isSlownessTracked(state, variant.model)) {
      groups.set(key, [answer]);
    }
  }
  return groups;
}

interface StageTime {
  readonly engine: EngineId;
  readonly time: Millis;
}

interface MeasuredAnswer {
  readonly stages: readonly StageTime[];
  /** Sum of the stages' times. */
  readonly expected: Millis;
  /** Multiple of the expected time between events; 0 before the second event. */
  readonly ratio: number;
  /** Multiple of the expected time since the last event. */
  readonly stall: number;
}

function measureAnswer(
  state: RoutingState,
  { chain, gap, eventAt }: AnswerPace,
  now: Millis,
): MeasuredAnswer {
  const stages = chain.stages.map(({ engine, layers }) => ({
    engine,
    time: estimateStepTime(state, engine, layers, now),
  }));
  const expected = stages.reduce((sum, { time }) => sum + time, 0);
  return { stages, expected, ratio: gap / expected, stall: (now - eventAt) / expected };
}

/** Expected time of one step with the calls that are running; 0 for an engine that is gone. */
function estimateStepTime(
  state: RoutingState,
  engine: EngineId,
  layers: LayerRange,
  now: Millis,
): Millis {
  const facts = state.engines.get(engine);
  if (!facts) {
    return 0;
  }
  const calls = Math.min(facts.maxBatch, estimateCalls(state, facts, layers, now));
  const batch = FIXED_STEP_SHARE * facts.maxBatch + (1 - FIXED_STEP_SHARE) * calls;
  const layerCount = layers.end - layers.first;
  return (layerCount * batch * MILLIS_PER_SECOND) / facts.decodeLayerTokensPerSecond;
}

/** Lowers the bound of each engine to the smallest that one of the answers sets. */
function boundEngines(bounds: Map<EngineId, number>, answers: readonly MeasuredAnswer[]): void {
  // The pace includes stalls: while this instance itself pauses, all of its answers stall.
  const paces = answers
    .filter(({ ratio }) => ratio > 0)
    .map(({ ratio, stall }) => Math.max(ratio, stall))
    .sort((a, b) => a - b);
  const pace = paces[Math.floor(PACE_QUANTILE * (paces.length - 1))];
  if (pace === undefined || paces.length < MIN_ANSWERS) {
    return;
  }
  for (const { stages, expected, ratio, stall } of answers) {
    const relative = Math.max(ratio, stall >= STALL_RATIO * pace ? stall : 0) / pace;
    const excess = relative >= SLOW_RATIO ? (relative - 1) * expected : 0;
    // An answer before its second event may raise bounds by its stall, but does not show that its engines are fast.
    if (ratio > 0 || excess > 0) {
      stages.forEach(({ engine, time }) => {
        const bound = time > 0 ? clampFactor(1 + excess / time) : 1;
        bounds.set(engine, Math.min(bound, bounds.get(engine) ?? Infinity));
      });
    }
  }
}

function updateEffective(
  known: SlownessMap,
  observed: SlownessMap,
  peers: PeerSlowness | null,
  now: Millis,
): SlownessMap {
  const engines = new Set([...known.keys(), ...observed.keys(), ...(peers?.keys() ?? [])]);
  const effective = new Map<EngineId, EngineSlowness>();
  engines.forEach((engine) => {
    const target = estimateFactor(observed.get(engine)?.factor ?? 1, peers, engine);
    const before = known.get(engine);
    const factor = before ? Math.max(target, decay(before, now)) : target;
    if (factor >= MIN_FACTOR) {
      effective.set(engine, { factor, at: now });
    }
  });
  return effective;
}

function estimateFactor(own: number, peers: PeerSlowness | null, engine: EngineId): number {
  const reported = peers?.get(engine);
  if (reported !== undefined) {
    // Aggregators choose the reported factor from the bounds of all instances, which include the own one.
    return clampFactor(reported);
  }
  return peers === null ? own : Math.min(own, UNCONFIRMED_FACTOR);
}

function decay({ factor, at }: EngineSlowness, now: Millis): number {
  return 1 + (factor - 1) * Math.exp(-Math.max(0, now - at) / DECAY_MS);
}
