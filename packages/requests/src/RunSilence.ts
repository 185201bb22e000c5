/** Decides what the silence of an attempt means: failure of one engine, failure of all, or no failure yet. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { RequestPhase } from './RequestMessages.js';
import type { AttemptFailure } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { EngineFate } from './RouterTypes.js';
import { getBreakTime } from './RunBreak.js';
import type { FailoverBlockerName, HasChainWithout } from './RunFailover.js';
import { findFailoverBlocker, FAILOVER_CHECK_PERIOD } from './RunFailover.js';

/** Time without a token after which an answer counts as stalled. */
const STALLED_AFTER: Millis = 80;
/** Consecutive silences tolerated on a link that is known to be slow. */
const MAX_SLOW_LINK_SILENCES = 6;
/** Consecutive silences tolerated when no stream has received a token through any engine of the chain. */
const MAX_CHAIN_SILENCES = 1;
/** Single engines are blamed only while the share of begun answers that are stalled is at most this. */
const MAX_STALLED_SHARE = 0.7;

/** Failure of an attempt that is silent or slow. */
export const SILENCE_FAILURE: AttemptFailure = {
  place: FailurePlace.Silence,
  engine: null,
  status: null,
  retryAfter: null,
  provenNotRun: false,
};

/** Reaction to a silence. */
export type SilenceDecision =
  /** The attempt has failed; replace these engines. */
  | { readonly kind: 'failed'; readonly suspects: readonly EngineId[] }
  /** The silence is tolerated, and the attempt gets another timeout. */
  | { readonly kind: 'borne' }
  /** No other attempt can replace it now; check again after `delay`. */
  | {
      readonly kind: 'look-again';
      readonly delay: Millis;
      readonly blocker: FailoverBlockerName;
      readonly suspects: readonly EngineId[];
    }
  /** Its engines probably keep it waiting for memory; check again after `delay`. */
  | { readonly kind: 'queued'; readonly delay: Millis; readonly suspects: readonly EngineId[] }
  /** The caller has received nothing for so long that it is better served elsewhere. */
  | { readonly kind: 'given-up' };

/** Decides on an attempt that has been silent for too long. */
export function decideSilence(
  shared: RouterShared,
  spec: RequestSpec,
  machine: RequestMachine,
  hasChainWithout: HasChainWithout,
): SilenceDecision {
  const suspects = findSilenceSuspects(shared, machine);
  if (suspects === null) {
    return { kind: 'borne' };
  }
  const queueTime = getQueueTime(shared, spec, machine);
  if (queueTime > 0) {
    return { kind: 'queued', delay: Math.min(FAILOVER_CHECK_PERIOD, queueTime), suspects };
  }
  const failoverBlocker = findFailoverBlocker(shared, spec, machine, suspects, hasChainWithout);
  if (failoverBlocker === null) {
    return { kind: 'failed', suspects };
  }
  const patientUntil = machine.patientUntil ?? Infinity;
  const endsAt = machine.tokenCount > 0 ? getBreakTime(shared, spec, machine) : patientUntil;
  const timeLeft = endsAt - shared.deps.timers.now();
  return timeLeft <= 0
    ? { kind: 'given-up' }
    : {
        kind: 'look-again',
        delay: Math.min(FAILOVER_CHECK_PERIOD, timeLeft),
        blocker: failoverBlocker,
        suspects,
      };
}

/** Whether the present attempt has produced a token; one that waits for its first shows nothing about engines. */
export function hasBegun({ phase, attemptTokens }: RequestMachine): boolean {
  return phase === RequestPhase.Running && attemptTokens > 0;
}

/** Whether an answer has begun and is stalled. */
export function isStalled(machine: RequestMachine, now: Millis): boolean {
  return hasBegun(machine) && now - machine.lastActivityAt > STALLED_AFTER;
}

/**
 * How long a silent attempt may still wait at its engines for memory: until its first token is due, while memory is short
 * and none of them is known to be lost. Closing it would repeat its prefill elsewhere, where memory is as short.
 */
function getQueueTime(shared: RouterShared, spec: RequestSpec, machine: RequestMachine): Millis {
  const { deps, progress } = shared;
  const now = deps.timers.now();
  const isLost = (engine: EngineId): boolean =>
    progress.isLost(engine, now) ||
    deps.getEngineFate?.(engine, machine.openedAt) === EngineFate.Ended;
  if (
    machine.tokenCount > 0 ||
    !deps.isRoomShort?.(spec) ||
    machine.chain?.stages.some(({ engine }) => isLost(engine))
  ) {
    return 0;
  }
  return (machine.firstTokenDeadline ?? machine.patientUntil ?? Infinity) - now;
}

/** Engines to replace, or null if the silence is tolerated for now. */
function findSilenceSuspects(
  shared: RouterShared,
  machine: RequestMachine,
): readonly EngineId[] | null {
  const { chain } = machine;
  if (!chain) {
    return null;
  }
  if (shared.deps.links?.isSlow(chain) && machine.toleratedSilences < MAX_SLOW_LINK_SILENCES) {
    // Repeating the prefill would send the prompt over the slow link again and delay all its traffic.
    return null;
  }
  const allEngines = chain.stages.map((stage) => stage.engine);
  // Checks the second half of the silence: an engine that hangs may have served another stream just before it hung.
  const since = (machine.lastActivityAt + shared.deps.timers.now()) / 2;
  const silent = shared.progress.findSilent(chain, since);
  const isIsolated = shared.getStalledShare() <= MAX_STALLED_SHARE;
  if (isIsolated && silent.length > 0 && silent.length < allEngines.length) {
    return silent;
  }
  const isChainSilent =
    shared.progress.findSilent(chain, machine.lastActivityAt).length === allEngines.length;
  if (
    isIsolated &&
    isChainSilent &&
    shared.deps.links &&
    machine.toleratedSilences >= MAX_CHAIN_SILENCES
  ) {
    // No token came through any engine of the chain while other answers continue, so the connection to
    // them is cut. A slow link would have been detected by now.
    return allEngines;
  }
  // A slow link delays many streams at once, and repeated prefills would delay them further.
  return machine.toleratedSilences < shared.deps.cfg.silence.mostUnclear ? null : allEngines;
}
