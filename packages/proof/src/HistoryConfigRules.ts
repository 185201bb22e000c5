/** Rules on the configuration: revisions only rise at an instance, and are in force in time. */
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { EventOf, HistoryIndex } from './HistoryIndex.js';
import { selectEvents } from './HistoryIndex.js';
import type { HistoryEvent, HistoryViolation } from './HistoryTypes.js';
import { HistoryRule } from './HistoryTypes.js';

/** Time in which a change is in force everywhere, once nothing fails that it needs. */
const IN_FORCE_WITHIN: Millis = 10_000;

/** What a history's configuration breaks. */
export function checkConfigRules({ events, endAt }: HistoryIndex): readonly HistoryViolation[] {
  return [...checkRevisionsRise(events), ...checkInForce(events, endAt)];
}

/** Over restarts too: a restarted instance that takes a lower revision has reverted a change. */
function checkRevisionsRise(events: readonly HistoryEvent[]): readonly HistoryViolation[] {
  const highest = new Map<InstanceId, number>();
  return selectEvents(events, 'in-force').flatMap(({ instance, revision }) => {
    const known = highest.get(instance) ?? 0;
    highest.set(instance, Math.max(known, revision));
    return revision < known
      ? [
          {
            rule: HistoryRule.RevisionsRise,
            detail: `${instance} went from revision ${known} back to ${revision}`,
          },
        ]
      : [];
  });
}

function checkInForce(events: readonly HistoryEvent[], endAt: Millis): readonly HistoryViolation[] {
  const calmSince = findCalmSince(events);
  const running = findRunning(events);
  return selectEvents(events, 'accepted').flatMap(({ revision, at }) =>
    [...running].flatMap(([instance, startedAt]) => {
      const dueAt = Math.max(at, startedAt, calmSince) + IN_FORCE_WITHIN;
      const isInForce = selectEvents(events, 'in-force').some(
        (event) => isOfProcess(event, instance, startedAt) && event.revision >= revision,
      );
      const lateAt = selectEvents(events, 'in-force').find(
        (event) => isOfProcess(event, instance, startedAt) && event.revision >= revision,
      )?.at;
      return endAt >= dueAt && (!isInForce || (lateAt ?? 0) > dueAt)
        ? [
            {
              rule: HistoryRule.InForceInTime,
              detail: `revision ${revision} of ${at} was in force at ${instance} at ${lateAt}, due at ${dueAt}`,
            },
          ]
        : [];
    }),
  );
}

function isOfProcess(event: EventOf<'in-force'>, instance: InstanceId, since: Millis): boolean {
  return event.instance === instance && event.at >= since;
}

/** Time since which nothing has failed that the configuration needs; Infinity if it still fails. */
function findCalmSince(events: readonly HistoryEvent[]): Millis {
  const last = selectEvents(events, 'config-fault').at(-1);
  if (!last) {
    return 0;
  }
  return last.isFailing ? Infinity : last.at;
}

/** Instances that run at the end, and the start of their process. */
function findRunning(events: readonly HistoryEvent[]): ReadonlyMap<InstanceId, Millis> {
  const running = new Map<InstanceId, Millis>();
  for (const event of events) {
    if (event.kind === 'instance-started') {
      running.set(event.instance, event.at);
    }
    if (event.kind === 'instance-killed' || event.kind === 'instance-stopped') {
      running.delete(event.instance);
    }
  }
  return running;
}
