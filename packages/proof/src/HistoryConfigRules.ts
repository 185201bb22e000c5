/** Configuration rules: an instance's revision never decreases, and each revision is in force in time. */
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { EventOf, HistoryIndex } from './HistoryIndex.js';
import { selectEvents } from './HistoryIndex.js';
import type { HistoryEvent, HistoryViolation } from './HistoryTypes.js';
import { HistoryRule } from './HistoryTypes.js';

/**
 * Longest time until a change is in force at an instance, counted from its acceptance, the instance's start or
 * the end of the last fault that affects the configuration, whichever is latest.
 */
const IN_FORCE_WITHIN: Millis = 10_000;

/** Returns the violations of the configuration rules. */
export function checkConfigRules({ events, endAt }: HistoryIndex): readonly HistoryViolation[] {
  return [...checkRevisionsRise(events), ...checkInForce(events, endAt)];
}

/** Compares across restarts too: a restarted instance with a lower revision has reverted a change. */
function checkRevisionsRise(events: readonly HistoryEvent[]): readonly HistoryViolation[] {
  const highest = new Map<InstanceId, number>();
  return selectEvents(events, 'in-force').flatMap(({ instance, revision }) => {
    const previousHighest = highest.get(instance) ?? 0;
    highest.set(instance, Math.max(previousHighest, revision));
    return revision < previousHighest
      ? [
          {
            rule: HistoryRule.RevisionsRise,
            detail: `${instance} went from revision ${previousHighest} back to ${revision}`,
          },
        ]
      : [];
  });
}

function checkInForce(events: readonly HistoryEvent[], endAt: Millis): readonly HistoryViolation[] {
  const faultFreeSince = findFaultFreeSince(events);
  const running = findRunningInstances(events);
  return selectEvents(events, 'accepted').flatMap(({ revision, at }) =>
    [...running].flatMap(([instance, startedAt]) => {
      const dueAt = Math.max(at, startedAt, faultFreeSince) + IN_FORCE_WITHIN;
      const isInForce = selectEvents(events, 'in-force').some(
        (event) => isOfProcess(event, instance, startedAt) && event.revision >= revision,
      );
      const inForceAt = selectEvents(events, 'in-force').find(
        (event) => isOfProcess(event, instance, startedAt) && event.revision >= revision,
      )?.at;
      return endAt >= dueAt && (!isInForce || (inForceAt ?? 0) > dueAt)
        ? [
            {
              rule: HistoryRule.InForceInTime,
              detail: `revision ${revision} of ${at} was in force at ${instance} at ${inForceAt}, due at ${dueAt}`,
            },
          ]
        : [];
    }),
  );
}

function isOfProcess(event: EventOf<'in-force'>, instance: InstanceId, since: Millis): boolean {
  return event.instance === instance && event.at >= since;
}

/** Returns the end of the last fault that affects the configuration; Infinity if one is still active. */
function findFaultFreeSince(events: readonly HistoryEvent[]): Millis {
  const last = selectEvents(events, 'config-fault').at(-1);
  if (!last) {
    return 0;
  }
  return last.isFailing ? Infinity : last.at;
}

/** Returns the instances that run at the end of the history, with the start time of their process. */
function findRunningInstances(events: readonly HistoryEvent[]): ReadonlyMap<InstanceId, Millis> {
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
