/** Unlike requests that crash engines by one part of their prompts, beside sound ones that share all else, in virtual time. */
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { EngineCall } from '@skylarksail/requests/RequestPorts';
import { CRASH_DELAY, createCrashBed } from './RelayCrashBed.js';
import type { SentCall } from './RelayPartsBed.js';
import { PARTS_HEADER } from './RelayPartsBed.js';

/** A play of some seconds. */
export interface PartCrashCase {
  readonly instances: number;
  readonly domains: number;
  /** Number of parts that crash engines. */
  readonly badParts: number;
  /** Place of such a part, from 0, and number of shared parts. */
  readonly place: number;
  readonly parts: number;
  /** Requests with such a part that are sent at once, to different instances, and the time between two sendings. */
  readonly copies: number;
  readonly period: Millis;
}

/** A request with a part that crashes engines, as it was sent to one. */
interface BadRun {
  readonly part: string;
  readonly engine: string;
  readonly at: Millis;
}

export interface PartCrashReport {
  readonly badRuns: readonly BadRun[];
  readonly bad: readonly SentCall[];
  readonly sound: readonly SentCall[];
  /** Time of the first request that crashes engines. */
  readonly startsAt: Millis;
}

const SETTLE_TIME: Millis = 5000;
const CALM_TIME: Millis = 4000;
const BAD_TIME: Millis = 40_000;
const SOUND_PERIOD: Millis = 50;
const READ_TIME: Millis = 25;
const FIRST_PART = 'first';
/** Parts that sound requests and those that crash engines share, and parts of sessions, which are asked for seldom. */
const COMMON_PARTS = 6;
const SESSIONS = 40;
const BAD = 'bad';

export async function playPartCrashes(
  one: PartCrashCase,
  seed: number,
  drawExtra: (i: number) => readonly string[] = () => [],
): Promise<PartCrashReport> {
  const random = createRandom(seed);
  const domains = Array.from({ length: one.domains }, (_, i) => `d${i + 1}`);
  const ids = Array.from({ length: one.instances }, (_, i) => `i${i}`);
  const { bed, runs } = createCrashBed(domains, {
    isCrashing: (call) => readParts(call).some((part) => part.startsWith(BAD)),
    readTime: READ_TIME,
  });
  const { timers } = bed;
  const drawCommon = (): string => `common-${random.nextInt(COMMON_PARTS)}`;
  const sound: SentCall[] = [];
  const bad: SentCall[] = [];
  ids.forEach((id, i) => bed.start(id, bed.store, domains[i % domains.length]));
  await timers.advanceToAsync(SETTLE_TIME);
  const startsAt = timers.now() + CALM_TIME;
  let nextBad = startsAt;

  function sendBad(i: number): void {
    const part = `${BAD}-${i % one.badParts}`;
    const shared = [FIRST_PART, ...Array.from({ length: one.parts - 1 }, drawCommon)];
    shared[one.place] = part;
    const offset = random.nextInt(ids.length);
    for (let copy = 0; copy < one.copies; copy++) {
      const id = ids[(offset + copy) % ids.length] ?? '';
      const path = `/letters/${part}/${i}-${copy}`;
      bad.push(bed.submit(id, path, 5000, [...shared, ...drawExtra(i)]));
    }
  }

  for (let i = 0, badCount = 0; timers.now() < startsAt + BAD_TIME; i++) {
    if (timers.now() >= nextBad) {
      sendBad(badCount);
      badCount += 1;
      nextBad += one.period;
    }
    const id = ids[random.nextInt(ids.length)] ?? '';
    const shared = [FIRST_PART, drawCommon(), `session-${random.nextInt(SESSIONS)}`];
    sound.push(bed.submit(id, `/letters/sound/${i}`, 5000, shared));
    await timers.advanceToAsync(timers.now() + SOUND_PERIOD);
  }
  await timers.advanceToAsync(timers.now() + SETTLE_TIME);
  const badRuns = runs.map(({ request, ...run }) => ({
    ...run,
    part: request.split('/')[2] ?? '',
  }));
  return { badRuns, bad, sound, startsAt };
}

function readParts({ original }: EngineCall): readonly string[] {
  return (original?.headers[PARTS_HEADER] ?? '').split(',');
}

/** Times at which engines ended under a part, each engine once. */
export function listCrashTimes(runs: readonly BadRun[], part: string): readonly Millis[] {
  const own = runs.filter((run) => run.part === part);
  const first = new Map<string, Millis>();
  own.forEach(({ engine, at }) => {
    first.set(engine, Math.min(first.get(engine) ?? Infinity, at + READ_TIME + CRASH_DELAY));
  });
  return [...first.values()].sort((a, b) => a - b);
}

/** Share of requests that were answered, of those sent from a time on and before another. */
export function computeServedShare(sent: readonly SentCall[], from: Millis, to: Millis): number {
  const within = sent.filter(({ at }) => at >= from && at < to);
  return within.filter(({ ends }) => ends.length > 0).length / Math.max(1, within.length);
}
