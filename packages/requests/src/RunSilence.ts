/** Decides what the silence of an attempt means: one engine's failure, all engines', or nothing yet. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { RequestPhase } from './RequestMessages.js';
import type { AttemptFailure } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { getBreakTime } from './RunBreak.js';
import type { FailoverBlockerName, HasChainWithout } from './RunFailover.js';
import { findFailoverBlocker, FAILOVER_CHECK_PERIOD } from './RunFailover.js';

/** Time without a token after which an answer counts as standing still. */
const STILL_AFTER: Millis = 80;
/** Silences that are borne on a link that is known to be slow. */
const SLOW_LINK_SILENCES = 6;
/** Silences that are borne where nothing at all came through the engines of a chain. */
const WHOLE_SILENCES = 1;
/** Share of answers that may stand still at once while one engine is held to be the cause. */
const MOST_STILL = 0.7;

/** What is told of an attempt that gives nothing. */
export const SILENCE_FAILURE: AttemptFailure = {
  place: FailurePlace.Silence,
  engine: null,
  status: null,
  retryAfter: null,
  provenNotRun: false,
};

/** What follows from a silence. */
export type SilenceDecision =
  /** The attempt has failed, and these engines are to be replaced. */
  | { readonly kind: 'failed'; readonly suspects: readonly EngineId[] }
  /** It is given as much time again. */
  | { readonly kind: 'borne' }
  /** Nothing can follow it now, and something may after `delay`. */
  | {
      readonly kind: 'look-again';
      readonly delay: Millis;
      readonly blocker: FailoverBlockerName;
      readonly suspects: readonly EngineId[];
    }
  /** Its caller has got nothing for so long that it is better served elsewhere. */
  | { readonly kind: 'given-up' };

/** Decides on an attempt that was silent too long. */
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
  const bar = findFailoverBlocker(shared, spec, machine, suspects, hasChainWithout);
  if (bar === null) {
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
        blocker: bar,
        suspects,
      };
}

/** Whether an answer has begun and stands still now. */
export function isStalled(machine: RequestMachine, now: Millis): boolean {
  const isBegun = machine.phase === RequestPhase.Running && machine.attemptTokens > 0;
  return isBegun && now - machine.lastActivityAt > STILL_AFTER;
}

/** Engines to replace, or null if the silence is to be borne for now. */
function findSilenceSuspects(
  shared: RouterShared,
  machine: RequestMachine,
): readonly EngineId[] | null {
  const { chain } = machine;
  if (!chain) {
    return null;
  }
  if (shared.deps.links?.isSlow(chain) && machine.toleratedSilences < SLOW_LINK_SILENCES) {
    // A prompt that is read again would cross the slow link once more, and hold up all that is on it.
    return null;
  }
  const all = chain.stages.map((stage) => stage.engine);
  // The later half of the silence: an engine that hung may have served another stream just before.
  const since = (machine.lastActivityAt + shared.deps.timers.now()) / 2;
  const silent = shared.progress.findSilent(chain, since);
  const isAlone = shared.getStalledShare() <= MOST_STILL;
  if (isAlone && silent.length > 0 && silent.length < all.length) {
    return silent;
  }
  const isWhole = shared.progress.findSilent(chain, machine.lastActivityAt).length === all.length;
  if (isAlone && isWhole && shared.deps.links && machine.toleratedSilences >= WHOLE_SILENCES) {
    // Nothing came through any of its engines, while others go on: the way to them is cut. A slow link
    // would be known by now.
    return all;
  }
  // A slow link holds up many streams at once, and prompts read again would hold them up longer.
  return machine.toleratedSilences < shared.deps.cfg.silence.mostUnclear ? null : all;
}
