/** Constants that every package shares. */

/** Importance of a request. Under overload the lower one is refused first. */
export const Priority = {
  Low: 'low',
  Normal: 'normal',
  High: 'high',
  Urgent: 'urgent',
} as const;

export type PriorityName = (typeof Priority)[keyof typeof Priority];

/** From the least to the most important. */
export const PRIORITY_ORDER: readonly PriorityName[] = [
  Priority.Low,
  Priority.Normal,
  Priority.High,
  Priority.Urgent,
];

/** Rank of a priority; a higher number is more important. */
export function getPriorityRank(priority: PriorityName): number {
  return PRIORITY_ORDER.indexOf(priority);
}

/**
 * What is known of a request that did not end in an answer. `not-run` is said on proof only: nothing
 * was sent, or the backend server itself says that it did not start. All else is `unknown` or `ran`.
 */
export const RunState = {
  NotRun: 'not-run',
  Unknown: 'unknown',
  Ran: 'ran',
} as const;

export type RunStateName = (typeof RunState)[keyof typeof RunState];

/** State of an instance or of a backend server in the platform's instance list. */
export const LifeState = {
  Live: 'live',
  Leaving: 'leaving',
} as const;

export type LifeStateName = (typeof LifeState)[keyof typeof LifeState];

/** What kind of process an entry of the instance list is. */
export const InstanceRole = {
  Entry: 'entry',
  Engine: 'engine',
  Service: 'service',
} as const;

export type InstanceRoleName = (typeof InstanceRole)[keyof typeof InstanceRole];

export const MILLIS_PER_SECOND = 1000;
export const BYTES_PER_MEBIBYTE = 1024 * 1024;
