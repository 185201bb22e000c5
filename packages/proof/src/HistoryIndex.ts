/** Groups the events of a history by request, so that each rule reads only what it needs. */
import type { InstanceId, Millis, RequestId } from '@skylarksail/core/CoreTypes';
import type { HistoryEvent, SubmittedEvent } from './HistoryTypes.js';

export type EventOf<K extends HistoryEvent['kind']> = Extract<HistoryEvent, { kind: K }>;
export type EndingEvent = EventOf<'answered'> | EventOf<'failed'>;

/** All events of one request, by kind. */
export interface RequestHistory {
  readonly submitted: SubmittedEvent;
  readonly tokens: readonly EventOf<'token'>[];
  readonly endings: readonly EndingEvent[];
  readonly hungUpAt: Millis | null;
  readonly passes: readonly EventOf<'pass'>[];
  readonly frames: readonly EventOf<'frame'>[];
  readonly effects: readonly EventOf<'effect'>[];
  readonly givenUpAt: Millis | null;
  /** Time at which the request's instance was killed while the request was open, or null. */
  readonly killedAt: Millis | null;
}

/** A history by request, with all its events in order. */
export interface HistoryIndex {
  readonly requests: readonly RequestHistory[];
  readonly events: readonly HistoryEvent[];
  readonly endAt: Millis;
}

export function createHistoryIndex(events: readonly HistoryEvent[]): HistoryIndex {
  const byRequest = new Map<RequestId, HistoryEvent[]>();
  const killTimes = new Map<InstanceId, Millis[]>();
  for (const event of events) {
    if ('request' in event) {
      const known = byRequest.get(event.request);
      if (known) {
        known.push(event);
      } else {
        byRequest.set(event.request, [event]);
      }
    }
    if (event.kind === 'instance-killed') {
      killTimes.set(event.instance, [...(killTimes.get(event.instance) ?? []), event.at]);
    }
  }
  const requests = [...byRequest.values()].flatMap((own) => {
    const submitted = own.find((event) => event.kind === 'submitted');
    return submitted ? [createRequestHistory(submitted, own, killTimes)] : [];
  });
  return { requests, events, endAt: events.at(-1)?.at ?? 0 };
}

function createRequestHistory(
  submitted: SubmittedEvent,
  events: readonly HistoryEvent[],
  killTimes: ReadonlyMap<InstanceId, readonly Millis[]>,
): RequestHistory {
  const endings = events.filter(
    (event): event is EndingEvent => event.kind === 'answered' || event.kind === 'failed',
  );
  const openUntil = endings[0]?.at ?? Infinity;
  const killedAt = (killTimes.get(submitted.instance) ?? []).find(
    (at) => at >= submitted.at && at <= openUntil,
  );
  return {
    submitted,
    endings,
    tokens: selectEvents(events, 'token'),
    hungUpAt: selectEvents(events, 'hung-up')[0]?.at ?? null,
    passes: selectEvents(events, 'pass'),
    frames: selectEvents(events, 'frame'),
    effects: selectEvents(events, 'effect'),
    givenUpAt: selectEvents(events, 'given-up')[0]?.at ?? null,
    killedAt: killedAt ?? null,
  };
}

/** Returns the events of one kind, in order. */
export function selectEvents<K extends HistoryEvent['kind']>(
  events: readonly HistoryEvent[],
  kind: K,
): readonly EventOf<K>[] {
  return events.filter((event): event is EventOf<K> => event.kind === kind);
}
