/**
 * What one daemon costs: requests and tokens a second on one core, time added to the first token and
 * between tokens against the stand-in engines called directly, and memory of a running stream.
 */
import { readFileSync } from 'node:fs';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent } from 'undici';
import type { Stack } from './StackLauncher.js';
import { launchStack } from './StackLauncher.js';
import { DEFAULT_STACK_SIZE, STACK_TEAMS } from './StackPlan.js';

export interface OverheadOptions {
  readonly seed: number;
}

/** The line of the bench. Times are medians and 95th percentiles in milliseconds. */
export interface OverheadLine {
  readonly bench: 'overhead';
  readonly requests_s: number;
  readonly tokens_s: number;
  readonly daemon_cores: number;
  readonly requests_s_per_core: number;
  readonly tokens_s_per_core: number;
  readonly first_token_p50_ms: number;
  readonly direct_first_token_p50_ms: number;
  readonly added_first_token_p50_ms: number;
  readonly gap_p95_ms: number;
  readonly direct_gap_p95_ms: number;
  readonly added_gap_p95_ms: number;
  readonly stream_bytes: number;
  readonly failed: number;
}

const STREAMS = 48;
const LOAD_TOKENS = 100;
const LOAD_MS = 8000;
const WARM_UP_MS = 3000;
const LATENCY_CALLS = 40;
const LATENCY_TOKENS = 60;
const LATENCY_STEP_MS = 1;
const MEMORY_STREAMS = 300;
const MEMORY_TOKENS = 3000;
const TICKS_PER_SECOND = 100;
const HISTOGRAM_UNITS_PER_MS = 100;
const CPU_USER_FIELD = 11;
const STAT_FIELDS_BEFORE_COMM_END = 2;
const SHORT_ANSWER_KEY = STACK_TEAMS[0].key;

/** Runs the three parts on stacks of their own. */
export async function runOverheadBench(
  { seed }: OverheadOptions,
  print: (line: OverheadLine) => void,
): Promise<void> {
  const size = { ...DEFAULT_STACK_SIZE, seed, domains: 1 };
  const load = await withStack({ ...size, stages: 1, stepMsPerLayer: 0 }, measureLoad);
  const latency = await withStack(
    { ...size, stages: 1, layers: 4, stepMsPerLayer: LATENCY_STEP_MS },
    measureLatency,
  );
  const streamBytes = await withStack(
    { ...size, stages: 1, layers: 4, enginesPerDomain: 8, stepMsPerLayer: 20 },
    measureMemory,
  );
  const { through, direct } = latency;
  const firstToken = getMillis(through.first, 50);
  const directFirstToken = getMillis(direct.first, 50);
  const gap = getMillis(through.gap, 95);
  const directGap = getMillis(direct.gap, 95);
  print({
    bench: 'overhead',
    ...load,
    first_token_p50_ms: firstToken,
    direct_first_token_p50_ms: directFirstToken,
    added_first_token_p50_ms: round(firstToken - directFirstToken),
    gap_p95_ms: gap,
    direct_gap_p95_ms: directGap,
    added_gap_p95_ms: round(gap - directGap),
    stream_bytes: streamBytes,
  });
}

async function withStack<T>(
  size: Parameters<typeof launchStack>[0],
  measure: (stack: Stack) => Promise<T>,
): Promise<T> {
  const stack = await launchStack(size);
  try {
    return await measure(stack);
  } finally {
    await stack.stop();
  }
}

interface StreamTimes {
  readonly first: Histogram;
  readonly gap: Histogram;
}

interface StreamAsk {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  /** Text that stands once in each token's part of the stream. */
  readonly tokenMark: string;
  /** Text that ends a whole stream. */
  readonly endMark: string;
}

/** Reads one stream; gives its tokens, or -1 if it was not whole. */
async function readStream(agent: Agent, ask: StreamAsk, times?: StreamTimes): Promise<number> {
  const { origin, pathname } = new URL(ask.url);
  const startedAt = performance.now();
  const res = await agent.request({
    origin,
    path: pathname,
    method: 'POST',
    headers: { 'content-type': 'application/json', ...ask.headers },
    body: JSON.stringify(ask.body),
  });
  let tokens = 0;
  let lastAt = startedAt;
  let tail = '';
  let rest = '';
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    const text = rest + chunk.toString();
    const parts = text.split(ask.tokenMark);
    const count = parts.length - 1;
    // A mark that is cut between two chunks counts with the second one.
    rest = (parts.at(-1) ?? '').slice(1 - ask.tokenMark.length);
    if (count > 0) {
      const now = performance.now();
      const histogram = tokens === 0 ? times?.first : times?.gap;
      histogram?.recordValue(Math.round((now - lastAt) * HISTOGRAM_UNITS_PER_MS));
      lastAt = now;
    }
    tokens += count;
    tail = (tail + text).slice(-ask.endMark.length * 4);
  }
  return res.statusCode === 200 && tail.includes(ask.endMark) ? tokens : -1;
}

function createDaemonAsk(stack: Stack, tokens: number, number: number): StreamAsk {
  return {
    url: `${stack.daemons[0]?.callers}/v1/chat/completions`,
    headers: { authorization: `Bearer ${SHORT_ANSWER_KEY}` },
    body: {
      model: 'letters',
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: `bench ${number} tokens=${tokens}` }],
    },
    tokenMark: '"delta":{"content":',
    endMark: '[DONE]',
  };
}

function createDirectAsk(stack: Stack, tokens: number, number: number): StreamAsk {
  const engine = stack.engines[number % stack.engines.length];
  const { hostname, port } = new URL(engine?.url ?? '');
  return {
    url: `${engine?.url}/v1/generate`,
    headers: {},
    body: {
      request: `direct-${number}`,
      attempt: 1,
      variant: { model: 'letters', version: 'v1', adapter: null },
      stages: [
        {
          engine: engine?.id,
          layers: { first: 0, end: 4 },
          host: hostname,
          port: Number(port),
        },
      ],
      prompt: `bench ${number} tokens=${tokens}`,
      resumeTokens: [],
      maxTokens: tokens,
      priority: 'normal',
      timeLeftMs: 60_000,
      importFrom: [],
    },
    tokenMark: '"token",',
    endMark: '"end"',
  };
}

/** Closed loop of streams against engines that take no time: what the daemon's core can carry. */
async function measureLoad(stack: Stack) {
  const agent = new Agent({ connections: STREAMS });
  const pid = stack.daemons[0]?.process.child.pid ?? 0;
  let isMeasuring = false;
  let isOver = false;
  let requests = 0;
  let tokens = 0;
  let failed = 0;

  async function runCaller(caller: number): Promise<void> {
    for (let i = 0; !isOver; i++) {
      const got = await readStream(agent, createDaemonAsk(stack, LOAD_TOKENS, caller * 1000 + i));
      if (isMeasuring) {
        requests += 1;
        tokens += Math.max(0, got);
        failed += got < LOAD_TOKENS ? 1 : 0;
      }
    }
  }

  const callers = Array.from({ length: STREAMS }, (_, caller) => runCaller(caller));
  await wait(WARM_UP_MS);
  isMeasuring = true;
  const cpuBefore = readCpuSeconds(pid);
  const startedAt = performance.now();
  await wait(LOAD_MS);
  isMeasuring = false;
  const seconds = (performance.now() - startedAt) / 1000;
  const cores = (readCpuSeconds(pid) - cpuBefore) / seconds;
  isOver = true;
  await Promise.all(callers);
  await agent.close();
  return {
    requests_s: round(requests / seconds),
    tokens_s: round(tokens / seconds),
    daemon_cores: round(cores),
    requests_s_per_core: round(requests / seconds / cores),
    tokens_s_per_core: round(tokens / seconds / cores),
    failed,
  };
}

/** One stream at a time, through the daemon and directly, in turn. */
async function measureLatency(
  stack: Stack,
): Promise<{ readonly through: StreamTimes; readonly direct: StreamTimes }> {
  const agent = new Agent({ connections: 2 });
  const through = { first: build(), gap: build() };
  const direct = { first: build(), gap: build() };
  for (let i = 0; i < LATENCY_CALLS; i++) {
    await readStream(agent, createDaemonAsk(stack, LATENCY_TOKENS, i), through);
    await readStream(agent, createDirectAsk(stack, LATENCY_TOKENS, i), direct);
  }
  await agent.close();
  return { through, direct };
}

/** Resident memory that a running stream adds. */
async function measureMemory(stack: Stack): Promise<number> {
  const agent = new Agent({ connections: MEMORY_STREAMS });
  const pid = stack.daemons[0]?.process.child.pid ?? 0;
  await readStream(agent, createDaemonAsk(stack, 5, 0));
  const before = readResidentBytes(pid);
  const controller = { isOver: false };
  const streams = Array.from({ length: MEMORY_STREAMS }, (_, i) =>
    readStream(agent, createDaemonAsk(stack, MEMORY_TOKENS, i)).catch(() => controller.isOver),
  );
  await wait(LOAD_MS);
  const after = readResidentBytes(pid);
  controller.isOver = true;
  await agent.destroy();
  await Promise.all(streams);
  return Math.round((after - before) / MEMORY_STREAMS);
}

/** Processor time of a process, from what the system counts. */
function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + STAT_FIELDS_BEFORE_COMM_END).split(' ');
  const user = Number(fields[CPU_USER_FIELD]);
  const system = Number(fields[CPU_USER_FIELD + 1]);
  return (user + system) / TICKS_PER_SECOND;
}

function readResidentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const found = /VmRSS:\s+(\d+) kB/.exec(status);
  return Number(found?.[1] ?? 0) * 1024;
}

function getMillis(histogram: Histogram, percentile: number): number {
  return round(histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function wait(delay: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}
