/** Stream requests of the overhead bench, and the reading and timing of their responses. */
import type { Histogram } from 'hdr-histogram-js';
import type { Agent } from 'undici';
import type { Stack } from './StackLauncher.js';
import { STACK_TEAMS } from './StackPlan.js';

const HISTOGRAM_UNITS_PER_MS = 100;
const DEADLINE_MS = 600_000;
const SHORT_ANSWER_KEY = STACK_TEAMS[0].key;

/** Histograms of the time to first token and of the gaps between tokens, in hundredths of a millisecond. */
export interface StreamTimes {
  readonly first: Histogram;
  readonly gap: Histogram;
}

export interface StreamRequest {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  /** Text that occurs once per token in the stream. */
  readonly tokenMark: string;
  /** Text that occurs at the end of a complete stream. */
  readonly endMark: string;
}

/**
 * Reads one stream; returns its number of tokens, or -1 if it is incomplete. Each time is recorded in the
 * histograms that `getTimes` returns at that moment; `onTokens` gets the number of tokens in a chunk.
 */
export async function readStream(
  agent: Agent,
  ask: StreamRequest,
  getTimes?: () => StreamTimes,
  onTokens?: (count: number) => void,
): Promise<number> {
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
  let partialMark = '';
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    const text = partialMark + chunk.toString();
    const parts = text.split(ask.tokenMark);
    const count = parts.length - 1;
    // A mark that is split across two chunks counts with the second one.
    partialMark = (parts.at(-1) ?? '').slice(1 - ask.tokenMark.length);
    if (count > 0) {
      const now = performance.now();
      const times = getTimes?.();
      const histogram = tokens === 0 ? times?.first : times?.gap;
      histogram?.recordValue(Math.round((now - lastAt) * HISTOGRAM_UNITS_PER_MS));
      lastAt = now;
      onTokens?.(count);
    }
    tokens += count;
    tail = (tail + text).slice(-ask.endMark.length * 4);
  }
  return res.statusCode === 200 && tail.includes(ask.endMark) ? tokens : -1;
}

export function createDaemonRequest(stack: Stack, tokens: number, number: number): StreamRequest {
  return {
    url: `${stack.daemons[0]?.callers}/v1/chat/completions`,
    headers: {
      authorization: `Bearer ${SHORT_ANSWER_KEY}`,
      // With a short deadline a long answer would be refused at once, as it could not end in time.
      'x-deadline-ms': String(DEADLINE_MS),
    },
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

export function createDirectRequest(stack: Stack, tokens: number, number: number): StreamRequest {
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

/** Process id of the stack's first daemon. */
export function getDaemonPid(stack: Stack): number {
  return stack.daemons[0]?.process.child.pid ?? 0;
}

export function getPercentileMs(histogram: Histogram, percentile: number): number {
  return round(histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS);
}

export function round(value: number): number {
  return Math.round(value * 100) / 100;
}

export function wait(delay: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}
