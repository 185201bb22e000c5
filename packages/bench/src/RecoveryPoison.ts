/**
 * The poison request case: one such request, resent fifty times across all instances. Counts the engines
 * that crash and the other requests that are refused.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createBaselineInstance, createRouterInstance } from './RecoveryInstance.js';
import type { RecoveryTallies, RecoveryWorld, RequestTrace } from './RecoveryTypes.js';
import { createRecoveryWorld, POISON_PREFIX } from './RecoveryWorld.js';
import type { BenchShape } from './ThroughputShapes.js';

export interface PoisonResult {
  readonly enginesLost: number;
  readonly bystandersRefused: number;
  readonly recoveries: readonly Millis[];
  readonly detections: readonly Millis[];
  readonly baselineRecoveries: readonly Millis[];
  readonly tallies: RecoveryTallies;
}

const POISON_START: Millis = 5000;
const RESENDS = 50;
const RESEND_PERIOD: Millis = 200;
const RESTART_DELAY: Millis = 3000;
const RUN_END: Millis = 18_000;
const CHECK_PERIOD: Millis = 20;
const MIN_PAUSE: Millis = 120;

/** Runs the poison request against the router and against the baseline. */
export async function runPoisonBench(
  shape: BenchShape,
  seed: number,
  rate: number,
): Promise<PoisonResult> {
  const run = await runPoison(shape, seed, rate, createRouterInstance);
  const baseline = await runPoison(shape, seed, rate, createBaselineInstance);
  return { ...run, baselineRecoveries: baseline.recoveries };
}

async function runPoison(
  shape: BenchShape,
  seed: number,
  requestsPerSecond: number,
  createInstance: typeof createRouterInstance,
): Promise<Omit<PoisonResult, 'baselineRecoveries'>> {
  const world = createRecoveryWorld({
    seed,
    shape,
    requestsPerSecond,
    createInstance,
    onMetric: () => undefined,
  });
  let enginesLost = 0;
  const poisonTraces: RequestTrace[] = [];
  await world.advanceTo(POISON_START);
  restartCrashed(world, () => {
    enginesLost += 1;
  });
  for (let i = 0; i < RESENDS; i++) {
    world.timers.registerTimeout(i * RESEND_PERIOD, () =>
      poisonTraces.push(world.send(`${POISON_PREFIX}/100/20`, i % world.instances.length)),
    );
  }
  await world.advanceTo(RUN_END);
  const bystanders = world.traces.filter((trace) => !poisonTraces.includes(trace));
  return {
    enginesLost,
    bystandersRefused: bystanders.filter(({ problem }) => problem?.startsWith('poison')).length,
    recoveries: bystanders.flatMap(listPauses),
    detections: bystanders
      .filter(({ detectedAt }) => detectedAt !== null && detectedAt >= POISON_START)
      .map((trace) => computeDetectionTime(trace)),
    tallies: world.tallies,
  };
}

/** Restarts each crashed engine after a delay, and calls `onLost` for each crash. */
function restartCrashed({ timers, fleet, shape }: RecoveryWorld, onLost: () => void): void {
  const down = new Set<string>();
  timers.registerInterval(CHECK_PERIOD, () => {
    for (const { facts } of shape.engines) {
      if (!down.has(facts.id) && fleet.readLoad(facts.id) === null) {
        down.add(facts.id);
        onLost();
        timers.registerTimeout(RESTART_DELAY, () => {
          fleet.setFault(facts.id, { kind: 'none' });
          down.delete(facts.id);
        });
      }
    }
  });
}

function listPauses(trace: RequestTrace): Millis[] {
  return trace.tokenTimes
    .map((time, i) => (i > 0 && time > POISON_START ? time - (trace.tokenTimes[i - 1] ?? time) : 0))
    .filter((gap) => gap > MIN_PAUSE);
}

/** Time from the last token before a failure was detected to its detection. */
function computeDetectionTime(trace: RequestTrace): Millis {
  const detectedAt = trace.detectedAt ?? 0;
  const last = trace.tokenTimes.filter((time) => time <= detectedAt).at(-1);
  return last === undefined ? 0 : detectedAt - last;
}
