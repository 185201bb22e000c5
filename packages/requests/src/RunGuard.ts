/**
 * The one way of a run to a backend server, whether a model or a plain service answers it. A run asks here before each
 * attempt and reports here how the attempt ended, so that a request that crashes the servers that run it is counted
 * whoever runs it. A kind of run that went past it would cost the fleet a server with each copy of such a request.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from './RequestPoison.js';
import type { PoisonTally } from './RequestPoisonVerdict.js';
import { isRefused, PoisonVerdict } from './RequestPoisonVerdict.js';
import type { RequestProblem } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import type { GuardedRun, RouterShared } from './RouterShared.js';
import { countMetric, getPoisonVerdict } from './RouterShared.js';
import {
  createAmbiguousProblem,
  noteRunAnswered,
  noteRunCompleted,
  noteRunCrash,
  stopRunsOf,
} from './RunSuspicion.js';
import { needsTrial, requestTrial, TRIAL_RETRY } from './RunTrials.js';
import { MIN_RECHOOSE_DELAY } from './RunBackoff.js';

/** Whether a run may go to a backend server now. */
export type RunPermission =
  | { readonly kind: 'granted' }
  /** It is one of the runs that are ended now. */
  | { readonly kind: 'condemned' }
  | { readonly kind: 'refused'; readonly problem: RequestProblem }
  /** Nobody knows yet: it asks again after the delay. */
  | { readonly kind: 'later'; readonly delay: Millis };

export interface RunGuard {
  /** Asks for an attempt; `done` is called at once, or when other instances have been asked. */
  ask(isFirst: boolean, done: (permission: RunPermission) => void): void;
  /** Records that an engine seems to have ended under an attempt that had produced some tokens. */
  noteCrash(engine: EngineId, attemptTokens: number): void;
  /** Records that engines answered an attempt that was opened at a time. */
  noteAnswered(engines: readonly EngineId[], openedAt: Millis): void;
  /** Records that the run was answered to its end. */
  noteCompleted(): void;
  /** Ends the watch over the run. */
  stop: Unregister;
}

const GRANTED: RunPermission = { kind: 'granted' };

/** Problem of a request that is refused before anything else is done for it; null if there is none. */
export function findPoisonProblem(
  shared: RouterShared,
  fingerprint: Fingerprint,
): RequestProblem | null {
  if (!isRefused(getPoisonVerdict(shared, fingerprint))) {
    return null;
  }
  countMetric(shared, 'poisonRefused');
  return { kind: ProblemKind.Poison, run: RunState.NotRun, retryAfter: null, instance: null };
}

/** Problem of a request that has not run, while nobody can tell whether it crashes engines; null if there is none. */
export function findSuspicion(
  shared: RouterShared,
  fingerprint: Fingerprint,
): RequestProblem | null {
  const isAmbiguous = getPoisonVerdict(shared, fingerprint) === PoisonVerdict.Ambiguous;
  return isAmbiguous ? createAmbiguousProblem(shared) : null;
}

/** Watches over a run until it ends; `logCrash` receives what is known after each crash. */
export function createRunGuard(
  shared: RouterShared,
  run: GuardedRun,
  logCrash: (reason: string) => void,
): RunGuard {
  const { fingerprint } = run;
  shared.guarded.add(run);

  function judge(isFirst: boolean): RunPermission {
    const verdict = getPoisonVerdict(shared, fingerprint);
    if (isRefused(verdict)) {
      stopRunsOf(shared, fingerprint);
      return { kind: 'condemned' };
    }
    if (isFirst && verdict === PoisonVerdict.Ambiguous) {
      return { kind: 'refused', problem: createAmbiguousProblem(shared) };
    }
    return verdict === PoisonVerdict.Doubted
      ? { kind: 'later', delay: MIN_RECHOOSE_DELAY }
      : GRANTED;
  }

  return {
    ask(isFirst, done) {
      const permission = judge(isFirst);
      if (permission.kind !== 'granted' || !needsTrial(shared, fingerprint)) {
        done(permission);
        return;
      }
      requestTrial(shared, fingerprint, (isGranted) =>
        shared.post(() => done(isGranted ? GRANTED : { kind: 'later', delay: TRIAL_RETRY })),
      );
    },
    noteCrash(engine, attemptTokens) {
      const tally = noteRunCrash(shared, fingerprint, engine, attemptTokens);
      countMetric(shared, tally === null ? 'plannedEnds' : 'crashes');
      logCrash(describeCrash(engine, fingerprint, tally));
    },
    noteAnswered: (engines, openedAt) => noteRunAnswered(shared, engines, openedAt),
    noteCompleted: () => noteRunCompleted(shared, fingerprint),
    stop: () => shared.guarded.delete(run),
  };
}

function describeCrash(
  engine: EngineId,
  fingerprint: Fingerprint,
  tally: PoisonTally | null,
): string {
  if (tally === null) {
    return `${engine} leaves, no crash of ${fingerprint}`;
  }
  const { verdict, known, counted, inOutages, cleared, disproven } = tally;
  const leftOut = `${inOutages} in outages, ${cleared} cleared, ${disproven} disproven`;
  return `${engine} ${fingerprint} ${verdict}: ${counted} of ${known} count, ${leftOut}`;
}
