/**
 * The bench of the manifest: changes submitted in races while instances restart, messages and answers
 * get lost and the platform has outages. The real core and runner over virtual time; of each accepted
 * change, the time until it is in force at every instance that is up and not cut off.
 */
import { build } from 'hdr-histogram-js';
import { Packr } from 'msgpackr';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom, sampleElements } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { FakeFleet } from '@skylarksail/manifest/FakeFleet';
import { createFakeFleet, createFleetMembers } from '@skylarksail/manifest/FakeFleet';
import {
  MANIFEST_BUDGET_RATES,
  MANIFEST_CIRCUIT_SETTINGS,
  MANIFEST_SHARERS,
} from '@skylarksail/manifest/ManifestRates';
import { parseRoot, ROOT_KEY } from '@skylarksail/manifest/ManifestRoot';
import type { SubmitOutcome } from '@skylarksail/manifest/ManifestStore';
import { submitManifest } from '@skylarksail/manifest/ManifestStore';
import type { FakePlatform } from '@skylarksail/platform/FakePlatform';
import { createFakePlatform } from '@skylarksail/platform/FakePlatform';
import { PlatformUse } from '@skylarksail/platform/PlatformBudget';
import { createPlatformClient } from '@skylarksail/platform/PlatformClient';
import type { PlatformPort } from '@skylarksail/platform/PlatformPort';
import { createBenchManifest } from './ConfigManifests.js';

/** One fleet of the bench. */
export interface ConfigShape {
  readonly domains: number;
  readonly perDomain: number;
}

export interface ConfigBenchOptions {
  readonly seed: number;
  readonly shapes?: readonly ConfigShape[];
  /** Changes that are submitted to each fleet. */
  readonly changes?: number;
  readonly teams?: number;
}

/** What one fleet showed. Times in milliseconds, rates over the whole of its run. */
export interface ConfigBenchLine {
  readonly bench: 'config';
  readonly nodes: number;
  readonly domains: number;
  readonly changes: number;
  /** Submissions that lost a race. */
  readonly conflicts: number;
  /** From the write of the root until the last reachable instance has it in force. */
  readonly in_force_p50_ms: number;
  readonly in_force_p99_ms: number;
  readonly in_force_max_ms: number;
  /** From the start of an instance until a revision is in force there; outages included. */
  readonly start_p50_ms: number;
  readonly start_p99_ms: number;
  readonly restarts: number;
  readonly reverted: number;
  /** Changes that were not in force everywhere by the end. */
  readonly missing: number;
  readonly platform_calls_s: number;
  /** Bytes that an instance sends to others, on average. */
  readonly peer_bytes_s: number;
}

/** The last line: the largest fleet, and how time and calls grow from fleet to fleet. */
export interface ConfigBenchSummary {
  readonly bench: 'config';
  readonly nodes: number;
  readonly changes: number;
  readonly in_force_p99_ms: number;
  readonly reverted: number;
  readonly platform_calls_s: number;
  /** Calls a second that one more instance adds, fitted over the fleets. */
  readonly platform_calls_s_per_node: number;
  /** Milliseconds that a doubling of the fleet adds to the 99th percentile, fitted. */
  readonly in_force_p99_ms_per_doubling: number;
}

/** Today's seven instances first, then larger fleets up to the size of the next two years. */
const DEFAULT_SHAPES: readonly ConfigShape[] = [
  { domains: 3, perDomain: 2 },
  { domains: 3, perDomain: 8 },
  { domains: 8, perDomain: 11 },
  { domains: 8, perDomain: 43 },
  { domains: 8, perDomain: 85 },
];
const DEFAULT_CHANGES = 40;
const DEFAULT_TEAMS = 400;
const WARM_UP: Millis = 5000;
const CHANGE_PERIOD: Millis = 2500;
const SETTLE: Millis = 40_000;
const SUBMIT_DEADLINE: Millis = 20_000;
const RESTART_GAP: Millis = 1500;
const OUTAGE: Millis = 6000;
const MESSAGE_LOSS = 0.01;
const PLATFORM_FAULTS = { lostAnswers: 0.02, lostCalls: 0.02, missedWatches: 0.05 };
/** Every so many changes one of these happens. */
const RACE_EVERY = 2;
const RESTART_EVERY = 1;
const OUTAGE_EVERY = 8;
const CUT_EVERY = 10;

interface AcceptedChange {
  readonly revision: number;
  readonly at: Millis;
}

interface AwaySpan {
  readonly kind: 'cut' | 'restart';
  readonly from: Millis;
  to: Millis;
}

/** What is recorded while a fleet runs. */
interface FleetRecord {
  readonly accepted: AcceptedChange[];
  /** When an instance's present process was started. */
  readonly startedAt: Map<InstanceId, Millis>;
  /** Highest revision ever in force at an instance, over all its processes. */
  readonly highest: Map<InstanceId, number>;
  /** Times at which an instance's processes put revisions into force. */
  readonly applied: Map<InstanceId, { readonly revision: number; readonly at: Millis }[]>;
  /** Spans in which an instance was cut off or did not run. */
  readonly away: Map<InstanceId, AwaySpan[]>;
  readonly startTimes: Millis[];
  /** Instances that put a lower revision into force than before. */
  readonly reverts: InstanceId[];
  readonly restarts: InstanceId[];
}

interface Run {
  readonly shape: ConfigShape;
  readonly timers: VirtualTimers;
  readonly random: Random;
  readonly platform: FakePlatform;
  readonly fleet: FakeFleet;
  readonly members: readonly InstanceId[];
  readonly record: FleetRecord;
  /** Bytes of all messages between instances so far. */
  readonly countBytes: () => number;
}

interface FleetTotals {
  /** Seconds. */
  readonly elapsed: number;
  readonly calls: number;
  readonly bytes: number;
}

/** Runs every fleet; `onLine` hears of each as it ends. */
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
  const run = createRun(shape, options.seed);
  const teams = options.teams ?? DEFAULT_TEAMS;
  const changes = options.changes ?? DEFAULT_CHANGES;
  const outcomes: Promise<SubmitOutcome>[] = [];
  run.fleet.startAll();
  await pass(run, WARM_UP);
  outcomes.push(submit(run, 'first', createBenchManifest(teams, 0, 0)));
  await pass(run, SETTLE);
  const callsBefore = countCalls(run);
  const startedAt = run.timers.now();
  const bytesBefore = run.countBytes();
  run.record.accepted.length = 0;
  run.platform.setFaults(PLATFORM_FAULTS);
  run.fleet.setLoss(MESSAGE_LOSS);
  for (let i = 1; i <= changes; i++) {
    outcomes.push(submit(run, `change-${i}`, createBenchManifest(teams, i, 0)));
    if (i % RACE_EVERY === 0) {
      outcomes.push(submit(run, `race-${i}`, createBenchManifest(teams, i, 1)));
    }
    bringFaults(run, i);
    await pass(run, CHANGE_PERIOD);
  }
  await pass(run, SETTLE);
  const elapsed = (run.timers.now() - startedAt) / MILLIS_PER_SECOND;
  const calls = countCalls(run) - callsBefore;
  const bytes = run.countBytes() - bytesBefore;
  return createLine(run, await Promise.all(outcomes), { elapsed, calls, bytes });
}

function createRun(shape: ConfigShape, seed: number): Run {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const platform = createFakePlatform({ timers, random });
  const packr = new Packr();
  let bytes = 0;
  const record: FleetRecord = {
    accepted: [],
    startedAt: new Map(),
    highest: new Map(),
    applied: new Map(),
    away: new Map(),
    startTimes: [],
    reverts: [],
    restarts: [],
  };
  const members = createFleetMembers(shape.domains, shape.perDomain);
  const fleet = createFakeFleet({
    timers,
    random,
    platform,
    members,
    wrapPlatform: (_id, port) => wrapPort(port, timers, random),
    onMessage(_from, _to, message) {
      bytes += packr.pack(message).length;
    },
    onInForce: (id, revision) => noteInForce(record, id, revision, timers.now()),
  });
  platform.store.registerChange(ROOT_KEY, ({ value }) => {
    const root = parseRoot(value);
    if (root.ok) {
      record.accepted.push({ revision: root.value.revision, at: timers.now() });
    }
  });
  return {
    shape,
    timers,
    random,
    platform,
    fleet,
    members: members.map(({ id }) => id),
    record,
    countBytes: () => bytes,
  };
}

function wrapPort(port: PlatformPort, timers: VirtualTimers, random: Random): PlatformPort {
  const client = createPlatformClient({
    port,
    timers,
    random,
    countInstances: () => MANIFEST_SHARERS,
    rates: MANIFEST_BUDGET_RATES,
    circuit: MANIFEST_CIRCUIT_SETTINGS,
  });
  return client.forUse(PlatformUse.Manifest);
}

function noteInForce(record: FleetRecord, id: InstanceId, revision: number, at: Millis): void {
  const highest = record.highest.get(id) ?? 0;
  const applied = record.applied.get(id) ?? [];
  const startedAt = record.startedAt.get(id);
  if (revision < highest) {
    record.reverts.push(id);
  }
  if (startedAt !== undefined) {
    record.startTimes.push(at - startedAt);
    record.startedAt.delete(id);
  }
  record.highest.set(id, Math.max(highest, revision));
  record.applied.set(id, [...applied, { revision, at }]);
}

function pass({ timers }: Run, time: Millis): Promise<void> {
  return timers.advanceToAsync(timers.now() + time);
}

function countCalls({ platform }: Run): number {
  const { reads, writes } = platform.countCalls();
  return reads + writes;
}

function submit(run: Run, submissionId: string, manifest: unknown): Promise<SubmitOutcome> {
  const port = run.platform.connect(`pipeline-${submissionId}`);
  const ctx = {
    platform: wrapPort(port, run.timers, run.random),
    timers: run.timers,
    random: run.random,
    callTimeout: 500,
  };
  const deadline = run.timers.now() + SUBMIT_DEADLINE;
  return submitManifest(ctx, manifest, { submissionId, expectedRevision: null, deadline });
}

function bringFaults(run: Run, change: number): void {
  const { timers, random, platform, fleet } = run;
  if (change % RESTART_EVERY === 0) {
    const [id] = sampleElements(random, fleet.listRunning(), 1);
    timers.registerTimeout(random.nextInt(CHANGE_PERIOD), () => restart(run, id as InstanceId));
  }
  if (change % OUTAGE_EVERY === 0) {
    timers.registerTimeout(random.nextInt(CHANGE_PERIOD), () => {
      platform.setFaults({ outage: true });
      timers.registerTimeout(OUTAGE, () => platform.setFaults({ outage: false }));
    });
  }
  if (change % CUT_EVERY === 0) {
    const domain = `d${random.nextInt(run.shape.domains)}`;
    fleet.setCut(domain, true);
    const returns = run.members
      .filter((id) => id.startsWith(`${domain}-`))
      .map((id) => leave(run, id, 'cut'));
    timers.registerTimeout(OUTAGE, () => {
      fleet.setCut(domain, false);
      returns.forEach((comeBack) => comeBack());
    });
  }
}

function restart(run: Run, id: InstanceId): void {
  const { timers, fleet, record } = run;
  if (!fleet.listRunning().includes(id)) {
    return;
  }
  fleet.kill(id);
  const comeBack = leave(run, id, 'restart');
  timers.registerTimeout(RESTART_GAP, () => {
    record.restarts.push(id);
    record.startedAt.set(id, timers.now());
    comeBack();
    fleet.start(id);
  });
}

/** Notes that an instance is away; the returned function notes its return. */
function leave({ record, timers }: Run, id: InstanceId, kind: AwaySpan['kind']): () => void {
  const span: AwaySpan = { kind, from: timers.now(), to: Infinity };
  record.away.set(id, [...(record.away.get(id) ?? []), span]);
  return () => {
    span.to = timers.now();
  };
}

/**
 * Time from acceptance until the last instance has the revision, or a higher one, in force. One that was
 * cut off counts from its return; one that was started meanwhile is measured by its start instead.
 */
function measureInForce(record: FleetRecord, change: AcceptedChange): Millis | null {
  const times = [...record.highest.keys()].map((id) => {
    const entry = record.applied.get(id)?.find(({ revision }) => revision >= change.revision);
    if (!entry) {
      return null;
    }
    const spans = (record.away.get(id) ?? []).filter(
      ({ from, to }) => to > change.at && from < entry.at,
    );
    const from = Math.max(change.at, ...spans.map(({ to }) => to));
    const isStart = spans.some(({ kind }) => kind === 'restart');
    return isStart ? 0 : Math.max(0, entry.at - from);
  });
  return times.includes(null) ? null : Math.max(...(times as Millis[]));
}

function createLine(
  run: Run,
  outcomes: readonly SubmitOutcome[],
  { elapsed, calls, bytes }: FleetTotals,
): ConfigBenchLine {
  const { shape, record } = run;
  const histogram = build();
  const times = record.accepted.map((change) => measureInForce(record, change));
  times.forEach((time) => {
    if (time !== null) {
      histogram.recordValue(Math.round(time));
    }
  });
  const starts = build();
  record.startTimes.forEach((time) => starts.recordValue(Math.round(time)));
  const nodes = shape.domains * shape.perDomain;
  return {
    bench: 'config',
    nodes,
    domains: shape.domains,
    changes: record.accepted.length,
    conflicts: outcomes.filter(({ kind }) => kind === 'conflict').length,
    in_force_p50_ms: histogram.getValueAtPercentile(50),
    in_force_p99_ms: histogram.getValueAtPercentile(99),
    in_force_max_ms: histogram.maxValue,
    start_p50_ms: starts.getValueAtPercentile(50),
    start_p99_ms: starts.getValueAtPercentile(99),
    restarts: record.restarts.length,
    reverted: record.reverts.length,
    missing: times.filter((time) => time === null).length,
    platform_calls_s: round(calls / elapsed),
    peer_bytes_s: round(bytes / elapsed / nodes),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
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

/** Slope of the line that fits the points with the least squares. */
function fitSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return variance === 0 ? 0 : Math.round((covariance / variance) * 10_000) / 10_000;
}
