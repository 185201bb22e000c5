/**
 * Runs one call to a plain service under the same limits, retries and claims as model requests. An answer
 * goes to the caller whatever its status; only an idempotent call is retried after a status that says that
 * the server is unavailable.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { ClaimHandle } from './ClaimRunner.js';
import { claimKey } from './ClaimRunner.js';
import type { Admission } from './RequestAdmission.js';
import { decodeServiceAnswer, encodeServiceAnswer } from './RequestAnswers.js';
import {
  classifyFailure,
  combineRunStates,
  computeBackoff,
  createUnreachedFailure,
  decideNextStep,
  describeCause,
  getRunState,
  isCrashLike,
  NextStep,
} from './RequestFailures.js';
import type { AttemptFailure, ServiceAnswer } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { AttemptOutcome, ProblemKindName, RequestHandle } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import { SILENCE_FAILURE } from './RunSilence.js';
import type { RouterShared } from './RouterShared.js';
import {
  countMetric,
  creditBudget,
  hasBudget,
  logDecision,
  takeFromBudget,
} from './RouterShared.js';
import type { DecisionName, ServerChoice } from './RouterTypes.js';
import type { RunPermission } from './RunGuard.js';
import { createRunGuard } from './RunGuard.js';
import {
  computeClaimFingerprint,
  createCallAdmission,
  createCallSuspects,
  createServiceCall,
  parseRetryAfter,
} from './ServiceCalls.js';
import { chooseServerFor, hasOtherServer, planWithoutServer } from './ServiceChoice.js';
import type { ServiceSink, ServiceSpec } from './ServiceTypes.js';

/** Statuses after which an idempotent call is retried: another server may succeed. */
const UNAVAILABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

export interface ServiceRun extends RequestHandle {
  /** Ends the call now with an error that states whether it has run. */
  onDrainLimit(): void;
}

/** Starts a call; its sink receives the answer or the error. */
export function startServiceRun(
  shared: RouterShared,
  admission: Admission,
  spec: ServiceSpec,
  sink: ServiceSink,
  onEnded: () => void,
): ServiceRun {
  const { deps } = shared;
  const { timers } = deps;
  const submittedAt = timers.now();
  const cancelDeadline = timers.registerTimeout(spec.deadline - submittedAt, () =>
    shared.post(() => fail(ProblemKind.Deadline, null)),
  );
  let listener: ServiceSink | null = sink;
  let isEnded = false;
  let isOpen = false;
  /** Whether a byte of the open attempt may have been sent. */
  let isSent = false;
  let attempt = 0;
  let fruitless = 0;
  let run: RunStateName = RunState.NotRun;
  let avoid: readonly EngineId[] = [];
  let cancelCall: Unregister | null = null;
  let cancelAttemptTimeout: Unregister = () => undefined;
  let cancelRetry: Unregister = () => undefined;
  let choice: ServerChoice | null = null;
  let claim: ClaimHandle | null = null;
  const suspects = createCallSuspects(spec);
  const guard = createRunGuard(
    shared,
    {
      suspects,
      getEngines: () => (isOpen && choice !== null ? [choice.server] : []),
      // The answer arrives as a whole.
      hasBegun: () => false,
      condemn: () => shared.post(() => fail(ProblemKind.Poison, null)),
    },
    (decision, reason) => log(decision, null, reason),
  );

  function log(decision: DecisionName, chain: string | null, reason: string | null): void {
    const { id: request, team } = spec;
    logDecision(shared, { request, team, decision, attempt, chain, reason });
  }

  function dispatch(): void {
    if (!isEnded) {
      guard.ask(run === RunState.NotRun, continueWith);
    }
  }

  /** The permission may come after the call has ended. */
  function continueWith(permission: RunPermission): void {
    if (isEnded) {
      return;
    }
    switch (permission.kind) {
      case 'granted':
        open();
        break;
      case 'refused':
        failWith(permission.problem);
        break;
      case 'later':
        cancelRetry = timers.registerTimeout(permission.delay, () => shared.post(dispatch));
        break;
      case 'condemned':
        break;
      default:
        failUnreachable(permission);
    }
  }

  function open(): void {
    const chosen = chooseServerFor(shared, spec.service, suspects, avoid);
    if (chosen === null) {
      handleNoServer();
      return;
    }
    const { server } = chosen;
    choice = chosen;
    attempt += 1;
    isOpen = true;
    isSent = true;
    log('server', server, null);
    const current = attempt;
    const openedAt = timers.now();
    scheduleAttemptTimeout(current, server);
    cancelCall = deps.openServiceCall(
      createServiceCall(spec, { attempt, server, timeLeft: spec.deadline - openedAt }),
      {
        onConnection: (isNowSent) => {
          if (current !== attempt || !isOpen) {
            return;
          }
          isSent = isNowSent;
          if (isSent) {
            // The server has had the call only from now on.
            cancelAttemptTimeout();
            scheduleAttemptTimeout(current, server);
          }
        },
        onAnswer: (answer) =>
          shared.post(() => handleIfCurrent(current, () => handleAnswer(answer, server, openedAt))),
        onFailure: (failure) =>
          shared.post(() => handleIfCurrent(current, () => handleFailure(failure, server))),
      },
    );
  }

  function handleNoServer(): void {
    const next = planWithoutServer(shared, spec.service);
    if (next.kind === 'wait') {
      cancelRetry = timers.registerTimeout(next.delay, () => shared.post(dispatch));
    } else {
      fail(next.problem, next.retryAfter);
    }
  }

  /** Abandons a silent server after `attemptTimeout` if another server may be tried. */
  function scheduleAttemptTimeout(watchedAttempt: number, server: EngineId): void {
    const mayRetry = spec.idempotent && fruitless + 1 < (spec.maxAttempts ?? Infinity);
    if (spec.attemptTimeout === undefined || !mayRetry) {
      return;
    }
    cancelAttemptTimeout = timers.registerTimeout(spec.attemptTimeout, () =>
      shared.post(() => {
        if (
          isOpen &&
          watchedAttempt === attempt &&
          hasBudget(shared, spec.service) &&
          hasOtherServer(shared, spec.service, [...avoid, server])
        ) {
          cancelCall?.();
          const failure = isSent ? SILENCE_FAILURE : createUnreachedFailure(server);
          handleIfCurrent(watchedAttempt, () => handleFailure(failure, server));
        }
      }),
    );
  }

  function handleIfCurrent(expectedAttempt: number, handle: () => void): void {
    if (isEnded || !isOpen || expectedAttempt !== attempt) {
      countMetric(shared, 'lateFrames');
      return;
    }
    isOpen = false;
    cancelCall = null;
    cancelAttemptTimeout();
    handle();
  }

  function handleAnswer(answer: ServiceAnswer, server: EngineId, openedAt: Millis): void {
    const firstToken = timers.now() - openedAt;
    admission.noteFirstToken(firstToken);
    const isUnavailable = UNAVAILABLE_STATUSES.has(answer.status);
    run = RunState.Ran;
    guard.noteAnswered([server], openedAt);
    guard.noteCompleted();
    release(
      isUnavailable
        ? { kind: 'failed', engine: server, cause: 'refused' }
        : { kind: 'answered', firstToken, meanGap: null },
    );
    if (isUnavailable && spec.idempotent && retry(server, parseRetryAfter(answer))) {
      return;
    }
    finish(answer);
  }

  function handleFailure(failure: AttemptFailure, server: EngineId): void {
    const evidence = { acknowledged: false, tokens: 0, ended: false };
    const failureClass = classifyFailure(failure, evidence);
    run = combineRunStates(run, getRunState(failureClass));
    log('attempt-failed', server, `${failure.place} ${failureClass}`);
    release({ kind: 'failed', engine: server, cause: describeCause(failure) });
    if (failure.place === FailurePlace.Refused) {
      admission.noteRefusal();
    }
    if (isCrashLike(failure)) {
      guard.noteCrash(server, 0);
    }
    if (
      failure.place === FailurePlace.Connect &&
      hasOtherServer(shared, spec.service, [...avoid, server])
    ) {
      // No server has received this attempt, so it takes none of those that the route allows, and no retry.
      avoid = [...avoid, server];
      dispatch();
      return;
    }
    const next = decideNextStep(failure, failureClass, {
      idempotent: spec.idempotent,
      fruitless: fruitless + 1,
      hasTokens: false,
    });
    if (next === NextStep.Stop || !retry(server, failure.retryAfter)) {
      fail(ProblemKind.EngineFailed, failure.retryAfter);
    }
  }

  /** Schedules a retry if the attempt limit, the deadline and the budget allow it. */
  function retry(server: EngineId, retryAfter: Millis | null): boolean {
    fruitless += 1;
    if (fruitless >= (spec.maxAttempts ?? Infinity)) {
      return false;
    }
    const delay = computeBackoff(deps.random, fruitless, retryAfter);
    if (timers.now() + delay >= spec.deadline || !takeFromBudget(shared, spec.service)) {
      return false;
    }
    avoid = [...avoid, server];
    log('retry', null, null);
    cancelRetry = timers.registerTimeout(delay, () => shared.post(dispatch));
    return true;
  }

  function release(outcome: AttemptOutcome): void {
    choice?.release(outcome);
    choice = null;
  }

  function finish(answer: ServiceAnswer): void {
    claim?.settle({ run: RunState.Ran, answer: encodeServiceAnswer(answer) });
    countMetric(shared, 'completed');
    log('complete', null, `${answer.status}`);
    const ended = listener;
    cleanUp();
    ended?.onAnswer(answer);
  }

  function getRun(): RunStateName {
    return isOpen && isSent ? combineRunStates(run, RunState.Unknown) : run;
  }

  function fail(kind: ProblemKindName, retryAfter: Millis | null): void {
    failWith({ kind, run: getRun(), retryAfter, instance: null });
  }

  function failWith(problem: Parameters<ServiceSink['onError']>[0]): void {
    if (isEnded) {
      return;
    }
    claim?.end(getRun());
    countMetric(shared, problem.run === RunState.NotRun ? 'refused' : 'failed');
    log(
      problem.run === RunState.NotRun ? 'refuse' : 'fail',
      null,
      `${problem.kind} ${problem.run}`,
    );
    const ended = listener;
    cleanUp();
    ended?.onError(problem);
  }

  function cleanUp(): void {
    isEnded = true;
    listener = null;
    guard.stop();
    cancelDeadline();
    cancelAttemptTimeout();
    cancelRetry();
    cancelCall?.();
    release({ kind: 'cancelled' });
    admission.release(spec.id, timers.now());
    onEnded();
  }

  function enqueue(): void {
    admission.enqueue(
      createCallAdmission(spec),
      {
        onAdmitted: () => {
          countMetric(shared, 'admitted');
          creditBudget(shared, spec.service);
          shared.post(dispatch);
        },
        onRefused: (retryAfter) => shared.post(() => fail(ProblemKind.Overloaded, retryAfter)),
      },
      timers.now(),
    );
  }

  /** Runs after the key is claimed: a stored answer needs no server, and a key that has run isn't told as not run. */
  function requestAdmission(): void {
    const problem = guard.findProblem();
    if (problem !== null) {
      failWith(problem);
      return;
    }
    const retryAfter = admission.check(createCallAdmission(spec), timers.now());
    if (retryAfter === null) {
      enqueue();
    } else {
      fail(ProblemKind.Overloaded, retryAfter);
    }
  }

  function begin(): void {
    if (spec.deadline <= submittedAt) {
      fail(ProblemKind.Deadline, null);
    } else if (shared.isDraining()) {
      fail(ProblemKind.Draining, 0);
    } else if (spec.idempotent || spec.idempotencyKey === null) {
      requestAdmission();
    } else {
      claim = claimKey(
        shared,
        { ...spec, key: spec.idempotencyKey, fingerprint: computeClaimFingerprint(spec) },
        {
          onGranted: requestAdmission,
          onReplayed: (answer) => finish(decodeServiceAnswer(answer)),
          onRefused: failWith,
        },
      );
    }
  }

  function cancel(): void {
    shared.post(() => {
      if (claim !== null && isOpen) {
        // A running keyed call continues without its caller, so that a resend finds the answer.
        const hungUpListener = listener;
        listener = null;
        hungUpListener?.onError({
          kind: ProblemKind.HungUp,
          run: RunState.Unknown,
          retryAfter: null,
          instance: null,
        });
      } else {
        fail(ProblemKind.HungUp, null);
      }
    });
  }

  shared.post(begin);
  return {
    cancel,
    onDrainLimit: () => shared.post(() => fail(ProblemKind.Draining, null)),
  };
}
