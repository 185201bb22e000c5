/** Ties running requests to the search for poison requests and to what is told of engines. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from './RequestPoison.js';
import {
  createCrashId,
  listCoSuspects,
  noteCrash,
  noteSurvival,
  PoisonVerdict,
} from './RequestPoison.js';
import type { RouterShared } from './RouterShared.js';
import { getPoisonVerdict, findRunsByFingerprint } from './RouterShared.js';

/** Tokens that a suspect must give after a crash to be cleared of it. */
const CLEARING_TOKENS = 64;
/** Fellow suspects on an engine that are borne, from the wish to the last resort. */
const FELLOW_BOUNDS = [0, 1, 3, 7, Infinity];

/** Notes a token that came over a chain; a request that gets on for long is cleared of crashes. */
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

/** Clears a request of the crashes that it was at. */
export function clearCrashRecords(shared: RouterShared, fingerprint: Fingerprint): void {
  if (shared.getPoison().crashes.size > 0) {
    shared.setPoison(noteSurvival(shared.getPoison(), fingerprint));
  }
}

/**
 * Notes that a request was on an engine that crashed, and stops its copies if that condemns it. Those
 * that ran there for long are kept apart from those that had just begun, who are few.
 */
export function noteRunCrash(
  shared: RouterShared,
  fingerprint: Fingerprint,
  engine: EngineId,
  attemptTokens: number,
): void {
  // An engine that leaves ends its streams by itself. Counted as crashes, two that are replaced in series would
  // condemn a request that ran on both.
  if (shared.deps.isEnding?.(engine)) {
    return;
  }
  const now = shared.deps.timers.now();
  const bootId = shared.deps.getBootId(engine) ?? 'unknown';
  const crash = createCrashId(engine, bootId, attemptTokens >= CLEARING_TOKENS);
  shared.setPoison(noteCrash(shared.getPoison(), crash, fingerprint, now));
  // One report can condemn no other request; judging them all would cost runs times runs.
  if (getPoisonVerdict(shared, fingerprint) === PoisonVerdict.Condemned) {
    stopRunsOf(shared, fingerprint);
  }
}

/** Stops what runs of a condemned request. */
export function stopRunsOf(shared: RouterShared, fingerprint: Fingerprint): void {
  findRunsByFingerprint(shared, new Set([fingerprint])).forEach((run) => run.condemn());
}

/** Stops what runs of the requests that another instance's news condemns. */
export function stopCondemned(shared: RouterShared): void {
  for (const run of [...shared.runs.values()]) {
    if (getPoisonVerdict(shared, run.fingerprint) === PoisonVerdict.Condemned) {
      run.condemn();
    }
  }
}

/**
 * Engines that a request keeps off: those that were lost just now and, if it is a suspect, those that run
 * other suspects of the same crash, which could not be told apart if they were together at the next one.
 * Sets of engines to try in turn, each smaller than the one before: engines are few, and a bystander must
 * not wait for one of its own.
 */
export function listAvoidSets(
  shared: RouterShared,
  fingerprint: Fingerprint,
): readonly (readonly EngineId[])[] {
  const now = shared.deps.timers.now();
  const { dead, silent } = shared.progress.listDown(now);
  if (getPoisonVerdict(shared, fingerprint) === PoisonVerdict.Clean) {
    return silent.length > 0 ? [[...dead, ...silent], dead] : [dead];
  }
  const fellows = listCoSuspects(shared.getPoison(), fingerprint, now);
  const counts = new Map<EngineId, number>();
  for (const engine of findRunsByFingerprint(shared, fellows).flatMap((run) => run.getEngines())) {
    counts.set(engine, (counts.get(engine) ?? 0) + 1);
  }
  const spreads = FELLOW_BOUNDS.map((bound) => [
    ...dead,
    ...silent,
    ...[...counts].filter(([, count]) => count > bound).map(([engine]) => engine),
  ]);
  return [...spreads, dead];
}
