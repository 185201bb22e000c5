/** Reads from log lines when each request arrived, how it ended, and what delayed it or made it fail. */

/** How a request ended for its caller. */
export const LedgerEnd = {
  OnTime: 'on time',
  LateFirst: 'late first event',
  LatePause: 'late by a pause',
  BrokenOff: 'broken off',
  Refused: 'refused',
  /** No line about the end: the process ended, or lines were dropped. */
  Unknown: 'end not told',
} as const;

export type LedgerEndName = (typeof LedgerEnd)[keyof typeof LedgerEnd];

/** What delayed a request or made it fail; the last cause in the log counts. */
export const LedgerCause = {
  None: 'nothing seen on the way',
  NoChain: 'no whole chain',
  NoCapacity: 'no room at the engines',
  RetryBudget: 'waited for the retry budget',
  EngineRefused: 'refused by an engine',
  EngineLost: 'engine lost or silent',
  Stopping: 'instance stopping',
  Poison: 'request that crashes engines',
  Rejected: 'not allowed (route or key)',
  /** `CallerLeft` and `Deadline` count only if the log shows no other cause. */
  CallerLeft: 'its caller left',
  Deadline: 'its deadline passed',
} as const;

export type LedgerCauseName = (typeof LedgerCause)[keyof typeof LedgerCause];

/** A request at one instance. */
export interface LedgerRequest {
  readonly instance: string;
  /** Times of its first and last log lines, in Unix ms. */
  readonly startAt: number;
  readonly endAt: number;
  readonly end: LedgerEndName;
  readonly cause: LedgerCauseName;
}

/** A parsed log line; its fields are not validated. */
export type LogLine = Readonly<Record<string, unknown>>;

interface MutableLedgerRequest {
  readonly instance: string;
  readonly startAt: number;
  endAt: number;
  end: LedgerEndName;
  cause: LedgerCauseName;
}

/** Returns the requests in the order of their first lines. `lines` must be sorted by time. */
export function readLedgerRequests(lines: readonly LogLine[]): readonly LedgerRequest[] {
  const requestsByKey = new Map<string, MutableLedgerRequest>();
  for (const line of lines) {
    const { request, instance, time, decision } = line;
    if (
      typeof request === 'string' &&
      typeof instance === 'string' &&
      typeof time === 'number' &&
      typeof decision === 'string'
    ) {
      const key = `${request} at ${instance}`;
      const known = requestsByKey.get(key) ?? {
        instance,
        startAt: time,
        endAt: time,
        end: LedgerEnd.Unknown,
        cause: LedgerCause.None,
      };
      requestsByKey.set(key, known);
      known.endAt = time;
      known.cause = readCause(decision, line) ?? known.cause;
      if (known.cause === LedgerCause.None) {
        known.cause = readFallbackCause(line);
      }
      known.end = readEnd(decision, line) ?? known.end;
    }
  }
  return [...requestsByKey.values()];
}

function readEnd(decision: string, line: LogLine): LedgerEndName | null {
  switch (decision) {
    case 'answered':
      return readAnsweredEnd(line);
    case 'complete':
      return LedgerEnd.OnTime;
    case 'broken-off':
      return LedgerEnd.BrokenOff;
    case 'refused':
      return LedgerEnd.Refused;
    default:
      return null;
  }
}

function readAnsweredEnd({ lateBy }: LogLine): LedgerEndName {
  switch (lateBy) {
    case 'first':
      return LedgerEnd.LateFirst;
    case 'pause':
      return LedgerEnd.LatePause;
    default:
      return LedgerEnd.OnTime;
  }
}

function readCause(decision: string, line: LogLine): LedgerCauseName | null {
  const reason = String(line.reason ?? '');
  switch (decision) {
    case 'no-chain-found':
      return reason === 'no-capacity' ? LedgerCause.NoCapacity : LedgerCause.NoChain;
    case 'wait':
      return LedgerCause.RetryBudget;
    case 'attempt-failed':
      return isEngineRefusal(reason) ? LedgerCause.EngineRefused : LedgerCause.EngineLost;
    case 'refused':
    case 'broken-off':
      return readFailureCause(reason, line.status);
    default:
      return null;
  }
}

/**
 * A stage that reports that the request has not run counts as a refusal, since its engine has not failed: it is
 * full, is draining, or holds other layers.
 */
function isEngineRefusal(reason: string): boolean {
  return reason.startsWith('refused') || reason.startsWith('stage not-run');
}

/** Returns the cause of a failed request for which the log shows no other cause. */
function readFallbackCause({ decision, reason }: LogLine): LedgerCauseName {
  const hasFailed = decision === 'refused' || decision === 'broken-off';
  if (hasFailed && String(reason).startsWith('hung-up')) {
    return LedgerCause.CallerLeft;
  }
  return hasFailed && String(reason).startsWith('deadline')
    ? LedgerCause.Deadline
    : LedgerCause.None;
}

const REJECTED_STATUSES: readonly unknown[] = [400, 401, 404];

/** Returns the cause that the router's own refusal or abort names; null keeps the cause from earlier lines. */
function readFailureCause(reason: string, status: unknown): LedgerCauseName | null {
  if (reason.startsWith('draining')) {
    return LedgerCause.Stopping;
  }
  if (reason.startsWith('poison')) {
    return LedgerCause.Poison;
  }
  return REJECTED_STATUSES.includes(status) ? LedgerCause.Rejected : null;
}
