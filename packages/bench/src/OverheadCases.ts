/**
 * Cases of the overhead bench with many streams at the token rate of real engines, and with callers that do
 * not read.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';
import type { StreamTimes } from './OverheadStreams.js';
import {
  createDaemonRequest,
  getPercentileMs,
  getDaemonPid,
  readStream,
  round,
  wait,
} from './OverheadStreams.js';
import { readCpuSeconds, readResidentBytes } from './BenchProcess.js';
import type { Stack } from './StackLauncher.js';

/** Results for `streams` streams at the token rate of the engines. `short` counts incomplete streams. */
export interface SteadyLine {
  readonly bench: 'overhead';
  readonly case: string;
  readonly streams: number;
  readonly tokens_s: number;
  readonly daemon_cores: number;
  readonly us_per_token: number;
  readonly gap_p95_ms: number;
  readonly stream_bytes: number;
  readonly short: number;
}

/**
 * Results for callers that read nothing, alongside callers that do: memory per paused caller, and the token
 * gaps of the other callers.
 */
export interface PausedLine {
  readonly bench: 'overhead';
  readonly case: 'paused-readers';
  readonly paused: number;
  /** Growth of resident memory per paused stream during the measurement. */
  readonly bytes_per_paused: number;
  readonly gap_p95_alone_ms: number;
  readonly gap_p95_beside_ms: number;
  readonly short: number;
}

const STEADY_TOKENS = 3000;
const STARTS_PER_BURST = 25;
const BURST_PERIOD_MS = 100;
const SETTLE_MS = 1500;
const STEADY_MS = 3500;
const RETRY_MS = 1000;
const READERS = 12;
const READER_TOKENS = 4000;
const PAUSED_READERS = 40;
const PAUSED_TOKENS = 20_000;
const PAUSED_MEASURE_MS = 3000;

/** Streams that are repeated until they are stopped; counts their tokens and gaps. */
interface StreamGroup {
  start(): void;
  /** Restarts the counts; the object returned is updated until the next reset. */
  reset(): { tokens: number; readonly times: StreamTimes };
  getIncompleteCount(): number;
  stop(): Promise<void>;
}

function createStreamGroup(stack: Stack, tokensEach: number): StreamGroup {
  const agent = new Agent({ connections: null });
  const running: Promise<void>[] = [];
  let isStopped = false;
  let short = 0;
  let times: StreamTimes = { first: build(), gap: build() };
  let measurement = { tokens: 0, times };

  const getTimes = (): StreamTimes => times;
  const countTokens = (count: number): void => {
    measurement.tokens += count;
  };

  async function run(number: number): Promise<void> {
    const ask = createDaemonRequest(stack, tokensEach, number);
    while (!isStopped) {
      const received = await readStream(agent, ask, getTimes, countTokens).catch(() => -1);
      short += isStopped || received === tokensEach ? 0 : 1;
      // Retries a refusal while the daemon's admission limit still rises, as a caller would.
      await wait(RETRY_MS);
    }
  }

  return {
    start() {
      running.push(run(running.length));
    },
    reset() {
      times = { first: build(), gap: build() };
      measurement = { tokens: 0, times };
      short = 0;
      return measurement;
    },
    getIncompleteCount: () => short,
    async stop() {
      isStopped = true;
      await agent.destroy();
      await Promise.all(running);
    },
  };
}

/** Adds streams up to each count in turn, and measures after a settling time. */
export async function measureSteadyStreams(
  stack: Stack,
  counts: readonly number[],
  print: (line: SteadyLine) => void,
): Promise<readonly SteadyLine[]> {
  const pid = getDaemonPid(stack);
  const group = createStreamGroup(stack, STEADY_TOKENS);
  const lines: SteadyLine[] = [];
  let started = 0;
  const idleBytes = readResidentBytes(pid);
  for (const count of counts) {
    while (started < count) {
      for (let i = 0; i < STARTS_PER_BURST; i++) {
        group.start();
      }
      started += STARTS_PER_BURST;
      await wait(BURST_PERIOD_MS);
    }
    await wait(SETTLE_MS);
    const measurement = group.reset();
    const cpuBefore = readCpuSeconds(pid);
    const startedAt = performance.now();
    await wait(STEADY_MS);
    const seconds = (performance.now() - startedAt) / 1000;
    const cpu = readCpuSeconds(pid) - cpuBefore;
    const line: SteadyLine = {
      bench: 'overhead',
      case: `${count} streams at 20 tokens/s`,
      streams: count,
      tokens_s: round(measurement.tokens / seconds),
      daemon_cores: round(cpu / seconds),
      us_per_token: round((cpu * 1e6) / measurement.tokens),
      gap_p95_ms: getPercentileMs(measurement.times.gap, 95),
      stream_bytes: Math.round((readResidentBytes(pid) - idleBytes) / count),
      short: group.getIncompleteCount(),
    };
    lines.push(line);
    print(line);
  }
  await group.stop();
  return lines;
}

/** Measures readers alone, then alongside callers that request long answers and read none of them. */
export async function measurePausedReaders(stack: Stack): Promise<PausedLine> {
  const pid = getDaemonPid(stack);
  const group = createStreamGroup(stack, READER_TOKENS);
  for (let i = 0; i < READERS; i++) {
    group.start();
  }
  await wait(SETTLE_MS);
  const alone = group.reset();
  await wait(PAUSED_MEASURE_MS);
  const gapAlone = getPercentileMs(alone.times.gap, 95);
  const sockets = await Promise.all(
    Array.from({ length: PAUSED_READERS }, (_, i) => openPausedReader(stack, i)),
  );
  await wait(SETTLE_MS);
  const before = readResidentBytes(pid);
  const beside = group.reset();
  await wait(PAUSED_MEASURE_MS);
  const line: PausedLine = {
    bench: 'overhead',
    case: 'paused-readers',
    paused: PAUSED_READERS,
    bytes_per_paused: Math.round((readResidentBytes(pid) - before) / PAUSED_READERS),
    gap_p95_alone_ms: gapAlone,
    gap_p95_beside_ms: getPercentileMs(beside.times.gap, 95),
    short: group.getIncompleteCount(),
  };
  sockets.forEach((socket) => socket.destroy());
  await group.stop();
  return line;
}

/** Requests a long answer on a separate socket and never reads it. */
async function openPausedReader(stack: Stack, number: number): Promise<Socket> {
  const { url, headers, body } = createDaemonRequest(stack, PAUSED_TOKENS, number);
  const { hostname, port, pathname } = new URL(url);
  const socket = connect(Number(port), hostname);
  socket.pause();
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  const text = JSON.stringify(body);
  const lines = [
    `POST ${pathname} HTTP/1.1`,
    `host: ${hostname}`,
    'content-type: application/json',
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(text)}`,
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n${text}`);
  return socket;
}
