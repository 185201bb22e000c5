/**
 * Lets a request that was at several crashes run one copy at a time over the whole fleet. Copies that begin together, at
 * one instance or at many, would each take an engine before the crash of the first is known. Whatever the order of
 * events, such a request then costs the engines that it had taken before its second crash was known, and after that at
 * most one at a time up to the bound of its verdict.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from './RequestPoison.js';
import { countOpenCrashes } from './RequestPoisonVerdict.js';
import type { RouterShared } from './RouterShared.js';
import { findRunsByFingerprint } from './RouterShared.js';

/** Open crashes from which on a run is a trial. */
const TRIAL_CRASHES = 2;
/** Delay before a trial that was not granted is requested again. */
export const TRIAL_RETRY: Millis = 200;

/** Whether the next run of a request may be granted only as a trial. */
export function needsTrial(shared: RouterShared, fingerprint: Fingerprint): boolean {
  const now = shared.deps.timers.now();
  return countOpenCrashes(shared.crashes.getState(), fingerprint, now) >= TRIAL_CRASHES;
}

/** Requests a trial; `done` receives whether it is granted, possibly at once. */
export function requestTrial(
  shared: RouterShared,
  fingerprint: Fingerprint,
  done: (isGranted: boolean) => void,
): void {
  const runsHere = findRunsByFingerprint(shared, new Set([fingerprint])).some(
    (run) => run.getEngines().length > 0 && !run.hasBegun(),
  );
  if (runsHere) {
    done(false);
  } else if (shared.deps.requestTrial) {
    shared.deps.requestTrial(fingerprint, done);
  } else {
    done(true);
  }
}
