/**
 * The overhead bench: the cost of one daemon. It measures requests and tokens per second on one core, the
 * latency added to the first token and between tokens compared with direct calls to the stand-in engines,
 * memory per running stream, many steady streams, and callers that do not read.
 */
import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';
import { measurePausedReaders, measureSteadyStreams } from './OverheadCases.js';
import type { PausedLine, SteadyLine } from './OverheadCases.js';
import type { StreamTimes } from './OverheadStreams.js';
import {
  createDaemonRequest,
  createDirectRequest,
  getPercentileMs,
  getDaemonPid,
  readStream,
  round,
  wait,
} from './OverheadStreams.js';
import { readCpuSeconds } from './BenchProcess.js';
import type { Stack } from './StackLauncher.js';
import { launchStack } from './StackLauncher.js';
import { DEFAULT_STACK_SIZE } from './StackPlan.js';

export interface OverheadOptions {
  readonly seed: number;
}

/** The summary. Times are medians and 95th percentiles in milliseconds. */
export interface SummaryLine {
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

/** A line of the bench; the last one is the summary. */
export type OverheadLine = SteadyLine | PausedLine | SummaryLine;

const STREAMS = 48;
const LOAD_TOKENS = 100;
const LOAD_MS = 5000;
const WARM_UP_MS = 2000;
const LATENCY_CALLS = 20;
const LATENCY_TOKENS = 40;
const LATENCY_STEP_MS = 1;
const STEADY_STEP_MS = 50;
const STEADY_STREAM_COUNTS = [500, 1000];

/** Runs the bench; each part has its own stack. */
export async function runOverheadBench(
  { seed }: OverheadOptions,
  print: (line: OverheadLine) => void,
): Promise<void> {
  const size = { ...DEFAULT_STACK_SIZE, seed, domains: 1, stages: 1 };
  const steady = await withStack(
    {
      ...size,
      layers: 1,
      enginesPerDomain: 20,
      engineProcesses: 5,
      stepMsPerLayer: STEADY_STEP_MS,
    },
    (stack) => measureSteadyStreams(stack, STEADY_STREAM_COUNTS, print),
  );
  const { through, direct } = await withStack(
    { ...size, layers: 4, stepMsPerLayer: LATENCY_STEP_MS },
    async (stack) => {
      const times = await measureLatency(stack);
      print(await measurePausedReaders(stack));
      return times;
    },
  );
  const load = await withStack({ ...size, stepMsPerLayer: 0 }, measureLoad);
  const firstToken = getPercentileMs(through.first, 50);
  const directFirstToken = getPercentileMs(direct.first, 50);
  const gap = getPercentileMs(through.gap, 95);
  const directGap = getPercentileMs(direct.gap, 95);
  print({
    bench: 'overhead',
    ...load,
    first_token_p50_ms: firstToken,
    direct_first_token_p50_ms: directFirstToken,
    added_first_token_p50_ms: round(firstToken - directFirstToken),
    gap_p95_ms: gap,
    direct_gap_p95_ms: directGap,
    added_gap_p95_ms: round(gap - directGap),
    stream_bytes: steady[0]?.stream_bytes ?? 0,
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

/**
 * Measures the throughput of one daemon core: a closed loop of streams against engines with zero computing
 * time.
 */
async function measureLoad(stack: Stack) {
  const agent = new Agent({ connections: STREAMS });
  const pid = getDaemonPid(stack);
  let isMeasuring = false;
  let isStopped = false;
  let requests = 0;
  let tokens = 0;
  let failed = 0;

  async function runCaller(caller: number): Promise<void> {
    for (let i = 0; !isStopped; i++) {
      const received = await readStream(
        agent,
        createDaemonRequest(stack, LOAD_TOKENS, caller * 1000 + i),
      );
      if (isMeasuring) {
        requests += 1;
        tokens += Math.max(0, received);
        failed += received < LOAD_TOKENS ? 1 : 0;
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
  isStopped = true;
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

/** Measures one stream at a time, alternately through the daemon and directly at an engine. */
async function measureLatency(
  stack: Stack,
): Promise<{ readonly through: StreamTimes; readonly direct: StreamTimes }> {
  const agent = new Agent({ connections: 2 });
  const through = { first: build(), gap: build() };
  const direct = { first: build(), gap: build() };
  for (let i = 0; i < LATENCY_CALLS; i++) {
    await readStream(agent, createDaemonRequest(stack, LATENCY_TOKENS, i), () => through);
    await readStream(agent, createDirectRequest(stack, LATENCY_TOKENS, i), () => direct);
  }
  await agent.close();
  return { through, direct };
}
