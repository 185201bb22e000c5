/**
 * Lets a request, or requests with a part, that were at several crashes run one at a time over the whole fleet. Copies that begin together, at
 * one instance or at many, would each take an engine before the crash of the first is known. Whatever the order of
 * events, such a request then costs the engines that it had taken before its second crash was known, and after that at
 * most one at a time up to the bound of its verdict.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { PartHold } from './RequestPartVerdict.js';
import { countPartCrashes, findPartHold } from './RequestPartVerdict.js';
import type { PoisonState } from './RequestPoison.js';
import type { PoisonTally } from './RequestPoisonVerdict.js';
import { countOpenCrashes, PoisonVerdict, tallyCrashes } from './RequestPoisonVerdict.js';
import type { RequestSuspects } from './RequestSuspects.js';
import { isPartName } from './RequestSuspects.js';
import type { RouterShared } from './RouterShared.js';
import { findRunsWith } from './RouterShared.js';
import { createPartsAsked } from './RunVerdict.js';

/** Open crashes of a request from which on a run is a trial. */
const TRIAL_CRASHES = 2;
/** Delay before a trial that was not granted is requested again. */
export const TRIAL_RETRY: Millis = 200;

/** What a run must wait for: a trial of its request or of a part of its prompt, or time. */
export type RunHold =
  { readonly kind: 'trial'; readonly suspect: string } | Extract<PartHold, { kind: 'later' }>;

/** What the next attempt of a run must wait for; null if it may begin. One trial of a part is one of all requests with it. */
export function findHold(
  shared: RouterShared,
  suspects: RequestSuspects,
  isFirst: boolean,
): RunHold | null {
  const state = shared.crashes.getState();
  const asked = createPartsAsked(shared, suspects);
  const hold = findPartHold(state, asked, isFirst);
  if (hold !== null) {
    return hold.kind === 'trial' ? { kind: 'trial', suspect: hold.part } : hold;
  }
  const { request } = suspects;
  return countOpenCrashes(state, request, asked.now) >= TRIAL_CRASHES
    ? { kind: 'trial', suspect: request }
    : null;
}

/** Requests a trial; `done` receives whether it is granted, possibly at once. */
export function requestTrial(
  shared: RouterShared,
  suspect: string,
  done: (isGranted: boolean) => void,
): void {
  const runsHere = findRunsWith(shared, new Set([suspect])).some(
    (run) => run.getEngines().length > 0 && !run.hasBegun(),
  );
  if (runsHere) {
    done(false);
  } else if (shared.deps.requestTrial) {
    shared.deps.requestTrial(suspect, done);
  } else {
    done(true);
  }
}

/** What a granter of trials needs to know of a suspect. */
export type TrialTally = Pick<PoisonTally, 'verdict' | 'known'>;

/** How the crashes known of a request, or of a part of a prompt, count for a trial. */
export function tallySuspect(state: PoisonState, suspect: string, now: Millis): TrialTally {
  return isPartName(suspect)
    ? { verdict: PoisonVerdict.Suspect, known: countPartCrashes(state, suspect, now) }
    : tallyCrashes(state, suspect, now);
}
