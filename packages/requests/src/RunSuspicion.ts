/** Connects running requests to poison detection and to the progress tracking of engines. */
import type { Chain } from '@skylarksail/core/CoreChain';
import { RunState } from '@skylarksail/core/CoreConstants';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from './RequestPoison.js';
import type { PoisonTally } from './RequestPoisonVerdict.js';
import {
  createCrashId,
  findCurrentEnd,
  getLongReportId,
  noteAnswer,
  noteCompletion,
  noteCrash,
  noteSurvival,
  UNKNOWN_BOOT,
} from './RequestPoison.js';
import {
  AMBIGUOUS_PAUSE,
  isRefused,
  listCoSuspects,
  PoisonVerdict,
} from './RequestPoisonVerdict.js';
import { getPartCrashes } from './PartCrashes.js';
import type { RequestSuspects } from './RequestSuspects.js';
import type { RequestProblem } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import type { GuardedRun, RouterShared } from './RouterShared.js';
import { findRunsWith } from './RouterShared.js';
import { judgeRun, tallyRun } from './RunVerdict.js';

/** Tokens of one attempt after which a suspect is cleared of its crashes. */
const CLEARING_TOKENS = 64;
const RETRY_JITTER = 0.3;
/** Limits on fellow suspects per engine, from the preferred one to the last resort. */
const FELLOW_SUSPECT_LIMITS = [0, 1, 3, 7, Infinity];

/** Records a token that came over a chain; a request that has produced enough tokens is cleared of crashes. */
export function noteRunToken(
  shared: RouterShared,
  fingerprint: Fingerprint,
  chain: Chain,
  attemptTokens: number,
  gap: Millis | null,
): void {
  shared.progress.noteToken(chain, gap, shared.deps.timers.now());
  if (attemptTokens === CLEARING_TOKENS) {
    clearCrashRecords(shared, fingerprint);
  }
}

/** Clears a request for good of its crashes so far. */
export function noteRunCompleted(shared: RouterShared, fingerprint: Fingerprint): void {
  shared.crashes.note((state) => noteCompletion(state, fingerprint));
}

/**
 * Records that engines answered an attempt that was opened at a time. Only their connections had failed before, if any;
 * without this, honest requests whose connections were reset a few times would seem to crash engines.
 */
export function noteRunAnswered(
  shared: RouterShared,
  engines: readonly EngineId[],
  openedAt: Millis,
): void {
  const now = shared.deps.timers.now();
  for (const engine of shared.crashes.getState().crashes.size > 0 ? engines : []) {
    const crashedProcess = getProcess(shared, engine);
    shared.crashes.note((state) => noteAnswer(state, crashedProcess, openedAt, now));
  }
}

/** The process of an engine, as crash reports name it. */
function getProcess({ deps }: RouterShared, engine: EngineId): string {
  return createCrashId(engine, deps.getBootId(engine) ?? UNKNOWN_BOOT, false);
}

/** Clears a request of the crashes of which it is a suspect. */
function clearCrashRecords(shared: RouterShared, fingerprint: Fingerprint): void {
  shared.crashes.note((state) => noteSurvival(state, fingerprint));
}

/**
 * Records that a request was running on an engine that crashed, and stops all runs of the request if it is
 * now condemned. Requests that had run there for long are tracked separately from those that had just begun,
 * which are few. Returns what is known of the request's crashes now; null if the engine's end is no crash.
 */
export function noteRunCrash(
  shared: RouterShared,
  suspects: RequestSuspects,
  engine: EngineId,
  attemptTokens: number,
): PoisonTally | null {
  // A leaving engine ends its own streams. If that counted as a crash, two engines replaced one after the
  // other would condemn a request that ran on both.
  if (shared.deps.isEnding?.(engine)) {
    return null;
  }
  const now = shared.deps.timers.now();
  const end = findCurrentEnd(shared.crashes.getState(), getProcess(shared, engine), now);
  const crash = attemptTokens >= CLEARING_TOKENS ? getLongReportId(end) : end;
  const parts = attemptTokens === 0 ? suspects.parts.map(({ suspect }) => suspect) : [];
  shared.crashes.note((state) => noteCrash(state, crash, suspects.request, now, parts));
  const tally = tallyRun(shared, suspects);
  // One report can condemn only this request; checking all on each report would take quadratic time.
  if (isRefused(tally.verdict)) {
    stopRunsOf(shared, suspects.request);
  }
  return tally;
}

/**
 * Problem of a new request that may crash engines, while nobody can tell. It is refused at once: copies that wait at
 * several instances would all run at the end of the pause, and each could cost an engine.
 */
export function createAmbiguousProblem({ deps }: RouterShared): RequestProblem {
  return {
    kind: ProblemKind.Suspected,
    run: RunState.NotRun,
    retryAfter: jitter(deps.random, AMBIGUOUS_PAUSE, RETRY_JITTER),
    instance: null,
  };
}

/** Stops all runs of a condemned request. */
export function stopRunsOf(shared: RouterShared, fingerprint: Fingerprint): void {
  findRunsWith(shared, new Set([fingerprint])).forEach((run) => run.condemn());
}

/** Stops the running requests that are condemned among those that hold one of some suspects. */
export function stopCondemned(shared: RouterShared, named: ReadonlySet<string>): void {
  findRunsWith(shared, named).forEach((run) => stopIfCondemned(shared, run));
}

/** Stops the condemned requests that wait on an engine: the pause before a verdict on a part ends without any report. */
export function stopCondemnedWaiting(shared: RouterShared): void {
  const state = shared.crashes.getState();
  if (state.crashes.size > 0) {
    const known = getPartCrashes(state, shared.deps.timers.now());
    [...shared.guarded]
      .filter((run) => !run.hasBegun() && run.suspects.parts.some(({ name }) => known.has(name)))
      .forEach((run) => stopIfCondemned(shared, run));
  }
}

/** A begun answer shows that its parts are sound, and stays. */
function stopIfCondemned(shared: RouterShared, run: GuardedRun): void {
  const { verdict, isOfPart } = judgeRun(shared, run.suspects);
  if (isRefused(verdict) && !(isOfPart && run.hasBegun())) {
    run.condemn();
  }
}

/**
 * Sets of engines to avoid, to try in order. A set holds engines that were lost recently and, if the request
 * is a suspect, engines that run other suspects of the same crash, since suspects that share the next crash
 * cannot be told apart. Later sets are smaller: engines are few, and a harmless request must not wait for
 * an engine of its own.
 */
export function listAvoidSets(
  shared: RouterShared,
  suspects: RequestSuspects,
): readonly (readonly EngineId[])[] {
  const now = shared.deps.timers.now();
  const { dead, silent } = shared.progress.listDown(now);
  if (judgeRun(shared, suspects).verdict === PoisonVerdict.Clean) {
    return silent.length > 0 ? [[...dead, ...silent], dead] : [dead];
  }
  const counts = new Map<EngineId, number>();
  for (const engine of listFellows(shared, suspects).flatMap((run) => run.getEngines())) {
    counts.set(engine, (counts.get(engine) ?? 0) + 1);
  }
  const avoidSets = FELLOW_SUSPECT_LIMITS.map((limit) => [
    ...dead,
    ...silent,
    ...[...counts].filter(([, count]) => count > limit).map(([engine]) => engine),
  ]);
  return [...avoidSets, dead];
}

/** Runs that could not be told from a suspect at the next crash: of fellow suspects, and unbegun ones of other suspected parts. */
function listFellows(
  shared: RouterShared,
  { request, parts }: RequestSuspects,
): readonly GuardedRun[] {
  const state = shared.crashes.getState();
  const now = shared.deps.timers.now();
  const fellows = listCoSuspects(state, request, now);
  const known = getPartCrashes(state, now);
  const own = new Set(parts.map(({ name }) => name));
  const hasOtherPart = ({ suspects }: GuardedRun): boolean =>
    suspects.parts.some(({ name }) => !own.has(name) && known.has(name));
  return [...shared.guarded].filter(
    (run) => fellows.has(run.suspects.request) || (!run.hasBegun() && hasOtherPart(run)),
  );
}
