/** Ties running requests to the search for poison requests and to what is told of engines. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from './RequestPoison.js';
import {
  createCrashId,
  listFellowSuspects,
  noteCrash,
  noteSurvival,
  PoisonVerdict,
} from './RequestPoison.js';
import type { RouterShared } from './RouterShared.js';
import { judgeRun, listRunsOf } from './RouterShared.js';

/** Tokens that a suspect must give after a crash to be cleared of it. */
const CLEARING_TOKENS = 64;

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
    clearRun(shared, fingerprint);
  }
}

/** Clears a request of the crashes that it was at. */
export function clearRun(shared: RouterShared, fingerprint: Fingerprint): void {
  if (shared.getPoison().crashes.size > 0) {
    shared.setPoison(noteSurvival(shared.getPoison(), fingerprint));
  }
}

/** Notes that a request was on an engine that crashed, and stops its copies if that condemns it. */
export function noteRunCrash(
  shared: RouterShared,
  fingerprint: Fingerprint,
  engine: EngineId,
): void {
  const now = shared.deps.timers.now();
  const crash = createCrashId(engine, shared.deps.getBootId(engine) ?? 'unknown');
  shared.setPoison(noteCrash(shared.getPoison(), crash, fingerprint, now));
  stopCondemned(shared);
}

/** Stops what runs of the requests that are condemned by now. */
export function stopCondemned(shared: RouterShared): void {
  for (const run of [...shared.runs.values()]) {
    if (judgeRun(shared, run.fingerprint) === PoisonVerdict.Condemned) {
      run.condemn();
    }
  }
}

/**
 * Engines that a suspect must keep off: those that run other suspects of the same crash. Were two
 * suspects together at the next crash, it would not tell which of them caused it.
 */
export function findFellowEngines(
  shared: RouterShared,
  fingerprint: Fingerprint,
): readonly EngineId[] {
  if (judgeRun(shared, fingerprint) === PoisonVerdict.Clean) {
    return [];
  }
  const fellows = listFellowSuspects(shared.getPoison(), fingerprint, shared.deps.timers.now());
  return listRunsOf(shared, fellows).flatMap((run) => run.getEngines());
}
