/**
 * Measures, in virtual time, the load that claims of keyed requests put on the platform's store and the
 * latency of a claim, at several rates of keyed requests and several numbers of instances.
 */
import { createRandom, type Random } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { createFakeClaimFleet, type FakeClaimInstance } from '@skylarksail/claims/FakeClaimFleet';
import { DEFAULT_SLOT_SETTINGS, type ClaimSlotSettings } from '@skylarksail/claims/ClaimSlotTypes';
import { createFakeStore } from '@skylarksail/store/FakeStore';
import * as hdr from 'hdr-histogram-js';

/** Claim slots of the whole fleet; the same number as in the daemon. */
const CLAIM_SLOTS = 64;
const WARM_UP_MS = 4000;
const MEASURED_MS = 10_000;
const TIME_LEFT_MS = 10_000;

export interface ClaimsBenchCase {
  readonly instances: number;
  readonly keyedPerSecond: number;
}

/** Result of one case. Rates are totals over the whole fleet. */
export interface ClaimsBenchLine {
  readonly bench: 'claims';
  readonly instances: number;
  readonly keyed_s: number;
  readonly granted_s: number;
  readonly not_run: number;
  readonly writes_s: number;
  readonly reads_s: number;
  readonly written_bytes_s: number;
  readonly p50_ms: number;
  readonly p99_ms: number;
}

export const CLAIMS_BENCH_CASES: readonly ClaimsBenchCase[] = [
  { instances: 6, keyedPerSecond: 10 },
  { instances: 6, keyedPerSecond: 100 },
  { instances: 6, keyedPerSecond: 1000 },
  { instances: 6, keyedPerSecond: 2400 },
  { instances: 60, keyedPerSecond: 2400 },
  { instances: 680, keyedPerSecond: 2400 },
];

/** Runs the cases one after the other and returns a line for each. */
export async function runClaimsBench(
  seed: number,
  settings: ClaimSlotSettings = DEFAULT_SLOT_SETTINGS,
  cases: readonly ClaimsBenchCase[] = CLAIMS_BENCH_CASES,
): Promise<readonly ClaimsBenchLine[]> {
  const lines: ClaimsBenchLine[] = [];
  for (const benchCase of cases) {
    lines.push(await runCase(benchCase, seed, settings));
  }
  return lines;
}

async function runCase(
  benchCase: ClaimsBenchCase,
  seed: number,
  settings: ClaimSlotSettings,
): Promise<ClaimsBenchLine> {
  const random = createRandom(seed);
  const timers = createVirtualTimers(MILLIS_PER_SECOND);
  const platform = createFakeStore({ timers, random: createRandom(seed + 1) });
  const fleet = createFakeClaimFleet({
    timers,
    random: createRandom(seed + 2),
    platform,
    slots: CLAIM_SLOTS,
    settings,
  });
  const instances = Array.from({ length: benchCase.instances }, (_, i) => fleet.start(`i${i}`));
  const latency = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: TIME_LEFT_MS * 2 });
  const start = timers.now();
  const measureFrom = start + WARM_UP_MS;
  const end = measureFrom + MEASURED_MS;
  let granted = 0;
  let notRun = 0;
  let sentRequests = 0;

  async function sendClaim(): Promise<void> {
    const sentAt = timers.now();
    const at = instances[random.nextInt(instances.length)] as FakeClaimInstance;
    sentRequests += 1;
    const outcome = await at.router.claim({
      team: 't',
      key: `key-${sentRequests}`,
      fingerprint: 'f',
      request: `r${sentRequests}`,
      timeLeft: TIME_LEFT_MS,
    });
    if (sentAt >= measureFrom && sentAt < end) {
      granted += outcome.kind === 'granted' ? 1 : 0;
      notRun += outcome.kind === 'granted' ? 0 : 1;
      latency.recordValue(Math.max(1, Math.round(timers.now() - sentAt)));
    }
  }

  function scheduleNext(): void {
    timers.registerTimeout(drawArrivalGap(random, benchCase.keyedPerSecond), () => {
      if (timers.now() < end) {
        void sendClaim();
        scheduleNext();
      }
    });
  }

  scheduleNext();
  await timers.advanceToAsync(measureFrom);
  const before = platform.countCalls();
  await timers.advanceToAsync(end);
  const after = platform.countCalls();
  await timers.advanceToAsync(end + TIME_LEFT_MS);
  const perSecond = (count: number): number =>
    Math.round((count / MEASURED_MS) * MILLIS_PER_SECOND * 10) / 10;
  return {
    bench: 'claims',
    instances: benchCase.instances,
    keyed_s: benchCase.keyedPerSecond,
    granted_s: perSecond(granted),
    not_run: notRun,
    writes_s: perSecond(after.writes - before.writes),
    reads_s: perSecond(after.reads - before.reads),
    written_bytes_s: Math.round(perSecond(after.bytesWritten - before.bytesWritten)),
    p50_ms: latency.getValueAtPercentile(50),
    p99_ms: latency.getValueAtPercentile(99),
  };
}

/** Draws the time to the next arrival of a Poisson process. */
function drawArrivalGap(random: Random, perSecond: number): number {
  return (-Math.log(1 - random.nextFloat()) * MILLIS_PER_SECOND) / perSecond;
}
