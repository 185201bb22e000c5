/**
 * Measures how queueing delay grows with the staleness of the load data that instances route by. Engines of
 * four speeds have queues. Each instance picks the cheapest of a few random engines by the last load digest
 * and its own requests since. The polling period of the engines is chosen from the result.
 */
import { LifeState, MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { decodeLoad, encodeLoad } from '@skylarksail/membership/MembershipLoad';
import { build } from 'hdr-histogram-js';

export interface ControlAgeOptions {
  readonly seed: number;
  /** Mean ages of the load data; null means that an instance has only the counts of its own requests. */
  readonly ages?: readonly (Millis | null)[];
  readonly utilisation?: number;
  readonly duration?: Millis;
}

/** Time that requests wait for a slot in an engine's batch, at one age of the load data. */
export interface ControlAgeLine {
  readonly bench: 'control-age';
  readonly mean_age_ms: number | null;
  readonly wait_mean_ms: number;
  readonly wait_p50_ms: number;
  readonly wait_p95_ms: number;
  readonly wait_p99_ms: number;
  readonly requests: number;
}

interface QueueEngine {
  /** Service rate of each batch slot, as a multiple of 1 / MEAN_SERVICE_TIME. */
  readonly speed: number;
  readonly waiting: (() => void)[];
  running: number;
}

/** Load of one engine as recorded by one instance. */
interface EngineView {
  readonly load: number;
  /** Requests that this instance started on the engine since the digest, minus those that ended since. */
  readonly ownDelta: number;
}

const AGES: readonly (Millis | null)[] = [0, 1000, 2000, 4000, 8000, 16_000, 32_000, null];
const INSTANCES = 20;
const ENGINES = 80;
const BATCH_SLOTS = 16;
const SPEEDS = [0.4, 0.8, 1.2, 1.6];
const CANDIDATES = 3;
/** The users' load: 10 million tokens per second over 24,000 requests per second, at about 50 ms per token. */
const MEAN_SERVICE_TIME: Millis = 20_000;
const UTILISATION = 0.85;
const DURATION: Millis = 400_000;
const WARM_UP_SHARE = 0.25;
const MAX_WAIT = 600_000;

/** Runs the simulation once for each age. */
export function runControlAgeBench(options: ControlAgeOptions): readonly ControlAgeLine[] {
  return (options.ages ?? AGES).map((age) => measureAge(age, options));
}

function measureAge(age: Millis | null, options: ControlAgeOptions): ControlAgeLine {
  // Arrivals and service times have their own random source so that every age gets the same requests.
  const workloadRandom = createRandom(options.seed);
  const random = createRandom(options.seed + 1);
  const timers = createVirtualTimers();
  const duration = options.duration ?? DURATION;
  const waits = build({ highestTrackableValue: MAX_WAIT });
  const engines = SPEEDS.flatMap((speed) =>
    Array.from({ length: ENGINES / SPEEDS.length }, () => createQueueEngine(speed)),
  );
  const known = Array.from({ length: INSTANCES }, () =>
    engines.map((): EngineView => ({ load: 0, ownDelta: 0 })),
  );
  const servicePerSecond =
    (engines.reduce((sum, { speed }) => sum + speed * BATCH_SLOTS, 0) * MILLIS_PER_SECOND) /
    MEAN_SERVICE_TIME;
  const meanArrivalGap =
    MILLIS_PER_SECOND / (servicePerSecond * (options.utilisation ?? UTILISATION));

  function handleArrival(): void {
    const instance = workloadRandom.nextInt(INSTANCES);
    const work = drawExponential(workloadRandom, MEAN_SERVICE_TIME);
    const view = known[instance] as EngineView[];
    const chosen = chooseEngine(random, engines, view, age === 0);
    adjustOwnRequests(view, chosen, 1);
    const arrivedAt = timers.now();
    startRequest(engines[chosen] as QueueEngine, () => {
      if (arrivedAt > duration * WARM_UP_SHARE) {
        waits.recordValue(Math.round(Math.min(MAX_WAIT, timers.now() - arrivedAt)));
      }
      runRequest(chosen, view, work);
    });
    timers.registerTimeout(drawExponential(workloadRandom, meanArrivalGap), handleArrival);
  }

  function runRequest(chosen: number, view: EngineView[], work: Millis): void {
    const engine = engines[chosen] as QueueEngine;
    timers.registerTimeout(work / engine.speed, () => {
      adjustOwnRequests(view, chosen, -1);
      endRequest(engine);
    });
  }

  // A refresh every 2 * age, with random phases, gives data that is `age` old on average.
  if (age !== null && age > 0) {
    known.forEach((view) =>
      engines.forEach((engine, i) => {
        const refresh = (): void => {
          Object.assign(view, { [i]: { load: getDigestLoad(engine), ownDelta: 0 } });
          timers.registerTimeout(2 * age, refresh);
        };
        timers.registerTimeout(random.nextFloat() * 2 * age, refresh);
      }),
    );
  }
  timers.registerTimeout(0, handleArrival);
  timers.advanceTo(duration);
  return {
    bench: 'control-age',
    mean_age_ms: age,
    wait_mean_ms: Number(waits.mean.toFixed(0)),
    wait_p50_ms: waits.getValueAtPercentile(50),
    wait_p95_ms: waits.getValueAtPercentile(95),
    wait_p99_ms: waits.getValueAtPercentile(99),
    requests: waits.totalCount,
  };
}

function chooseEngine(
  random: Random,
  engines: readonly QueueEngine[],
  view: readonly EngineView[],
  isExact: boolean,
): number {
  let bestIndex = -1;
  let bestCost = Infinity;
  for (let i = 0; i < CANDIDATES; i++) {
    const index = random.nextInt(engines.length);
    const engine = engines[index] as QueueEngine;
    const { load, ownDelta } = view[index] as EngineView;
    const requests = isExact ? engine.running + engine.waiting.length : load + ownDelta;
    const cost = (Math.max(0, requests) + 1) / engine.speed;
    if (cost < bestCost) {
      bestIndex = index;
      bestCost = cost;
    }
  }
  return bestIndex;
}

/** Returns the load as read from a digest, with the loss of precision of its encoding. */
function getDigestLoad(engine: QueueEngine): number {
  const digest = encodeLoad({
    running: engine.running,
    queued: engine.waiting.length,
    kvUsed: 0,
    state: LifeState.Live,
  });
  const { running, queued } = decodeLoad(digest);
  return running + queued;
}

function createQueueEngine(speed: number): QueueEngine {
  return { speed, waiting: [], running: 0 };
}

function startRequest(engine: QueueEngine, run: () => void): void {
  if (engine.running >= BATCH_SLOTS) {
    engine.waiting.push(run);
    return;
  }
  Object.assign(engine, { running: engine.running + 1 });
  run();
}

function endRequest(engine: QueueEngine): void {
  const next = engine.waiting.shift();
  if (next) {
    next();
  } else {
    Object.assign(engine, { running: engine.running - 1 });
  }
}

function adjustOwnRequests(view: EngineView[], engine: number, delta: number): void {
  const { load, ownDelta } = view[engine] as EngineView;
  Object.assign(view, { [engine]: { load, ownDelta: ownDelta + delta } });
}

function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.nextFloat());
}
