/** Constants shared by all packages. */

/** Priority of a request. Under overload, requests of lower priority are refused first. */
export const Priority = {
  Low: 'low',
  Normal: 'normal',
  High: 'high',
  Urgent: 'urgent',
} as const;

export type PriorityName = (typeof Priority)[keyof typeof Priority];

/** Priorities in ascending order. */
export const PRIORITY_ORDER: readonly PriorityName[] = [
  Priority.Low,
  Priority.Normal,
  Priority.High,
  Priority.Urgent,
];

/** Returns the rank of a priority; a higher rank is more important. */
export function getPriorityRank(priority: PriorityName): number {
  return PRIORITY_ORDER.indexOf(priority);
}

/**
 * Whether a request without a response has run. `not-run` requires proof: nothing was sent, or the backend
 * server reports that it did not start the request. Otherwise the state is `unknown` or `ran`.
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

/** Kind of process of an entry in the platform's instance list. */
export const InstanceRole = {
  Entry: 'entry',
  Engine: 'engine',
  Service: 'service',
} as const;

export type InstanceRoleName = (typeof InstanceRole)[keyof typeof InstanceRole];

export const MILLIS_PER_SECOND = 1000;
export const BYTES_PER_MEBIBYTE = 1024 * 1024;
