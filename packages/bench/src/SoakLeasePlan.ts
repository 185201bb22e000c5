/** Plan of a lease soak, drawn from its seed: when the store is faulty, and when processes are stopped and replaced. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreFaultLevel } from '@skylarksail/stand-ins/StandInStoreFaults';
import { NO_FAULTS } from '@skylarksail/stand-ins/StandInStoreFaults';

export interface LeaseSoakOptions {
  readonly seed: number;
  /** Time during which the store is faulty and processes are stopped. */
  readonly time: Millis;
  readonly instances: number;
  readonly callers: number;
  /** Mean time between two groups of stops. */
  readonly stopGap: Millis;
  /** File of the bundled instance; by default the one that was built last. */
  readonly program?: string;
}

/** A time in which the store is faulty. */
export interface StoreFaultWindow {
  readonly at: Millis;
  readonly time: Millis;
  readonly level: StoreFaultLevel;
  /** Whether leases pause while the store is down; otherwise they lapse. */
  readonly pausesLeases: boolean;
  /** Age of the copy from which the store comes back at the end of the window; null if it loses nothing. */
  readonly copyAge: Millis | null;
}

/** The stop of one process; `target` is taken modulo the number of processes that may be stopped. */
export interface PlannedStop {
  readonly at: Millis;
  readonly target: number;
  /** Whether one of the newest processes is stopped. */
  readonly isYoung: boolean;
  /** Whether a process may be stopped that has not called the store yet. */
  readonly mayBeStarting: boolean;
  /** Whether the next process starts at the stop, and not after the exit. */
  readonly overlaps: boolean;
  /** Delay of the next start after the stop or the exit. */
  readonly restartDelay: Millis;
}

export interface LeaseSoakPlan {
  readonly windows: readonly StoreFaultWindow[];
  readonly stops: readonly PlannedStop[];
}

/** All instances have registered by then, without faults. */
export const FIRST_FAULT: Millis = 5000;
const MIN_WINDOW: Millis = 800;
const MAX_WINDOW: Millis = 5000;
const MEAN_WINDOW_GAP: Millis = 1500;
const SLOW_DELAYS: readonly Millis[] = [300, 1000, 2500, 4000];
const RETURN_SHARE = 0.5;
const MAX_COPY_AGE: Millis = 4000;
const COPY_SEED_OFFSET = 1_000_000;
const MAX_GROUP = 3;
const MAX_RESTART_DELAY: Millis = 1000;
const MAX_LEAD: Millis = 800;
const IN_WINDOW_SHARE = 0.7;
const YOUNG_SHARE = 0.4;
const STARTING_SHARE = 0.05;
const OVERLAP_SHARE = 0.6;
const TARGET_RANGE = 65_536;

/** Draws the plan of a seed. */
export function planLeaseSoak({ seed, time, stopGap }: LeaseSoakOptions): LeaseSoakPlan {
  const random = createRandom(seed);
  const windows = drawWindows(random, createRandom(seed + COPY_SEED_OFFSET), time);
  return { windows, stops: drawStops(random, time, stopGap, windows) };
}

/** Some of the times in which the store is down end with a return from a copy. */
function drawCopyAge(random: Random, { isDown }: StoreFaultLevel): Millis | null {
  const age = random.nextFloat() * MAX_COPY_AGE;
  return isDown && random.nextFloat() < RETURN_SHARE ? age : null;
}

/** Returns are drawn by a generator of their own, so that a seed draws the other faults and the stops as ever. */
function drawWindows(random: Random, copies: Random, end: Millis): readonly StoreFaultWindow[] {
  const windows: StoreFaultWindow[] = [];
  let at = FIRST_FAULT;
  while (at < end - MAX_WINDOW) {
    const time = drawBetween(random, MIN_WINDOW, MAX_WINDOW);
    const level = drawLevel(random);
    const pausesLeases = random.nextFloat() < 0.5;
    windows.push({ at, time, level, pausesLeases, copyAge: drawCopyAge(copies, level) });
    at += time + drawGap(random, MEAN_WINDOW_GAP);
  }
  return windows;
}

function drawLevel(random: Random): StoreFaultLevel {
  const maxDelay = SLOW_DELAYS[random.nextInt(SLOW_DELAYS.length)] ?? 0;
  const share = 0.2 + 0.6 * random.nextFloat();
  switch (random.nextInt(5)) {
    case 0:
      return { ...NO_FAULTS, slowShare: share, maxDelay };
    case 1:
      return { ...NO_FAULTS, lostAnswerShare: share };
    case 2:
      return { ...NO_FAULTS, lostCallShare: share };
    case 3:
      return { ...NO_FAULTS, isDown: true };
    default:
      return {
        ...NO_FAULTS,
        slowShare: share,
        maxDelay,
        lostAnswerShare: share / 2,
        lostCallShare: share / 4,
      };
  }
}

function drawStops(
  random: Random,
  end: Millis,
  gap: Millis,
  windows: readonly StoreFaultWindow[],
): readonly PlannedStop[] {
  const stops: PlannedStop[] = [];
  for (let at = FIRST_FAULT; at < end; at += drawGap(random, gap)) {
    const base = drawStopTime(random, at, windows);
    const count = 1 + random.nextInt(MAX_GROUP);
    for (let i = 0; i < count; i += 1) {
      stops.push({
        at: base + i * random.nextFloat() * MAX_LEAD,
        target: random.nextInt(TARGET_RANGE),
        isYoung: random.nextFloat() < YOUNG_SHARE,
        mayBeStarting: random.nextFloat() < STARTING_SHARE,
        overlaps: random.nextFloat() < OVERLAP_SHARE,
        restartDelay: random.nextFloat() * MAX_RESTART_DELAY,
      });
    }
  }
  return stops.sort((a, b) => a.at - b.at);
}

/** Most stops are drawn into the next window of faults, the others stay where they are. */
function drawStopTime(random: Random, at: Millis, windows: readonly StoreFaultWindow[]): Millis {
  const isMoved = random.nextFloat() < IN_WINDOW_SHARE;
  const place = random.nextFloat();
  const window = windows.find((one) => one.at + one.time > at);
  return isMoved && window ? window.at + place * window.time : at;
}

function drawBetween(random: Random, least: Millis, most: Millis): Millis {
  return least + random.nextFloat() * (most - least);
}

function drawGap(random: Random, mean: Millis): Millis {
  return -mean * Math.log(1 - random.nextFloat());
}
