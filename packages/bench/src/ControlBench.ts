/**
 * Measures what control traffic costs each instance as the fleet grows. Many instances run the real
 * membership, duties and load digests in one process over virtual time and exchange encoded messages.
 * Reports one line per fleet size, then the slope of a linear fit.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { BYTES_PER_MEBIBYTE, MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { LOAD_POLL_PERIOD } from '@skylarksail/membership/MembershipLoad';
import { build } from 'hdr-histogram-js';
import type { ControlFleet } from './ControlFleet.js';
import { createControlFleet } from './ControlFleet.js';

export interface ControlBenchOptions {
  readonly seed: number;
  /** Fleet sizes to run; the costs at 680 are measured if it is among them, else extrapolated. */
  readonly sizes?: readonly number[];
  /** Virtual time measured at each size, in milliseconds. */
  readonly measureTime?: Millis;
  readonly pollPeriod?: Millis;
  readonly loss?: number;
}

/** Cost of one instance at one fleet size. */
export interface ControlLine {
  readonly bench: 'control';
  readonly nodes: number;
  readonly domains: number;
  readonly engines: number;
  /** Bytes sent, with WebSocket frames and TCP/IP headers; the same number is received. */
  readonly bytes_s: number;
  /** Bytes received in poll responses of engines, not part of `bytes_s`. */
  readonly poll_bytes_s: number;
  readonly messages_s: number;
  readonly cpu_pct: number;
  /** Heap and array buffers per instance. */
  readonly rss_mb: number;
  /** Reads of the platform's instance list by the whole fleet. */
  readonly platform_calls_s: number;
  readonly load_age_p50_ms: number;
  readonly load_age_p99_ms: number;
  readonly load_unknown: number;
  /** Time from a crash until the instances of the same domain declare the instance dead. */
  readonly detect_p50_ms: number;
  readonly detect_p99_ms: number;
  readonly false_deaths: number;
}

type CostField = 'bytes_s' | 'poll_bytes_s' | 'cpu_pct' | 'rss_mb' | 'platform_calls_s';
type ControlCosts = Readonly<Record<CostField, number>>;

/** Summary line: the growth of the costs and their values at 680 nodes. */
export interface ControlSummary {
  readonly bench: 'control';
  /** Sizes that the fit uses: those with full domains if there are at least two, else all. */
  readonly fitted_over: readonly number[];
  readonly slope_per_100_nodes: ControlCosts;
  readonly at_680: ControlCosts;
  /** Whether the values at 680 were measured rather than extrapolated. */
  readonly measured: boolean;
  readonly limits: { readonly bytes_s: number; readonly cpu_pct: number; readonly rss_mb: number };
  readonly within: boolean;
}

export interface ControlReport {
  readonly lines: readonly ControlLine[];
  readonly summary: ControlSummary;
}

/** These sizes run within a minute; larger ones take several minutes. */
const SIZES = [7, 21, 85, 170];
const TARGET_SIZE = 680;
const DOMAIN_SIZE = 85;
const ENGINES_PER_INSTANCE = 2800 / 680;
/** All instances start within the first second. */
const START_TIME: Millis = 1500;
/** Long enough for the gossip of the start to finish spreading, also at 680 instances. */
const WARM_UP: Millis = 28_000;
/** A multiple of the polling period, so that the number of polls does not depend on the phase. */
const MEASURE_TIME: Millis = 4 * LOAD_POLL_PERIOD;
const DETECTION_TIME: Millis = 9000;
const SAMPLE_PERIOD: Millis = 1000;
/** Overhead per message: WebSocket header with mask, TCP header with timestamps, IP header. */
const MESSAGE_OVERHEAD_BYTES = 8 + 32 + 20;
/** HTTP response headers of a JSON body on a keep-alive connection, and the packet headers. */
const POLL_HEADER_BYTES = 180;
const LIMITS = { bytes_s: 4096, cpu_pct: 1.6, rss_mb: 64 };
const MICROS_PER_SECOND = 1e6;
const MAX_TRACKED_MS = 600_000;

const collectGarbage = createCollector();

/** Runs all sizes; `onLine` is called with each line when it is ready. */
export function runControlBench(
  options: ControlBenchOptions,
  onLine: (line: ControlLine) => void = () => {},
): ControlReport {
  const lines = (options.sizes ?? SIZES).map((nodes) => {
    const line = measureSize(nodes, options);
    onLine(line);
    return line;
  });
  return { lines, summary: summarise(lines) };
}

/** Splits a fleet into domains of 85 if that divides it, else into three, as many as the users have. */
export function splitDomains(nodes: number): readonly number[] {
  const domains = nodes % DOMAIN_SIZE === 0 ? nodes / DOMAIN_SIZE : 3;
  return Array.from({ length: domains }, (_, i) => Math.floor((nodes + i) / domains));
}

function measureSize(nodes: number, options: ControlBenchOptions): ControlLine {
  const measureTime = options.measureTime ?? MEASURE_TIME;
  const domainSizes = splitDomains(nodes);
  const heapBefore = measureHeap();
  const control = createControlFleet({
    seed: options.seed,
    domainSizes,
    enginesPerInstance: ENGINES_PER_INSTANCE,
    ...(options.pollPeriod === undefined ? {} : { pollPeriod: options.pollPeriod }),
    ...(options.loss === undefined ? {} : { loss: options.loss }),
  });
  control.fleet.advance(START_TIME);
  control.fleet.convergeViews();
  control.fleet.advance(WARM_UP);
  const costs = measureCosts(control, nodes, measureTime);
  const heapPerNode = (measureHeap() - heapBefore) / nodes;
  const detection = measureDetection(control);
  return {
    bench: 'control',
    nodes,
    domains: domainSizes.length,
    engines: domainSizes.reduce((sum, size) => sum + Math.round(size * ENGINES_PER_INSTANCE), 0),
    ...costs,
    rss_mb: round(heapPerNode / BYTES_PER_MEBIBYTE, 3),
    ...detection,
  };
}

type Costs = Pick<
  ControlLine,
  | 'bytes_s'
  | 'poll_bytes_s'
  | 'messages_s'
  | 'cpu_pct'
  | 'platform_calls_s'
  | 'load_age_p50_ms'
  | 'load_age_p99_ms'
  | 'load_unknown'
>;

function measureCosts(control: ControlFleet, nodes: number, time: Millis): Costs {
  const { fleet } = control;
  const seconds = time / MILLIS_PER_SECOND;
  const nodeSeconds = nodes * seconds;
  const sentBefore = countSent(control);
  const pollsBefore = control.countPolls();
  const ages = build({ highestTrackableValue: MAX_TRACKED_MS });
  let unknown = 0;
  let cpu = 0;
  for (let passed = 0; passed < time; passed += SAMPLE_PERIOD) {
    const started = process.cpuUsage();
    fleet.advance(SAMPLE_PERIOD);
    const used = process.cpuUsage(started);
    cpu += used.user + used.system;
    for (const age of control.sampleLoadAges()) {
      if (age === null) {
        unknown += 1;
      } else {
        ages.recordValue(Math.round(age));
      }
    }
  }
  const sent = countSent(control);
  const polls = control.countPolls();
  const messages = sent.messages - sentBefore.messages;
  const pollBytes =
    polls.bytes - pollsBefore.bytes + POLL_HEADER_BYTES * (polls.polls - pollsBefore.polls);
  return {
    bytes_s: round(
      (sent.bytes - sentBefore.bytes + MESSAGE_OVERHEAD_BYTES * messages) / nodeSeconds,
      0,
    ),
    poll_bytes_s: round(pollBytes / nodeSeconds, 0),
    messages_s: round(messages / nodeSeconds, 2),
    cpu_pct: round((100 * cpu) / MICROS_PER_SECOND / nodeSeconds, 4),
    platform_calls_s: round(getListReadRate(control), 2),
    load_age_p50_ms: ages.getValueAtPercentile(50),
    load_age_p99_ms: ages.getValueAtPercentile(99),
    load_unknown: unknown,
  };
}

/**
 * Returns the rate of reads of the platform's instance list by the whole fleet, computed from the current
 * read period of each instance. Too few reads fall into the measured time to count them.
 */
function getListReadRate({ fleet }: ControlFleet): number {
  return fleet
    .getInstances()
    .reduce((sum, { membership }) => sum + MILLIS_PER_SECOND / membership.getListPeriod(), 0);
}

type Detection = Pick<ControlLine, 'detect_p50_ms' | 'detect_p99_ms' | 'false_deaths'>;

/** Crashes one instance per domain, at different times, and measures when the others declare it dead. */
function measureDetection({ fleet, getDeaths }: ControlFleet): Detection {
  const random = createRandom(fleet.getInstances().length);
  const crashed = new Map<InstanceId, Millis>();
  const domains = new Set(fleet.getInstances().map(({ listed }) => listed.domain));
  for (const domain of domains) {
    const members = fleet.getInstances().filter(({ listed }) => listed.domain === domain);
    const victim = members[random.nextInt(members.length)];
    if (victim) {
      crashed.set(victim.listed.id, fleet.timers.now());
      fleet.crash(victim.listed.id);
      fleet.advance(random.nextInt(MILLIS_PER_SECOND));
    }
  }
  fleet.advance(DETECTION_TIME);
  const times = build({ highestTrackableValue: MAX_TRACKED_MS });
  let falseDeaths = 0;
  for (const { observer, id, at } of getDeaths()) {
    const crashedAt = crashed.get(id);
    if (crashedAt === undefined) {
      falseDeaths += 1;
    } else if (fleet.get(observer).listed.domain === getDomain(id)) {
      times.recordValue(Math.round(at - crashedAt));
    }
  }
  return {
    detect_p50_ms: times.getValueAtPercentile(50),
    detect_p99_ms: times.getValueAtPercentile(99),
    false_deaths: falseDeaths,
  };
}

function getDomain(id: InstanceId): string {
  return id.split('-')[0] ?? id;
}

function countSent({ fleet }: ControlFleet): { messages: number; bytes: number } {
  return fleet
    .getInstances()
    .map(({ membership }) => membership.getCounters())
    .reduce(
      (sum, counters) => ({
        messages: sum.messages + counters.messagesSent,
        bytes: sum.bytes + counters.bytesSent,
      }),
      { messages: 0, bytes: 0 },
    );
}

const COST_FIELDS: readonly CostField[] = [
  'bytes_s',
  'poll_bytes_s',
  'cpu_pct',
  'rss_mb',
  'platform_calls_s',
];

function summarise(lines: readonly ControlLine[]): ControlSummary {
  const measured = lines.find(({ nodes }) => nodes === TARGET_SIZE);
  // Some costs grow with the domain size up to its maximum of 85; beyond it the fleet grows by domains.
  const full = lines.filter(({ nodes, domains }) => nodes === domains * DOMAIN_SIZE);
  const fitted = full.length > 1 ? full : lines;
  const fits = COST_FIELDS.map((field) => {
    const points = fitted.map((line) => [line.nodes, line[field]] as const);
    return { field, ...fitLine(points) };
  });
  const slope = toCosts(fits.map(({ field, slope: slopePerNode }) => [field, 100 * slopePerNode]));
  const extrapolated = toCosts(
    fits.map(({ field, slope: slopePerNode, start: intercept }) => [
      field,
      intercept + slopePerNode * TARGET_SIZE,
    ]),
  );
  const at680 = measured
    ? toCosts(COST_FIELDS.map((field) => [field, measured[field]]))
    : extrapolated;
  return {
    bench: 'control',
    fitted_over: fitted.map(({ nodes }) => nodes),
    slope_per_100_nodes: slope,
    at_680: at680,
    measured: measured !== undefined,
    limits: LIMITS,
    within:
      at680.bytes_s + at680.poll_bytes_s <= LIMITS.bytes_s &&
      at680.cpu_pct <= LIMITS.cpu_pct &&
      at680.rss_mb <= LIMITS.rss_mb,
  };
}

function toCosts(entries: readonly (readonly [CostField, number])[]): ControlCosts {
  return Object.fromEntries(
    entries.map(([field, value]) => [field, round(value, 4)]),
  ) as ControlCosts;
}

/** Fits a straight line by least squares. */
function fitLine(points: readonly (readonly [number, number])[]): { slope: number; start: number } {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, start: meanY - slope * meanX };
}

function measureHeap(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function createCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
