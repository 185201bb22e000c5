/**
 * The one way of a run to a backend server, whether a model or a plain service answers it. A run asks here before each
 * attempt and reports here how the attempt ended, so that a request that crashes the servers that run it is counted
 * whoever runs it. A kind of run that went past it would cost the fleet a server with each copy of such a request.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { PoisonTally } from './RequestPoisonVerdict.js';
import { isRefused, PoisonVerdict } from './RequestPoisonVerdict.js';
import type { RequestSuspects } from './RequestSuspects.js';
import type { RequestProblem } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import type { GuardedRun, RouterShared } from './RouterShared.js';
import { countMetric } from './RouterShared.js';
import type { DecisionName } from './RouterTypes.js';
import {
  createAmbiguousProblem,
  noteRunAnswered,
  noteRunCompleted,
  noteRunCrash,
  stopRunsOf,
} from './RunSuspicion.js';
import type { RunHold } from './RunTrials.js';
import { findHold, requestTrial, TRIAL_RETRY } from './RunTrials.js';
import { judgeRun } from './RunVerdict.js';
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
  /** Problem for which the run is refused before anything else is done for it; null if there is none. */
  findProblem(): RequestProblem | null;
  /** Asks for an attempt; `done` is called at once, or when other instances have been asked. */
  ask(isFirst: boolean, done: (permission: RunPermission) => void): void;
  /** Records that an engine seems to have ended under an attempt that had produced some tokens. */
  noteCrash(engine: EngineId, attemptTokens: number): void;
  /** Records that the answer of an attempt has begun. */
  noteBegun(): void;
  /** Records that engines answered an attempt that was opened at a time. */
  noteAnswered(engines: readonly EngineId[], openedAt: Millis): void;
  /** Records that the run was answered to its end. */
  noteCompleted(): void;
  /** Ends the watch over the run. */
  stop: Unregister;
}

const GRANTED: RunPermission = { kind: 'granted' };

/** Watches over a run until it ends; `log` receives each crash and each verdict for which it is refused or stopped. */
export function createRunGuard(
  shared: RouterShared,
  run: GuardedRun,
  log: (decision: DecisionName, reason: string) => void,
): RunGuard {
  const { suspects } = run;
  shared.guarded.add(run);

  function judge(isFirst: boolean): RunPermission {
    const { verdict, fault, isOfPart } = judgeRun(shared, suspects);
    if (isRefused(verdict)) {
      log('verdict', `${verdict}: ${fault}`);
      if (isOfPart) {
        run.condemn();
      } else {
        stopRunsOf(shared, suspects.request);
      }
      return { kind: 'condemned' };
    }
    if (isFirst && verdict === PoisonVerdict.Ambiguous) {
      return { kind: 'refused', problem: createAmbiguousProblem(shared) };
    }
    return verdict === PoisonVerdict.Doubted
      ? { kind: 'later', delay: MIN_RECHOOSE_DELAY }
      : GRANTED;
  }

  function waitFor(hold: RunHold, done: (permission: RunPermission) => void): void {
    if (hold.kind === 'later') {
      done(hold);
      return;
    }
    requestTrial(shared, hold.suspect, (isGranted) =>
      shared.post(() => done(isGranted ? GRANTED : { kind: 'later', delay: TRIAL_RETRY })),
    );
  }

  return {
    findProblem() {
      const { verdict, fault } = judgeRun(shared, suspects);
      if (!isRefused(verdict) && verdict !== PoisonVerdict.Ambiguous) {
        return null;
      }
      log('verdict', `${verdict}: ${fault}`);
      if (verdict === PoisonVerdict.Ambiguous) {
        return createAmbiguousProblem(shared);
      }
      countMetric(shared, 'poisonRefused');
      return { kind: ProblemKind.Poison, run: RunState.NotRun, retryAfter: null, instance: null };
    },
    ask(isFirst, done) {
      const permission = judge(isFirst);
      const hold = permission.kind === 'granted' ? findHold(shared, suspects, isFirst) : null;
      if (hold === null) {
        done(permission);
      } else {
        waitFor(hold, done);
      }
    },
    noteCrash(engine, attemptTokens) {
      const tally = noteRunCrash(shared, suspects, engine, attemptTokens);
      countMetric(shared, tally === null ? 'plannedEnds' : 'crashes');
      log('crash', describeCrash(engine, suspects, tally, attemptTokens > 0));
    },
    noteBegun: () =>
      shared.crashes.noteBegun(
        suspects.parts.map(({ name }) => name),
        shared.deps.timers.now(),
      ),
    noteAnswered: (engines, openedAt) => noteRunAnswered(shared, engines, openedAt),
    noteCompleted: () => noteRunCompleted(shared, suspects.request),
    stop: () => shared.guarded.delete(run),
  };
}

/** Lists all that may have caused the crash: the request and, if its answer had not begun, the parts of its prompt. */
function describeCrash(
  engine: EngineId,
  { request, parts }: RequestSuspects,
  tally: PoisonTally | null,
  hasBegun: boolean,
): string {
  if (tally === null) {
    return `${engine} leaves, no crash of ${request}`;
  }
  const { verdict, known, counted, inOutages, cleared, disproven } = tally;
  const leftOut = `${inOutages} in outages, ${cleared} cleared, ${disproven} disproven`;
  const shared = parts.map(({ name, label }) => `${name}=${label}`).join(' ');
  const begun = hasBegun ? 'had begun' : `had not begun, parts ${shared || 'none'}`;
  return `${engine} ${request} ${verdict}: ${counted} of ${known} count, ${leftOut}; ${begun}`;
}
