/**
 * Measures how long a manifest change takes from acceptance until it is in force at every instance that
 * runs and is not partitioned. Submissions race while instances restart, messages, calls and answers get
 * lost and the platform has outages. Runs the real manifest core and runner over virtual time.
 */
import { build } from 'hdr-histogram-js';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SubmitOutcome } from '@skylarksail/manifest/ManifestStore';
import type { ConfigShape, FleetRun } from './ConfigFleet.js';
import {
  scheduleFaults,
  CHANGE_PERIOD,
  countCalls,
  createFleetRun,
  measureInForce,
  advanceTime,
  enableLosses,
  submit,
} from './ConfigFleet.js';
import { createBenchManifest } from './ConfigManifests.js';

export interface ConfigBenchOptions {
  readonly seed: number;
  readonly shapes?: readonly ConfigShape[];
  /** Number of changes submitted to each fleet, without the racing submissions. */
  readonly changes?: number;
  readonly teams?: number;
}

/** Result of one fleet. Rates are averages over the period with changes unless a field says otherwise. */
export interface ConfigBenchLine {
  readonly bench: 'config';
  readonly nodes: number;
  readonly domains: number;
  readonly changes: number;
  /** Submissions rejected because another one was written first. */
  readonly conflicts: number;
  /** From the write of the root until the last reachable instance has it in force. */
  readonly in_force_p50_ms: number;
  readonly in_force_p99_ms: number;
  readonly in_force_max_ms: number;
  /** From the restart of an instance until a revision is in force there, platform outages included. */
  readonly start_p50_ms: number;
  readonly start_p99_ms: number;
  readonly restarts: number;
  readonly reverted: number;
  /** Accepted changes that were not in force at every instance by the end. */
  readonly missing: number;
  readonly platform_calls_s: number;
  /** Average bytes that an instance sends to other instances. */
  readonly peer_bytes_s: number;
  /** Rates of platform calls and of bytes sent while nothing changes. */
  readonly idle_platform_calls_s: number;
  readonly idle_peer_bytes_s: number;
  /** Average bytes that an instance sends per change, restarts included. */
  readonly peer_bytes_per_change: number;
  /** Percentage of a core per instance, the cost of the fakes included. */
  readonly cpu_pct: number;
}

/** Summary line: figures of the largest fleet, and the growth of time and calls with the fleet size. */
export interface ConfigBenchSummary {
  readonly bench: 'config';
  readonly nodes: number;
  readonly changes: number;
  readonly in_force_p99_ms: number;
  readonly reverted: number;
  readonly platform_calls_s: number;
  /** Calls per second that one more instance adds, by a linear fit over the fleets. */
  readonly platform_calls_s_per_node: number;
  /** Milliseconds that doubling the fleet adds to the 99th percentile, by a linear fit. */
  readonly in_force_p99_ms_per_doubling: number;
}

/** First about the size of the users' current seven instances, then larger, up to the size expected in two years. */
const DEFAULT_SHAPES: readonly ConfigShape[] = [
  { domains: 3, perDomain: 2 },
  { domains: 3, perDomain: 8 },
  { domains: 8, perDomain: 11 },
  { domains: 8, perDomain: 43 },
  { domains: 8, perDomain: 85 },
];
const DEFAULT_CHANGES = 24;
const DEFAULT_TEAMS = 400;
const WARM_UP: Millis = 5000;
const SETTLE: Millis = 20_000;
const MICROS_PER_SECOND = 1_000_000;
/** One change in this many gets a second, racing submission. */
const CHANGES_PER_RACE = 2;

interface FleetTotals {
  /** Elapsed virtual time. */
  readonly seconds: number;
  readonly calls: number;
  readonly bytes: number;
  /** Real processor time of all instances and fakes together. */
  readonly cpuSeconds: number;
}

/** Runs the fleets in turn; `onLine` is called with the result of each when it ends. */
export async function runConfigBench(
  options: ConfigBenchOptions,
  onLine: (line: ConfigBenchLine) => void = () => undefined,
): Promise<ConfigBenchSummary> {
  const lines: ConfigBenchLine[] = [];
  for (const shape of options.shapes ?? DEFAULT_SHAPES) {
    const line = await runFleet(shape, options);
    lines.push(line);
    onLine(line);
  }
  return summarize(lines);
}

async function runFleet(shape: ConfigShape, options: ConfigBenchOptions): Promise<ConfigBenchLine> {
  const run = createFleetRun(shape, options.seed);
  const teams = options.teams ?? DEFAULT_TEAMS;
  const changes = options.changes ?? DEFAULT_CHANGES;
  const outcomes: Promise<SubmitOutcome>[] = [];
  run.fleet.startAll();
  await advanceTime(run, WARM_UP);
  outcomes.push(submit(run, 'first', createBenchManifest(teams, 0, 0)));
  await advanceTime(run, SETTLE);
  const idle = await measure(run, () => advanceTime(run, SETTLE));
  run.record.accepted.length = 0;
  enableLosses(run);
  const busy = await measure(run, async () => {
    for (let i = 1; i <= changes; i++) {
      outcomes.push(submit(run, `change-${i}`, createBenchManifest(teams, i, 0)));
      if (i % CHANGES_PER_RACE === 0) {
        outcomes.push(submit(run, `race-${i}`, createBenchManifest(teams, i, 1)));
      }
      scheduleFaults(run, i);
      await advanceTime(run, CHANGE_PERIOD);
    }
    await advanceTime(run, SETTLE);
  });
  return createLine(run, await Promise.all(outcomes), idle, busy);
}

/** Measures time, platform calls, bytes sent and processor time while `work` runs. */
async function measure(run: FleetRun, work: () => Promise<void>): Promise<FleetTotals> {
  const callsBefore = countCalls(run);
  const startedAt = run.timers.now();
  const bytesBefore = run.countBytes();
  const cpuBefore = process.cpuUsage();
  await work();
  const used = process.cpuUsage(cpuBefore);
  return {
    seconds: (run.timers.now() - startedAt) / MILLIS_PER_SECOND,
    calls: countCalls(run) - callsBefore,
    bytes: run.countBytes() - bytesBefore,
    cpuSeconds: (used.user + used.system) / MICROS_PER_SECOND,
  };
}

function createLine(
  run: FleetRun,
  outcomes: readonly SubmitOutcome[],
  idle: FleetTotals,
  busy: FleetTotals,
): ConfigBenchLine {
  const { shape, record } = run;
  const inForceTimes = build();
  const times = record.accepted.map((change) => measureInForce(record, change));
  times.forEach((time) => {
    if (time !== null) {
      inForceTimes.recordValue(Math.round(time));
    }
  });
  const startDurations = build();
  record.startDurations.forEach((time) => startDurations.recordValue(Math.round(time)));
  const nodes = shape.domains * shape.perDomain;
  const idleBytes = idle.bytes / idle.seconds / nodes;
  return {
    bench: 'config',
    nodes,
    domains: shape.domains,
    changes: record.accepted.length,
    conflicts: outcomes.filter(({ kind }) => kind === 'conflict').length,
    in_force_p50_ms: inForceTimes.getValueAtPercentile(50),
    in_force_p99_ms: inForceTimes.getValueAtPercentile(99),
    in_force_max_ms: inForceTimes.maxValue,
    start_p50_ms: startDurations.getValueAtPercentile(50),
    start_p99_ms: startDurations.getValueAtPercentile(99),
    restarts: record.restarts.length,
    reverted: record.reverts.length,
    missing: times.filter((time) => time === null).length,
    platform_calls_s: round(busy.calls / busy.seconds),
    peer_bytes_s: round(busy.bytes / busy.seconds / nodes),
    idle_platform_calls_s: round(idle.calls / idle.seconds),
    idle_peer_bytes_s: round(idleBytes),
    peer_bytes_per_change: Math.round(
      (busy.bytes / nodes - idleBytes * busy.seconds) / record.accepted.length,
    ),
    cpu_pct: round((100 * busy.cpuSeconds) / busy.seconds / nodes),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

function summarize(lines: readonly ConfigBenchLine[]): ConfigBenchSummary {
  const largest = lines.at(-1) as ConfigBenchLine;
  return {
    bench: 'config',
    nodes: largest.nodes,
    changes: lines.reduce((sum, { changes }) => sum + changes, 0),
    in_force_p99_ms: largest.in_force_p99_ms,
    reverted: lines.reduce((sum, { reverted }) => sum + reverted, 0),
    platform_calls_s: largest.platform_calls_s,
    platform_calls_s_per_node: fitSlope(
      lines.map(({ nodes, platform_calls_s: calls }) => [nodes, calls]),
    ),
    in_force_p99_ms_per_doubling: fitSlope(
      lines.map(({ nodes, in_force_p99_ms: time }) => [Math.log2(nodes), time]),
    ),
  };
}

/** Slope of the least-squares line through the points. */
function fitSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return variance === 0 ? 0 : Math.round((covariance / variance) * 10_000) / 10_000;
}
