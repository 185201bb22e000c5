/** Admission of a model request by the memory for running requests, before its first attempt. */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { Priority } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { decideByRoom, RoomRefusal } from './RequestRoom.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { countMetric } from './RouterShared.js';
import type { RouterMetricName } from './RouterTypes.js';

/** A refusal because memory is short. */
export interface RunRoomRefusal {
  readonly retryAfter: Millis;
  /** What determined the decision, and how old that information was. */
  readonly reason: string;
}

const REFUSAL_METRICS: Readonly<Record<PriorityName, RouterMetricName>> = {
  [Priority.Urgent]: 'roomRefusedUrgent',
  [Priority.High]: 'roomRefusedHigh',
  [Priority.Normal]: 'roomRefusedNormal',
  [Priority.Low]: 'roomRefusedLow',
};

/** Decides on a request; null admits it, as does an unknown state of the memory. */
export function findRoomRefusal(shared: RouterShared, spec: RequestSpec): RunRoomRefusal | null {
  const { deps, priorities } = shared;
  const view = deps.readRoom?.(spec) ?? null;
  if (view === null) {
    return null;
  }
  const { model, priority, deadline } = spec;
  const now = deps.timers.now();
  priorities.noteRequest(model, priority, now);
  const higherPriorities = priorities.countHigher(model, priority, now);
  const decision = decideByRoom(
    view,
    { priority, higherPriorities, timeLeft: deadline - now },
    deps.random.nextFloat,
  );
  if (decision.kind === 'admitted') {
    return null;
  }
  countMetric(shared, REFUSAL_METRICS[priority]);
  if (decision.reason === RoomRefusal.Team) {
    countMetric(shared, 'roomRefusedTeam');
  }
  const [share, teamShare] = [view.share.toFixed(2), view.teamShare.toFixed(1)];
  return {
    retryAfter: decision.retryAfter,
    reason: `${decision.reason}: share ${share}, age ${Math.round(view.age)} ms, ${priority}, ${higherPriorities} above, team ${teamShare}`,
  };
}
