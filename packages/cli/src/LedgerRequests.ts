/** What saved logs tell of each request: when it came, how it ended, and what held it up on the way. */

/** How a request ended for its caller. */
export const LedgerEnd = {
  OnTime: 'on time',
  LateFirst: 'late first event',
  LatePause: 'late by a pause',
  BrokenOff: 'broken off',
  Refused: 'refused',
  /** No line says: the process ended, or lines were dropped. */
  Untold: 'end not told',
} as const;

export type LedgerEndName = (typeof LedgerEnd)[keyof typeof LedgerEnd];

/** What stood between a request and its answer; the last one seen counts. */
export const LedgerCause = {
  None: 'nothing seen on the way',
  NoChain: 'no whole chain',
  NoRoom: 'no room at the engines',
  RetryBudget: 'waited for the retry budget',
  EngineRefused: 'refused by an engine',
  EngineLost: 'engine lost or silent',
  Stopping: 'instance stopping',
  Poison: 'request that crashes engines',
  Rejected: 'not allowed (route or key)',
  /** The next two count only where nothing else was seen. */
  CallerLeft: 'its caller left',
  Deadline: 'its deadline passed',
} as const;

export type LedgerCauseName = (typeof LedgerCause)[keyof typeof LedgerCause];

/** One request at one instance. */
export interface LedgerRequest {
  readonly instance: string;
  /** When it was routed, and when it ended or was last heard of, in Unix ms. */
  readonly startAt: number;
  readonly endAt: number;
  readonly end: LedgerEndName;
  readonly cause: LedgerCauseName;
}

/** A line of a log, parsed; nothing is known of its fields. */
export type LogLine = Readonly<Record<string, unknown>>;

interface OpenRequest {
  readonly instance: string;
  readonly startAt: number;
  endAt: number;
  end: LedgerEndName;
  cause: LedgerCauseName;
}

/** Requests of all lines, in the order in which they came. */
export function readLedgerRequests(lines: readonly LogLine[]): readonly LedgerRequest[] {
  const open = new Map<string, OpenRequest>();
  for (const line of lines) {
    const { request, instance, time, decision } = line;
    if (
      typeof request === 'string' &&
      typeof instance === 'string' &&
      typeof time === 'number' &&
      typeof decision === 'string'
    ) {
      const key = `${request} at ${instance}`;
      const known = open.get(key) ?? {
        instance,
        startAt: time,
        endAt: time,
        end: LedgerEnd.Untold,
        cause: LedgerCause.None,
      };
      open.set(key, known);
      known.endAt = time;
      known.cause = readCause(decision, line) ?? known.cause;
      if (known.cause === LedgerCause.None) {
        known.cause = readPlainCause(line);
      }
      known.end = readEnd(decision, line) ?? known.end;
    }
  }
  return [...open.values()];
}

function readEnd(decision: string, line: LogLine): LedgerEndName | null {
  switch (decision) {
    case 'answered':
      return readLateness(line);
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

function readLateness({ lateBy }: LogLine): LedgerEndName {
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
      return reason === 'no-capacity' ? LedgerCause.NoRoom : LedgerCause.NoChain;
    case 'wait':
      return LedgerCause.RetryBudget;
    case 'attempt-failed':
      return isRefusal(reason) ? LedgerCause.EngineRefused : LedgerCause.EngineLost;
    case 'refused':
    case 'broken-off':
      return readOwnCause(reason, line.status);
    default:
      return null;
  }
}

/** A stage that says that the request has not run is alive: it is full, leaving, or holds other layers. */
function isRefusal(reason: string): boolean {
  return reason.startsWith('refused') || reason.startsWith('stage not-run');
}

/** What ends a request that nothing has held up. */
function readPlainCause({ decision, reason }: LogLine): LedgerCauseName {
  const isOwnEnd = decision === 'refused' || decision === 'broken-off';
  if (isOwnEnd && String(reason).startsWith('hung-up')) {
    return LedgerCause.CallerLeft;
  }
  return isOwnEnd && String(reason).startsWith('deadline')
    ? LedgerCause.Deadline
    : LedgerCause.None;
}

const REJECTED: readonly unknown[] = [400, 401, 404];

/** What our own answer says beyond the lines before it. */
function readOwnCause(reason: string, status: unknown): LedgerCauseName | null {
  if (reason.startsWith('draining')) {
    return LedgerCause.Stopping;
  }
  if (reason.startsWith('poison')) {
    return LedgerCause.Poison;
  }
  return REJECTED.includes(status) ? LedgerCause.Rejected : null;
}
