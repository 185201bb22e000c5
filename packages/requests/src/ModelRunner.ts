/**
 * Runs one model request: steps its machine with what happens, one event after the other, and carries
 * out the effects through the ports.
 */
import { formatChain } from '@skylarksail/core/CoreChain';
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createAttemptRunner } from './AttemptRunner.js';
import type { ClaimHold } from './ClaimRunner.js';
import { claimKey } from './ClaimRunner.js';
import type { AdmissionAsk } from './RequestAdmission.js';
import { decodeAnswer, encodeAnswer } from './RequestAnswers.js';
import { hasRetry } from './RequestBudget.js';
import { computeBackoff } from './RequestFailures.js';
import { stepRequest } from './RequestMachine.js';
import type { RequestEffect, RequestEvent } from './RequestMessages.js';
import { RequestPhase } from './RequestMessages.js';
import { computeFingerprint, PoisonVerdict } from './RequestPoison.js';
import type { FinishReason } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import { createRequestMachine } from './RequestState.js';
import type { RequestHandle, RequestProblem, RequestSink, RequestSpec } from './RequestTypes.js';
import { getPromptTokens, ProblemKind } from './RequestTypes.js';
import type { ModelRun, RouterShared } from './RouterShared.js';
import { countMetric, feedBudget, judgeRun, logDecision, takeFromBudget } from './RouterShared.js';
import type { DecisionName } from './RouterTypes.js';
import { decideMove } from './RunMove.js';
import { clearRun, noteRunCrash, noteRunToken, stopCopies } from './RunSuspicion.js';

type EffectOf<K extends RequestEffect['kind']> = Extract<RequestEffect, { kind: K }>;

/** Prompts weigh this part of what generated tokens do. */
const PROMPT_COST = 1 / 8;
const RECHOOSE_LEAST: Millis = 50;
const RECHOOSE_MOST: Millis = 250;
const RETRY_JITTER = 0.3;
const BUDGET_WAIT: Millis = 500;
const STILL_AFTER: Millis = 80;
/** Silences that are borne where the other streams do not tell which engine is to blame. */
const UNCLEAR_SILENCES = 3;
/** Share of answers that may stand still at once while one engine is held to be the cause. */
const MOST_STILL = 0.7;

/** Starts a request; its sink hears everything from here on. */
export function startModelRun(
  shared: RouterShared,
  spec: RequestSpec,
  sink: RequestSink,
): RequestHandle {
  const { deps, admission, recovery, meters } = shared;
  const { timers } = deps;
  const submittedAt = timers.now();
  const fingerprint = computeFingerprint(spec.team, spec.model, spec.prompt);
  const promptTokens = getPromptTokens(spec);
  const tokens: string[] = [];
  const attempts = createAttemptRunner(shared, spec, fingerprint, tokens, send);
  const undoDeadline = timers.registerTimeout(spec.deadline - submittedAt, () =>
    send({ kind: 'deadline' }),
  );
  let machine = createRequestMachine(spec.idempotent, spec.maxTokens, submittedAt);
  let listener: RequestSink | null = sink;
  let isStarted = false;
  let lastFailed: readonly EngineId[] = [];
  let claim: ClaimHold | null = null;
  let undoWatch: Unregister | null = null;
  let slowSince: Millis | null = null;

  const run: ModelRun = {
    fingerprint,
    getEngines: () => attempts.getEngines(),
    isStill: (now) =>
      machine.phase === RequestPhase.Running &&
      machine.attemptTokens > 0 &&
      now - machine.signAt > STILL_AFTER,
    startRecovery: () => {
      countMetric(shared, 'recoveries');
      send({ kind: 'retry-granted', failed: lastFailed });
    },
    checkSlow: (usualGap) => {
      const move = decideMove(shared, spec, machine, usualGap, slowSince);
      slowSince = move.engine === null ? move.slowSince : null;
      if (move.engine !== null) {
        sendSilence([move.engine], true);
      }
    },
    condemn: () => send({ kind: 'condemned' }),
    reachDrainLimit: () => send({ kind: 'drain-limit' }),
  };

  function send(event: RequestEvent): void {
    shared.post(() => {
      const step = stepRequest(machine, event, timers.now());
      machine = step.machine;
      step.effects.forEach(runEffect);
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
        undoWatch?.();
        attempts.close(effect.outcome);
        break;
      case 'token':
        passToken(effect);
        break;
      case 'watch':
        watch(effect.delay);
        break;
      case 'silent':
        reportSilence();
        break;
      case 'ask-retry':
        askRetry(effect);
        break;
      case 'attempt-failed':
        noteFailure(effect);
        break;
      case 'recovered':
        countMetric(shared, 'recoveryFirstTokenMs', effect.firstToken);
        countMetric(shared, 'pauseMs', effect.pause);
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
    const { id: request, team } = spec;
    logDecision(shared, { request, team, decision, attempt: machine.attempt, chain, reason });
  }

  function choose(effect: EffectOf<'choose'>): void {
    const now = timers.now();
    const verdict = judgeRun(shared, fingerprint);
    if (verdict === PoisonVerdict.Condemned) {
      stopCopies(shared, fingerprint);
      return;
    }
    const isNew = machine.attempt === 0;
    if (verdict === PoisonVerdict.Doubted || (isNew && verdict === PoisonVerdict.Ambiguous)) {
      recovery.finish(spec.id);
      send({ kind: 'no-chain', isFull: true, retryAfter: RECHOOSE_LEAST });
      return;
    }
    if (isNew && shared.starved.isStarved(spec.model, now)) {
      send({ kind: 'no-chain', isFull: true, retryAfter: RECHOOSE_LEAST });
      return;
    }
    if (!attempts.choose(effect)) {
      log('no-chain', effect.failed.join(','));
      if (machine.tokenCount > 0) {
        shared.starved.noteStarved(spec.model, now);
      }
      admission.noteRefusal();
      recovery.finish(spec.id);
      shared.pumpRecoveries();
    }
  }

  function open(effect: EffectOf<'open'>): void {
    if (machine.failedAt !== null) {
      countMetric(shared, 'replacementMs', timers.now() - machine.failedAt);
    }
    attempts.open(effect);
    log(effect.attempt === 1 ? 'chain' : 'repair', null);
  }

  function watch(delay: Millis): void {
    const dueAt = timers.now() + delay;
    undoWatch?.();
    undoWatch = timers.registerTimeout(delay, () => send({ kind: 'tick', dueAt }));
  }

  function passToken(effect: EffectOf<'token'>): void {
    const now = timers.now();
    const wait = now - effect.since;
    const chain = attempts.getChain();
    tokens.push(effect.token);
    if (chain) {
      noteRunToken(shared, fingerprint, chain, machine.attemptTokens, effect.isFirst ? null : wait);
    }
    if (effect.isFirst) {
      noteFirstOfAttempt(effect.index, wait);
    } else {
      meters.noteGap(spec.model, wait);
      admission.noteGap(wait);
      countMetric(shared, 'gapMs', wait);
    }
    start();
    listener?.onToken(effect.index, effect.token);
  }

  function noteFirstOfAttempt(index: number, wait: Millis): void {
    recovery.finish(spec.id);
    shared.pumpRecoveries();
    attempts.noteFirstToken(wait);
    if (index === 0) {
      admission.noteFirstToken(wait);
      countMetric(shared, 'firstTokenMs', timers.now() - submittedAt);
    }
  }

  function start(): void {
    if (!isStarted) {
      isStarted = true;
      listener?.onStart();
    }
  }

  function reportSilence(): void {
    const isRetry = machine.attemptTokens === 0 && machine.fruitless > 0;
    if (isRetry && !hasRetry(shared.getBudget())) {
      // Nothing could follow but giving up; the attempt may only be slow.
      send({ kind: 'silence-borne' });
      return;
    }
    const now = timers.now();
    const all = attempts.getEngines();
    const chain = attempts.getChain();
    // The later half of the silence: an engine that hung may have served another stream just before.
    const since = (machine.signAt + now) / 2;
    const silent = chain ? shared.progress.findSilent(chain, since) : [];
    const isAlone = shared.getStillShare() <= MOST_STILL;
    const isClear = isAlone && silent.length > 0 && silent.length < all.length;
    if (!isClear && machine.borne < UNCLEAR_SILENCES) {
      // A slow link holds up many streams at once, and prompts read again would hold them up longer.
      send({ kind: 'silence-borne' });
      return;
    }
    sendSilence(isClear ? silent : all, false);
  }

  function sendSilence(suspects: readonly EngineId[], isSlow: boolean): void {
    const failure = {
      place: FailurePlace.Silence,
      engine: null,
      status: null,
      retryAfter: null,
      provenNotRun: false,
    };
    send({ kind: 'failure', attempt: machine.attempt, failure, suspects, isSlow });
  }

  function noteFailure(effect: EffectOf<'attempt-failed'>): void {
    countMetric(shared, 'detectionMs', effect.detection);
    recovery.finish(spec.id);
    log('attempt-failed', `${effect.place} ${effect.failureClass} ${effect.engines.join(',')}`);
    if (effect.place === FailurePlace.Refused) {
      admission.noteRefusal();
    }
    const [engine] = effect.engines;
    if (engine === undefined || effect.engines.length > 1) {
      return;
    }
    if (effect.isLost) {
      shared.progress.noteLost(engine, effect.place !== FailurePlace.Silence, timers.now());
    }
    if (effect.isCrash) {
      noteRunCrash(shared, fingerprint, engine, effect.attemptTokens);
    }
  }

  function askRetry(effect: EffectOf<'ask-retry'>): void {
    const { mode, failed, retryAfter } = effect;
    lastFailed = failed;
    if (mode === 'recover') {
      log('recover', failed.join(','));
      recovery.push({ id: spec.id, waitingSince: machine.progressAt });
      shared.pumpRecoveries();
      return;
    }
    const delay = mode === 'rechoose' ? computeRechoose(retryAfter) : computeDelay(effect);
    const isInTime = timers.now() + delay < spec.deadline;
    if (!isInTime) {
      send({ kind: 'retry-refused', retryAfter });
      return;
    }
    if (mode === 'retry' && !takeFromBudget(shared)) {
      waitForBudget(effect);
      return;
    }
    log('retry', mode);
    timers.registerTimeout(delay, () => send({ kind: 'retry-granted', failed }));
  }

  /** A caller that has part of its answer waits for the rest; any other is told at once. */
  function waitForBudget(effect: EffectOf<'ask-retry'>): void {
    if (machine.tokenCount === 0) {
      send({ kind: 'retry-refused', retryAfter: effect.retryAfter });
      return;
    }
    const { attempt } = machine;
    timers.registerTimeout(jitter(deps.random, BUDGET_WAIT, RETRY_JITTER), () =>
      shared.post(() => {
        if (machine.phase === RequestPhase.Pausing && machine.attempt === attempt) {
          askRetry(effect);
        }
      }),
    );
  }

  function computeDelay({ fruitless, retryAfter }: EffectOf<'ask-retry'>): Millis {
    return computeBackoff(deps.random, fruitless, retryAfter);
  }

  /** Nothing was sent, so looking again soon costs the engines nothing. */
  function computeRechoose(retryAfter: Millis | null): Millis {
    const wait = Math.min(RECHOOSE_MOST, Math.max(RECHOOSE_LEAST, retryAfter ?? 0));
    return jitter(deps.random, wait, RETRY_JITTER);
  }

  function complete(reason: FinishReason): void {
    meters.noteLength(spec.model, tokens.length, spec.maxTokens);
    clearRun(shared, fingerprint);
    claim?.settle({ run: RunState.Ran, answer: encodeAnswer({ reason, text: tokens.join('') }) });
    countMetric(shared, 'completed');
    log('complete', reason);
    start();
    leave()?.onEnd(reason);
  }

  function replay(answer: string): void {
    const { reason, text } = decodeAnswer(answer);
    log('complete', 'answer held');
    start();
    const ended = leave();
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
    leave()?.onError(problem);
  }

  /** Gives everything back; returns the sink, which hears one thing more at the most. */
  function leave(): RequestSink | null {
    const ended = listener;
    listener = null;
    undoDeadline();
    undoWatch?.();
    attempts.close({ kind: 'cancelled' });
    shared.runs.delete(spec.id);
    recovery.finish(spec.id);
    admission.leave(spec.id, timers.now());
    shared.pumpRecoveries();
    return ended;
  }

  function refuse(kind: RequestProblem['kind'], retryAfter: Millis | null): void {
    const problem = { kind, run: RunState.NotRun, retryAfter, instance: null };
    send({ kind: 'refused', problem });
  }

  function getAsk(): AdmissionAsk {
    return {
      id: spec.id,
      team: spec.team,
      priority: spec.priority,
      cost: spec.maxTokens + promptTokens * PROMPT_COST,
      kvTokens: promptTokens + spec.maxTokens,
      deadline: spec.deadline,
      duration: meters.estimateDuration(spec.model, promptTokens, spec.maxTokens),
    };
  }

  function enqueue(): void {
    const onAdmitted = (): void => {
      countMetric(shared, 'admitted');
      feedBudget(shared);
      log('admit', null);
      send({ kind: 'admitted' });
    };
    const onRefused = (retryAfter: Millis): void => refuse(ProblemKind.Overloaded, retryAfter);
    admission.enqueue(getAsk(), { onAdmitted, onRefused }, timers.now());
  }

  function begin(): void {
    const retryAfter = admission.check(getAsk(), submittedAt);
    if (spec.deadline <= submittedAt) {
      refuse(ProblemKind.Deadline, null);
    } else if (shared.isDraining()) {
      refuse(ProblemKind.Draining, 0);
    } else if (judgeRun(shared, fingerprint) === PoisonVerdict.Condemned) {
      countMetric(shared, 'poisonRefused');
      refuse(ProblemKind.Poison, null);
    } else if (retryAfter !== null) {
      refuse(ProblemKind.Overloaded, retryAfter);
    } else if (spec.idempotent || spec.idempotencyKey === null) {
      enqueue();
    } else {
      const work = { ...spec, key: spec.idempotencyKey, fingerprint };
      claim = claimKey(shared, work, {
        onGranted: enqueue,
        onHeld: (answer) => send({ kind: 'answer-held', answer }),
        onRefused: (problem) => send({ kind: 'refused', problem }),
      });
    }
  }

  function hangUp(): void {
    const isRunningKeyed = claim !== null && machine.attempt > 0;
    if (!isRunningKeyed || machine.phase === RequestPhase.Ended) {
      send({ kind: 'hang-up' });
      return;
    }
    // Keyed work that runs goes on without its caller, so that a resend finds the answer.
    const left = listener;
    listener = null;
    const isSeen = machine.tokenCount > 0;
    left?.onError({
      kind: ProblemKind.HungUp,
      run: isSeen ? RunState.Ran : RunState.Unknown,
      retryAfter: null,
      instance: null,
    });
  }

  shared.runs.set(spec.id, run);
  shared.post(begin);
  return { cancel: () => shared.post(hangUp) };
}
