/**
 * What control costs each instance as the fleet grows: real membership, duties and load digests with real
 * bytes over virtual time, many instances in one process. Prints one line a size, then the fitted slope.
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
  /** Fleet sizes to run; 680 is measured if it is among them, else worked out from the slope. */
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
  /** Bytes sent, frames and TCP/IP headers included; as many are received. */
  readonly bytes_s: number;
  /** Bytes of the answers of the polled engines, received besides. */
  readonly poll_bytes_s: number;
  readonly messages_s: number;
  readonly cpu_pct: number;
  /** Heap that one more instance takes. */
  readonly rss_mb: number;
  /** Of the whole fleet: readings of the platform's list. */
  readonly platform_calls_s: number;
  readonly load_age_p50_ms: number;
  readonly load_age_p99_ms: number;
  readonly load_unknown: number;
  /** Time from a crash until the instances of its domain hold it dead. */
  readonly detect_p50_ms: number;
  readonly detect_p99_ms: number;
  readonly false_deaths: number;
}

type CostField = 'bytes_s' | 'poll_bytes_s' | 'cpu_pct' | 'rss_mb' | 'platform_calls_s';
type ControlCosts = Readonly<Record<CostField, number>>;

/** The line that ends the bench: how the costs grow, and their value at 680 nodes. */
export interface ControlSummary {
  readonly bench: 'control';
  /** Sizes over which the slope was fitted: those with full domains, if there are two. */
  readonly fitted_over: readonly number[];
  readonly slope_per_100_nodes: ControlCosts;
  readonly at_680: ControlCosts;
  /** Whether the values at 680 were measured, or drawn out along the slope. */
  readonly measured: boolean;
  readonly limits: { readonly bytes_s: number; readonly cpu_pct: number; readonly rss_mb: number };
  readonly within: boolean;
}

export interface ControlReport {
  readonly lines: readonly ControlLine[];
  readonly summary: ControlSummary;
}

/** What fits into a minute; `npm run bench -- control` with larger ones takes some minutes. */
const SIZES = [7, 21, 85, 170];
const TARGET_SIZE = 680;
const DOMAIN_SIZE = 85;
const ENGINES_PER_INSTANCE = 2800 / 680;
/** All instances start within the first second. */
const START_TIME: Millis = 1500;
/** What was said at the start has been passed on by then, also at 680 instances. */
const WARM_UP: Millis = 28_000;
/** Whole periods of polling, else the share of polls in it hangs on where it begins. */
const MEASURE_TIME: Millis = 4 * LOAD_POLL_PERIOD;
const DETECT_TIME: Millis = 9000;
const SAMPLE_PERIOD: Millis = 1000;
/** Bytes around each message: ws frame with mask, TCP with timestamps, IP. */
const FRAME_BYTES = 8 + 32 + 20;
/** Head of an HTTP answer with JSON on a kept connection, and its packet. */
const POLL_HEAD_BYTES = 180;
const LIMITS = { bytes_s: 4096, cpu_pct: 1.6, rss_mb: 64 };
const MICROS_PER_SECOND = 1e6;
const MAX_TRACKED = 600_000;

const collectGarbage = createCollector();

/** Runs all sizes. `onLine` hears of each line as it is ready. */
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

/** Splits a fleet into domains of 85, or into three smaller ones as the users have today. */
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
  const ages = build({ highestTrackableValue: MAX_TRACKED });
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
    polls.bytes - pollsBefore.bytes + POLL_HEAD_BYTES * (polls.polls - pollsBefore.polls);
  return {
    bytes_s: round((sent.bytes - sentBefore.bytes + FRAME_BYTES * messages) / nodeSeconds, 0),
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
 * Readings of the list by the whole fleet, from the period that each instance keeps to at present. They
 * are too few to be counted in the time that is measured.
 */
function getListReadRate({ fleet }: ControlFleet): number {
  return fleet
    .getInstances()
    .reduce((sum, { membership }) => sum + MILLIS_PER_SECOND / membership.getListPeriod(), 0);
}

type Detection = Pick<ControlLine, 'detect_p50_ms' | 'detect_p99_ms' | 'false_deaths'>;

/** Crashes one instance of each domain, at different times, and waits until the others know. */
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
  fleet.advance(DETECT_TIME);
  const times = build({ highestTrackableValue: MAX_TRACKED });
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
      (sum, one) => ({
        messages: sum.messages + one.messagesSent,
        bytes: sum.bytes + one.bytesSent,
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
  // A domain's size is what some costs grow with until it is 85; the fleet grows by domains beyond it.
  const full = lines.filter(({ nodes, domains }) => nodes === domains * DOMAIN_SIZE);
  const fitted = full.length > 1 ? full : lines;
  const fits = COST_FIELDS.map((field) => {
    const points = fitted.map((line) => [line.nodes, line[field]] as const);
    return { field, ...fitLine(points) };
  });
  const slope = toCosts(fits.map(({ field, slope: rise }) => [field, 100 * rise]));
  const drawn = toCosts(
    fits.map(({ field, slope: rise, start }) => [field, start + rise * TARGET_SIZE]),
  );
  const at680 = measured ? toCosts(COST_FIELDS.map((field) => [field, measured[field]])) : drawn;
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

/** The straight line that fits best by least squares. */
function fitLine(points: readonly (readonly [number, number])[]): { slope: number; start: number } {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const shared = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = spread === 0 ? 0 : shared / spread;
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
