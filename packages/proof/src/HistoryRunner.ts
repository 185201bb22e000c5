/** Runs a schedule against the product's own code in virtual time and returns the recorded history. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import { submitManifest } from '@skylarksail/manifest/ManifestStore';
import { HISTORY_PIPELINE, scheduleFaults } from './HistoryFaults.js';
import type { HistorySchedule } from './HistoryPlan.js';
import { createHistoryManifest, HISTORY_MEMBERS } from './HistoryPlan.js';
import type { HistoryEvent } from './HistoryTypes.js';
import type { HistoryWorld } from './HistoryWorld.js';
import { createHistoryWorld } from './HistoryWorld.js';

/** Length of a history. The last fault ends long before, so the system must have recovered by then. */
export const HISTORY_LENGTH: Millis = 24_000;

const TIME_STEP: Millis = 10;
const CALL_TIMEOUT: Millis = 500;
const SUBMIT_TIMEOUT: Millis = 8000;

/** Runs a schedule to its end. The result is deterministic: the same schedule gives the same history. */
export async function runHistory(schedule: HistorySchedule): Promise<readonly HistoryEvent[]> {
  const world = createHistoryWorld(schedule.seed);
  const { timers, callers } = world;
  submitChange(world, 0);
  HISTORY_MEMBERS.forEach(world.startProcess);
  schedule.changes.forEach((at, i) => {
    timers.registerTimeout(at, () => submitChange(world, i + 1));
  });
  schedule.requests.forEach((request) => {
    timers.registerTimeout(request.at, () => callers.send(request));
  });
  scheduleFaults(world, schedule.faults);
  while (timers.now() < HISTORY_LENGTH) {
    timers.advanceTo(timers.now() + TIME_STEP);
    await new Promise(setImmediate);
  }
  world.processes.forEach(({ instance }) => instance.kill());
  world.record({ kind: 'end', at: timers.now() });
  return world.events;
}

function submitChange({ platform, timers, random }: HistoryWorld, change: number): void {
  const context = {
    platform: platform.connect(HISTORY_PIPELINE),
    timers,
    random,
    callTimeout: CALL_TIMEOUT,
  };
  void submitManifest(context, createHistoryManifest(change), {
    submissionId: `change-${change}`,
    expectedRevision: null,
    deadline: timers.now() + SUBMIT_TIMEOUT,
  });
}
