/**
 * Measures, in virtual time, how many calls a fleet makes to the platform at several fleet sizes.
 * Every instance attempts more calls than its share of the call budget, so the rates show that limit.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeStore } from '@skylarksail/store/FakeStore';
import { createStoreClient } from '@skylarksail/store/StoreClient';

/** Output line of one fleet size. Rates are calls per second of the whole fleet. */
export interface PlatformBenchLine {
  readonly bench: 'platform';
  readonly instances: number;
  /** Calls per second that the instances attempt. */
  readonly wanted_s: number;
  readonly reads_s: number;
  readonly writes_s: number;
  /** Calls per second during an outage of one minute. */
  readonly outage_calls_s: number;
}

export const PLATFORM_BENCH_SIZES: readonly number[] = [3, 30, 300, 680];

const CALL_PERIOD_MS = 250;
const WARM_UP_MS = 20_000;
const MEASURED_MS = 20_000;
const OUTAGE_MS = 60_000;
const CALL_TIMEOUT_MS = 200;

/** Measures every fleet size; returns a line for each. */
export async function runPlatformBench(seed: number): Promise<readonly PlatformBenchLine[]> {
  const lines: PlatformBenchLine[] = [];
  for (const instances of PLATFORM_BENCH_SIZES) {
    lines.push(await runSize(instances, seed));
  }
  return lines;
}

async function runSize(instances: number, seed: number): Promise<PlatformBenchLine> {
  const random = createRandom(seed);
  const timers = createVirtualTimers();
  const platform = createFakeStore({ timers, random: createRandom(seed + 1) });
  for (let i = 0; i < instances; i++) {
    const client = createStoreClient({
      port: platform.connect(`i${i}`),
      timers,
      random: createRandom(seed + 2 + i),
      countInstances: () => instances,
    });
    const port = client.forUse('manifest');
    const readAndWrite = (): void => {
      void port.get('root', { timeout: CALL_TIMEOUT_MS });
      void port.swap(`own ${i}`, 0, 'x', { timeout: CALL_TIMEOUT_MS });
    };
    timers.registerTimeout(random.nextInt(CALL_PERIOD_MS), () => {
      timers.registerInterval(CALL_PERIOD_MS, readAndWrite);
    });
  }
  await timers.advanceToAsync(WARM_UP_MS);
  const before = platform.countCalls();
  await timers.advanceToAsync(WARM_UP_MS + MEASURED_MS);
  const after = platform.countCalls();
  platform.setFaults({ outage: true });
  await timers.advanceToAsync(WARM_UP_MS + MEASURED_MS + OUTAGE_MS);
  const last = platform.countCalls();
  const perSecond = (count: number, span: number): number =>
    Math.round((count / span) * MILLIS_PER_SECOND * 10) / 10;
  return {
    bench: 'platform',
    instances,
    wanted_s: (instances * 2 * MILLIS_PER_SECOND) / CALL_PERIOD_MS,
    reads_s: perSecond(after.reads - before.reads, MEASURED_MS),
    writes_s: perSecond(after.writes - before.writes, MEASURED_MS),
    outage_calls_s: perSecond(last.reads + last.writes - after.reads - after.writes, OUTAGE_MS),
  };
}
