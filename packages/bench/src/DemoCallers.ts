/** Callers of the demo: each sends one request, checks the response and records the result. */
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { computeAnswer, renderPrompt } from '@skylarksail/stand-ins/StandInModel';

/** Result of one request as its caller saw it. */
export interface CallerRecord {
  /** Label of the request. */
  readonly what: string;
  /** `answered`: complete and correct. `refused`: a truthful error. The others are failures. */
  readonly outcome: 'answered' | 'refused' | 'lost' | 'doubled' | 'cut off' | 'wrong';
  readonly detail: string;
  readonly tokens: number;
  readonly requestId: string;
  /** Run state that a refusal reports; null if it reports none. */
  readonly run: string | null;
  /** Longest wait for a token; the wait for the first one begins when the request is sent. */
  readonly longestPauseMs: number;
}

export interface CompletionCall {
  /** Label of the request. */
  readonly what: string;
  /** Base URL of the daemon's listener for callers. */
  readonly callers: string;
  readonly key: string;
  readonly content: string;
  readonly maxTokens: number;
  /** Connection to use; defaults to undici's global dispatcher. */
  readonly dispatcher?: Dispatcher;
  /** Called after each token with the number of tokens so far and the token. */
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

/** Sends a streaming completion and checks the streamed answer. */
export async function streamCompletion(call: CompletionCall): Promise<CallerRecord> {
  let text = '';
  let tokens = 0;
  let isDone = false;
  let problem: ProblemShape | null = null;
  let longestPauseMs = 0;
  let lastTokenAt = performance.now();
  let requestId = '';
  const createRecord = (outcome: CallerRecord['outcome'], detail: string): CallerRecord => ({
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
      longestPauseMs = Math.max(longestPauseMs, performance.now() - lastTokenAt);
      lastTokenAt = performance.now();
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
      return createRecord('refused', describeProblem(problem));
    }
    let incompleteEvent = '';
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      const events = (incompleteEvent + chunk.toString()).split('\n\n');
      incompleteEvent = events.pop() ?? '';
      events.forEach(readEvent);
    }
  } catch (err) {
    return createRecord(isDone ? 'answered' : 'cut off', (err as Error).message);
  }
  if (problem) {
    return createRecord('refused', describeProblem(problem));
  }
  return isDone ? checkAnswer(call, text, createRecord) : createRecord('cut off', 'no end mark');
}

/** Sends a completion without streaming and checks the answer. */
export async function sendCompletion(call: CompletionCall): Promise<CallerRecord> {
  const res = await request(`${call.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: createHeaders(call.key),
    body: JSON.stringify(createBody(call, false)),
  });
  const createRecord = (outcome: CallerRecord['outcome'], detail: string): CallerRecord => ({
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
    ? checkAnswer(call, body.choices?.[0]?.message.content ?? '', createRecord)
    : createRecord('refused', describeProblem(body));
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

function checkAnswer(
  { content, maxTokens }: CompletionCall,
  text: string,
  createRecord: (outcome: CallerRecord['outcome'], detail: string) => CallerRecord,
): CallerRecord {
  const expected = computeAnswer(renderPrompt([{ role: 'user', content }]), maxTokens);
  if (text === expected.text) {
    return createRecord('answered', `${expected.tokens} tokens, as they should be`);
  }
  const words = text.trim().split(' ');
  return new Set(words).size < words.length
    ? createRecord('doubled', 'a token came twice')
    : createRecord('wrong', 'the answer is not the right one');
}

export interface ServiceCall {
  /** Label of the request. */
  readonly what: string;
  /** Base URL of the daemon's listener for callers. */
  readonly callers: string;
  readonly key: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly idempotencyKey?: string;
  /** Connection to use; defaults to undici's global dispatcher. */
  readonly dispatcher?: Dispatcher;
}

/** Sends a request to the plain service. */
export async function callService(call: ServiceCall): Promise<CallerRecord> {
  let requestId = '';
  const createRecord = (
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
      return createRecord('answered', text);
    }
    const problem = JSON.parse(text) as ProblemShape;
    return createRecord('refused', describeProblem(problem), problem.run ?? null);
  } catch (err) {
    return createRecord('cut off', (err as Error).message);
  }
}
