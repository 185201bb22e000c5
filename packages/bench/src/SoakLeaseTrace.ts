/** Formats calls and events of a lease soak as lines of text; has no side effects. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LeaseRecord } from '@skylarksail/stand-ins/StandInRangeStore';
import type { StoppedProcess, StoreCall } from './SoakLeaseTypes.js';

/** Formats the calls of a lease in order, with the stop and the exit; times are since the stop. */
export function writeLeaseTrace(
  { stopAt, handledAt, endedAt, end }: StoppedProcess,
  lease: LeaseRecord,
  calls: readonly StoreCall[],
): readonly string[] {
  const steps = [
    ...calls.map((call) => ({
      at: call.at,
      text: `${call.lease === lease.id ? '' : `(lease ${call.lease}) `}${formatCall(call, stopAt)}`,
    })),
    { at: stopAt, text: 'SIGTERM' },
    { at: handledAt ?? Infinity, text: 'handler of SIGTERM' },
    { at: endedAt ?? Infinity, text: `exit ${end}` },
    { at: lease.endedAt ?? Infinity, text: `lease ${lease.end}` },
  ];
  return formatSteps(steps, stopAt);
}

/** Formats steps in the order of their times, which are given since `from`. */
export function formatSteps(
  steps: readonly { readonly at: Millis; readonly text: string }[],
  from: Millis,
): readonly string[] {
  return [...steps]
    .sort((a, b) => a.at - b.at)
    .map(({ at, text }) => `${Math.round(at - from)} ${text}`);
}

/** Formats a call with its answer; times are since `from`. */
export function formatCall(
  { kind, keys, status, appliedAt, answer, answeredAt }: StoreCall,
  from: Millis,
) {
  const name = keys.length > 0 ? `${kind} ${keys.join(' ')}` : kind;
  const applied =
    appliedAt === null
      ? `not carried out (${status ?? 'lost'})`
      : `carried out at ${Math.round(appliedAt - from)} (${status})`;
  const answered = `answer ${answer}${answeredAt === null ? '' : ` at ${Math.round(answeredAt - from)}`}`;
  return `${name}: ${applied}, ${answered}`;
}
