/** Callers of the demo: each sends one request and records what it got, checked against what is right. */
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { computeAnswer, renderPrompt } from '@skylarksail/stand-ins/StandInModel';

/** What became of one request, as its caller saw it. */
export interface CallerRecord {
  readonly what: string;
  /** `answered`: whole and right. `refused`: a truthful error. The others must not happen. */
  readonly outcome: 'answered' | 'refused' | 'lost' | 'doubled' | 'cut off' | 'wrong';
  readonly detail: string;
  readonly tokens: number;
  readonly requestId: string;
  /** What a refusal says of whether the request ran; null where there is none. */
  readonly run: string | null;
  /** Longest pause between two tokens. */
  readonly longestPauseMs: number;
}

export interface CompletionCall {
  readonly what: string;
  readonly callers: string;
  readonly key: string;
  readonly content: string;
  readonly maxTokens: number;
  /** Connection to use; a shared pool if left out. */
  readonly dispatcher?: Dispatcher;
  /** Called after each token with the number so far, and with the token. */
  readonly onToken?: (count: number, token: string) => void;
}

interface ProblemShape {
  readonly type?: string;
  readonly run?: string;
}

const STATUS_OK = 200;

function createHeaders(key: string): Record<string, string> {
  return { authorization: `Bearer ${key}`, 'content-type': 'application/json' };
}

/** Sends a streaming completion and judges the stream. */
export async function streamCompletion(call: CompletionCall): Promise<CallerRecord> {
  let text = '';
  let tokens = 0;
  let isDone = false;
  let problem: ProblemShape | null = null;
  let longestPauseMs = 0;
  let lastAt = performance.now();
  let requestId = '';
  const describe = (outcome: CallerRecord['outcome'], detail: string): CallerRecord => ({
    what: call.what,
    outcome,
    detail,
    tokens,
    requestId,
    run: problem?.run ?? null,
    longestPauseMs: Math.round(longestPauseMs),
  });

  function readEvent(event: string): void {
    const data = event
      .split('\n')
      .filter((line) => line.startsWith('data: '))
      .map((line) => line.slice('data: '.length))
      .join('');
    if (data === '[DONE]') {
      isDone = true;
      return;
    }
    const parsed = JSON.parse(data) as {
      error?: ProblemShape;
      choices?: { delta: { content?: string } }[];
    };
    if (parsed.error) {
      problem = parsed.error;
    }
    const content = parsed.choices?.[0]?.delta.content ?? '';
    if (content !== '') {
      text += content;
      tokens += 1;
      longestPauseMs = Math.max(longestPauseMs, performance.now() - lastAt);
      lastAt = performance.now();
      call.onToken?.(tokens, content);
    }
  }

  try {
    const res = await request(`${call.callers}/v1/chat/completions`, {
      method: 'POST',
      headers: createHeaders(call.key),
      body: JSON.stringify(createBody(call, true)),
      ...(call.dispatcher && { dispatcher: call.dispatcher }),
    });
    requestId = String(res.headers['x-request-id'] ?? '');
    if (res.statusCode !== STATUS_OK) {
      problem = (await res.body.json()) as ProblemShape;
      return describe('refused', describeProblem(problem));
    }
    let rest = '';
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      const events = (rest + chunk.toString()).split('\n\n');
      rest = events.pop() ?? '';
      events.forEach(readEvent);
    }
  } catch (err) {
    return describe(isDone ? 'answered' : 'cut off', (err as Error).message);
  }
  if (problem) {
    return describe('refused', describeProblem(problem));
  }
  return isDone ? judgeText(call, text, describe) : describe('cut off', 'no end mark');
}

/** Sends a completion that is answered as a whole. */
export async function sendCompletion(call: CompletionCall): Promise<CallerRecord> {
  const res = await request(`${call.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: createHeaders(call.key),
    body: JSON.stringify(createBody(call, false)),
  });
  const describe = (outcome: CallerRecord['outcome'], detail: string): CallerRecord => ({
    what: call.what,
    outcome,
    detail,
    tokens: 0,
    requestId: String(res.headers['x-request-id'] ?? ''),
    run: null,
    longestPauseMs: 0,
  });
  const body = (await res.body.json()) as ProblemShape & {
    choices?: { message: { content: string } }[];
  };
  return res.statusCode === STATUS_OK
    ? judgeText(call, body.choices?.[0]?.message.content ?? '', describe)
    : describe('refused', describeProblem(body));
}

function createBody({ content, maxTokens }: CompletionCall, stream: boolean): unknown {
  return {
    model: 'letters',
    stream,
    max_tokens: maxTokens,
    messages: [{ role: 'user', content }],
  };
}

function describeProblem({ type, run }: ProblemShape): string {
  return `${type ?? 'no type'}, ${run ?? 'no word on whether it ran'}`;
}

function judgeText(
  { content, maxTokens }: CompletionCall,
  text: string,
  describe: (outcome: CallerRecord['outcome'], detail: string) => CallerRecord,
): CallerRecord {
  const right = computeAnswer(renderPrompt([{ role: 'user', content }]), maxTokens);
  if (text === right.text) {
    return describe('answered', `${right.tokens} tokens, as they should be`);
  }
  const words = text.trim().split(' ');
  return new Set(words).size < words.length
    ? describe('doubled', 'a token came twice')
    : describe('wrong', 'the answer is not the right one');
}

export interface ServiceCall {
  readonly what: string;
  readonly callers: string;
  readonly key: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly idempotencyKey?: string;
  /** Connection to use; a shared pool if left out. */
  readonly dispatcher?: Dispatcher;
}

/** Calls a plain service. */
export async function callService(call: ServiceCall): Promise<CallerRecord> {
  let requestId = '';
  const describe = (
    outcome: CallerRecord['outcome'],
    detail: string,
    run: string | null = null,
  ): CallerRecord => ({
    what: call.what,
    outcome,
    detail,
    tokens: 0,
    requestId,
    run,
    longestPauseMs: 0,
  });
  try {
    const res = await request(`${call.callers}/services/accounts${call.path}`, {
      method: call.method,
      headers: {
        ...createHeaders(call.key),
        ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
      },
      ...(call.method === 'POST' ? { body: '{"amount":5}' } : {}),
      ...(call.dispatcher && { dispatcher: call.dispatcher }),
    });
    requestId = String(res.headers['x-request-id'] ?? '');
    const text = await res.body.text();
    if (res.statusCode === STATUS_OK) {
      return describe('answered', text);
    }
    const problem = JSON.parse(text) as ProblemShape;
    return describe('refused', describeProblem(problem), problem.run ?? null);
  } catch (err) {
    return describe('cut off', (err as Error).message);
  }
}
