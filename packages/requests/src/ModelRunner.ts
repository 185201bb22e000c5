/**
 * Runs one model request: feeds events to its state machine, one at a time, and executes the resulting
 * effects through the ports.
 */
import { formatChain } from '@skylarksail/core/CoreChain';
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createAttemptRunner } from './AttemptRunner.js';
import type { ClaimHandle } from './ClaimRunner.js';
import { LATE_TICK_TOLERANCE } from './RequestAttempt.js';
import { decodeAnswer, encodeAnswer } from './RequestAnswers.js';
import { stepRequest } from './RequestMachine.js';
import type { GiveUpReasonName, RequestEffect, RequestEvent } from './RequestMessages.js';
import { RequestPhase } from './RequestMessages.js';
import { computeFingerprint } from './RequestPoison.js';
import type { FinishReason } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { RequestMachine } from './RequestState.js';
import { createRequestMachine, getFirstTokenDeadline } from './RequestState.js';
import { createSuspects } from './RequestSuspects.js';
import type { RequestHandle, RequestProblem, RequestSink, RequestSpec } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import type { ModelRun, RouterShared } from './RouterShared.js';
import { countGiveUp, countMetric, logDecision, returnToBudget } from './RouterShared.js';
import type { DecisionName } from './RouterTypes.js';
import { beginRun } from './RunBegin.js';
import { createRunRetries } from './RunRetries.js';
import { MIN_RECHOOSE_DELAY } from './RunBackoff.js';
import { listFirstEngines } from './RunEnds.js';
import { hasBegun, isStalled } from './RunSilence.js';
import type { RunPermission } from './RunGuard.js';
import { createRunGuard } from './RunGuard.js';
import { noteRunToken } from './RunSuspicion.js';
import { createRunWatch } from './RunWatch.js';

type EffectOf<K extends RequestEffect['kind']> = Extract<RequestEffect, { kind: K }>;

/** Starts a request; its sink receives all further events. */
export function startModelRun(
  shared: RouterShared,
  spec: RequestSpec,
  sink: RequestSink,
): RequestHandle {
  const { deps, admission, recovery, meters } = shared;
  const { timers } = deps;
  const submittedAt = timers.now();
  const { team, model, prompt, sharedParts: partIds = [] } = spec;
  const suspects = createSuspects(computeFingerprint(team, model, prompt), {
    team,
    model,
    partIds,
  });
  const tokens: string[] = [];
  const attempts = createAttemptRunner(shared, spec, suspects, tokens, send);
  const cancelDeadline = timers.registerTimeout(spec.deadline - submittedAt, () =>
    send({ kind: 'deadline' }),
  );
  let machine = createRequestMachine(spec, submittedAt);
  let cancelPatienceTimeout = schedulePatienceTimeout(machine.firstTokenDeadline ?? Infinity);
  let listener: RequestSink | null = sink;
  let isStarted = false;
  let claim: ClaimHandle | null = null;
  let longestGap: Millis = 0;

  const getMachine = (): RequestMachine => machine;
  const retries = createRunRetries(shared, { spec, getMachine, send, giveUp: recordGiveUp, log });
  const watch = createRunWatch(shared, {
    spec,
    getMachine,
    attempts,
    retries,
    send,
    giveUp: recordGiveUp,
    log,
  });

  const run: ModelRun = {
    suspects,
    getEngines: () => attempts.getEngines(),
    getQueued: () => {
      const [first] = attempts.getEngines();
      const isQueued = machine.phase === RequestPhase.Running && machine.attemptTokens === 0;
      return first !== undefined && isQueued
        ? { engine: first, priority: spec.priority, since: machine.openedAt }
        : null;
    },
    hasBegun: () => hasBegun(machine),
    isStalled: (now) => isStalled(machine, now),
    getInterrupted: () =>
      machine.tokenCount > 0 && machine.phase !== RequestPhase.Running
        ? (machine.chain?.variant ?? null)
        : null,
    takePace(now) {
      const chain = attempts.getChain();
      const gap = Math.max(longestGap, now - machine.lastActivityAt);
      longestGap = 0;
      return chain && hasBegun(machine) ? { chain, gap } : null;
    },
    startRecovery: () => {
      countMetric(shared, 'recoveries');
      send({ kind: 'retry-granted', failed: retries.getFailedEngines() });
    },
    checkSlow: watch.checkSlow,
    condemn: () => send({ kind: 'condemned' }),
    onDrainLimit: () => send({ kind: 'drain-limit' }),
  };
  const guard = createRunGuard(shared, run, log);

  function send(event: RequestEvent): void {
    shared.post(() => {
      const step = stepRequest(machine, event, timers.now());
      machine = step.machine;
      step.effects.forEach(runEffect);
    });
  }

  /** Checks again if the timer fires late: after a pause of this process, tokens may have arrived unread. */
  function schedulePatienceTimeout(dueAt: Millis): Unregister {
    if (dueAt === Infinity) {
      return () => undefined;
    }
    return timers.registerTimeout(dueAt - timers.now(), () => {
      if (timers.now() - dueAt > LATE_TICK_TOLERANCE) {
        cancelPatienceTimeout = schedulePatienceTimeout(timers.now() + LATE_TICK_TOLERANCE);
      } else {
        send({ kind: 'patience-over' });
      }
    });
  }

  function runEffect(effect: RequestEffect): void {
    switch (effect.kind) {
      case 'choose':
        choose(effect);
        break;
      case 'open':
        open(effect);
        break;
      case 'close':
        watch.stop();
        attempts.close(effect.outcome);
        break;
      case 'token':
        forwardToken(effect);
        break;
      case 'watch':
        watch.scheduleCheck(effect.delay);
        break;
      case 'silent':
        watch.handleSilence();
        break;
      case 'ask-retry':
        retries.ask(effect);
        break;
      case 'attempt-failed':
        noteFailure(effect);
        break;
      case 'recovered':
        countMetric(shared, 'recoveryFirstTokenMs', effect.firstToken);
        countMetric(shared, 'pauseMs', effect.pause);
        break;
      case 'given-up':
        recordGiveUp(effect.reason);
        break;
      case 'complete':
        complete(effect.reason);
        break;
      case 'replay':
        replay(effect.answer);
        break;
      case 'fail':
        fail(effect.problem);
        break;
      case 'count':
        countMetric(shared, effect.name === 'late-frame' ? 'lateFrames' : 'repeatedFrames');
        break;
      default:
        failUnreachable(effect);
    }
  }

  function log(decision: DecisionName, reason: string | null): void {
    const chosen = attempts.getChain();
    const chain = chosen ? formatChain(chosen) : null;
    const { id: request } = spec;
    logDecision(shared, { request, team, decision, attempt: machine.attempt, chain, reason });
  }

  function recordGiveUp(reason: GiveUpReasonName): void {
    countGiveUp(shared, reason);
    log('give-up', reason);
  }

  function choose(effect: EffectOf<'choose'>): void {
    const isNew = machine.attempt === 0;
    if (isNew && shared.starved.isStarved(spec.variant, timers.now())) {
      send({ kind: 'no-chain', isFull: true, isTooLate: false, retryAfter: MIN_RECHOOSE_DELAY });
      return;
    }
    guard.ask(isNew, (permission) => continueWith(permission, effect));
  }

  /** The permission may come after the request has ended. */
  function continueWith(permission: RunPermission, effect: EffectOf<'choose'>): void {
    if (machine.phase !== RequestPhase.Choosing) {
      return;
    }
    switch (permission.kind) {
      case 'granted':
        chooseChain(effect);
        break;
      case 'refused':
        send({ kind: 'refused', problem: permission.problem });
        break;
      case 'later':
        recovery.finish(spec.id);
        send({ kind: 'no-chain', isFull: true, isTooLate: false, retryAfter: permission.delay });
        break;
      case 'condemned':
        break;
      default:
        failUnreachable(permission);
    }
  }

  function chooseChain(effect: EffectOf<'choose'>): void {
    const now = timers.now();
    const beginBy = getFirstTokenDeadline(machine);
    const firstEngines = listFirstEngines(shared, machine);
    if (!attempts.choose({ ...effect, beginBy, firstEngines })) {
      log('no-chain', effect.failed.join(','));
      if (machine.tokenCount > 0) {
        shared.starved.noteStarved(machine.chain?.variant ?? spec.variant, now);
      }
      admission.noteRefusal();
      recovery.finish(spec.id);
      shared.startQueuedRecoveries();
    }
  }

  function open(effect: EffectOf<'open'>): void {
    if (machine.failedAt !== null) {
      countMetric(shared, 'replacementMs', timers.now() - machine.failedAt);
    }
    attempts.open(effect);
    log(effect.attempt === 1 ? 'chain' : 'repair', null);
  }

  function forwardToken(effect: EffectOf<'token'>): void {
    const now = timers.now();
    const wait = now - effect.since;
    const chain = attempts.getChain();
    tokens.push(effect.token);
    if (chain) {
      noteRunToken(
        shared,
        suspects.request,
        chain,
        machine.attemptTokens,
        effect.isFirst ? null : wait,
      );
    }
    if (effect.isFirst) {
      noteFirstTokenOfAttempt(effect.index, wait);
    } else {
      longestGap = Math.max(longestGap, wait);
      meters.noteGap(spec.model, wait);
      admission.noteGap(wait);
      countMetric(shared, 'gapMs', wait);
    }
    notifyStart();
    listener?.onToken(effect.index, effect.token);
  }

  function noteFirstTokenOfAttempt(index: number, wait: Millis): void {
    recovery.finish(spec.id);
    shared.startQueuedRecoveries();
    attempts.noteFirstToken(wait);
    guard.noteAnswered(attempts.getEngines(), machine.openedAt);
    guard.noteBegun();
    if (index === 0) {
      admission.noteFirstToken(wait);
      countMetric(shared, 'firstTokenMs', timers.now() - submittedAt);
    }
  }

  function notifyStart(): void {
    if (!isStarted) {
      isStarted = true;
      listener?.onStart(attempts.getHead());
    }
  }

  function noteFailure(effect: EffectOf<'attempt-failed'>): void {
    countMetric(shared, 'detectionMs', effect.detection);
    recovery.finish(spec.id);
    log('attempt-failed', `${effect.place} ${effect.failureClass} ${effect.engines.join(',')}`);
    if (effect.place === FailurePlace.Refused) {
      admission.noteRefusal();
    }
    if (effect.place === FailurePlace.Connect && effect.attempt > 1) {
      returnToBudget(shared, spec.model);
    }
    const [engine] = effect.engines;
    if (engine === undefined || effect.engines.length > 1) {
      return;
    }
    if (effect.isRefusal && deps.cfg.keepsOffRefusing) {
      shared.progress.noteRefused(engine, timers.now());
    } else if (effect.isLost) {
      shared.progress.noteLost(engine, effect.place !== FailurePlace.Silence, timers.now());
    }
    if (effect.isCrash) {
      guard.noteCrash(engine, effect.attemptTokens);
    }
  }

  function complete(reason: FinishReason): void {
    meters.noteLength(spec.model, tokens.length, spec.maxTokens);
    guard.noteCompleted();
    claim?.settle({ run: RunState.Ran, answer: encodeAnswer({ reason, text: tokens.join('') }) });
    countMetric(shared, 'completed');
    log('complete', reason);
    notifyStart();
    cleanUp()?.onEnd(reason);
  }

  function replay(answer: string): void {
    const { reason, text } = decodeAnswer(answer);
    log('complete', 'answer held');
    notifyStart();
    const ended = cleanUp();
    if (text !== '') {
      ended?.onToken(0, text);
    }
    ended?.onEnd(reason);
  }

  function fail(problem: RequestProblem): void {
    const isNotRun = problem.run === RunState.NotRun;
    claim?.end(problem.run);
    countMetric(shared, isNotRun ? 'refused' : 'failed');
    log(isNotRun ? 'refuse' : 'fail', `${problem.kind} ${problem.run}`);
    cleanUp()?.onError(problem);
  }

  /** Releases all resources; returns the sink, which receives at most the final event. */
  function cleanUp(): RequestSink | null {
    const ended = listener;
    listener = null;
    cancelDeadline();
    cancelPatienceTimeout();
    watch.stop();
    retries.stop();
    attempts.close({ kind: 'cancelled' });
    shared.runs.delete(spec.id);
    guard.stop();
    recovery.finish(spec.id);
    admission.release(spec.id, timers.now());
    shared.startQueuedRecoveries();
    return ended;
  }

  function handleHangUp(): void {
    const isRunningKeyed = claim !== null && machine.attempt > 0;
    if (!isRunningKeyed || machine.phase === RequestPhase.Ended) {
      send({ kind: 'hang-up' });
      return;
    }
    // A running keyed request continues without its caller, so that a resend finds the answer.
    const hungUpListener = listener;
    listener = null;
    const hasTokens = machine.tokenCount > 0;
    hungUpListener?.onError({
      kind: ProblemKind.HungUp,
      run: hasTokens ? RunState.Ran : RunState.Unknown,
      retryAfter: null,
      instance: null,
    });
  }

  shared.runs.set(spec.id, run);
  shared.post(() => {
    claim = beginRun(shared, { spec, submittedAt, guard, send, log });
  });
  return { cancel: () => shared.post(handleHangUp) };
}
