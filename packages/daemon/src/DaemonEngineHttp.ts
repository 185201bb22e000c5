/** Calls to model engines over HTTP; implements OpenEngineCall. */
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import type { Chain } from '@skylarksail/core/CoreChain';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  EngineCall,
  EngineCallListener,
  OpenEngineCall,
} from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { createLineReader, parseEngineFrame } from './DaemonEngineFrames.js';
import type { EngineFrame } from './DaemonEngineFrames.js';

const STATUS_OK = 200;
const CONNECTIONS_PER_ENGINE = 512;
const KEEP_ALIVE_MS = 10_000;
/** Limit for the body of a refusal, which is normally short; chunks beyond it are discarded. */
const MAX_REFUSAL_CHARACTERS = 64 * 1024;
/** Limits how long an engine may hold the connection by leaving the stream open after its last frame. */
const STREAM_END_TIMEOUT: Millis = 1000;

/** Returns the address of an engine, or null if it is unknown. */
export type FindEngineAddress = (engine: EngineId) => HostPort | null;

/** Creates the adapter; `close` ends its connections. */
export function createEngineHttp(
  findAddress: FindEngineAddress,
  timers: TimerService,
): {
  readonly open: OpenEngineCall;
  readonly close: () => Promise<void>;
} {
  const checks = createAnswerChecks();
  const agent = new Agent({
    connections: CONNECTIONS_PER_ENGINE,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: checks.connect,
  });
  const checkedAgent = agent.compose(checks.intercept);
  return {
    open: (call, listener) => openCall(checkedAgent, timers, findAddress, call, listener),
    close: () => agent.destroy(),
  };
}

function openCall(
  agent: Dispatcher,
  timers: TimerService,
  findAddress: FindEngineAddress,
  call: EngineCall,
  listener: EngineCallListener,
): Unregister {
  const head = call.chain.stages[0]?.engine ?? '';
  const body = createBody(call.chain, findAddress, call);
  const address = findAddress(head);
  let isEnded = false;

  function endAttempt(notify: () => void): void {
    if (!isEnded) {
      isEnded = true;
      notify();
    }
  }

  function fail(failure: Partial<AttemptFailure> & Pick<AttemptFailure, 'place'>): void {
    endAttempt(() =>
      listener.onFailure({
        engine: head,
        status: null,
        retryAfter: null,
        provenNotRun: false,
        ...failure,
      }),
    );
  }

  if (!address || body === null) {
    queueMicrotask(() => fail({ place: FailurePlace.Connect, provenNotRun: true }));
    return () => {
      isEnded = true;
    };
  }

  let controller: Dispatcher.DispatchController | null = null;
  let isAborted = false;
  let status: number | null = null;
  let refusal = '';
  let cancelEndTimeout: Unregister | null = null;
  const reader = createLineReader();

  function abort(): void {
    isAborted = true;
    controller?.abort(new Error('the attempt is over'));
  }

  /** After the last frame, lets the stream end normally so that its connection can be reused. */
  function awaitStreamEnd(): void {
    cancelEndTimeout = timers.registerTimeout(STREAM_END_TIMEOUT, abort);
  }

  function handleData(chunk: Buffer): void {
    if (status !== STATUS_OK) {
      refusal += chunk.toString();
      if (refusal.length > MAX_REFUSAL_CHARACTERS) {
        // Bytes without end would be read until the deadline.
        failRefused();
        abort();
      }
      return;
    }
    const lines = isEnded ? [] : reader.push(chunk);
    if (lines === null) {
      failMalformed();
    } else {
      lines.forEach(handleLine);
    }
  }

  function failRefused(): void {
    const { notRun, retryAfter } = parseRefusal(refusal);
    fail({ place: FailurePlace.Refused, status, retryAfter, provenNotRun: notRun });
  }

  // Uses the low-level handler, since a readable stream, its iterator and an abort signal per call cost more
  // memory and time than all processing of a token.
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      controller = started;
      if (isAborted) {
        abort();
      }
    },
    onResponseStart(_controller, statusCode) {
      status = statusCode >= STATUS_OK ? statusCode : null;
    },
    onResponseData(_controller, chunk) {
      handleData(chunk);
    },
    onResponseEnd() {
      cancelEndTimeout?.();
      if (status === STATUS_OK) {
        // A stream that ends without an end frame is a failure, since the answer is incomplete.
        fail({ place: FailurePlace.Stream });
      } else {
        failRefused();
      }
    },
    onResponseError(_controller, err) {
      cancelEndTimeout?.();
      fail(status === null ? classifySocketError(err) : { place: FailurePlace.Stream });
    },
  };
  agent.dispatch(
    {
      origin: `http://${address.host}:${address.port}`,
      path: '/v1/generate',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    },
    handler,
  );

  function handleLine(line: string): void {
    if (isEnded || line === '') {
      return;
    }
    const frame = parseEngineFrame(line);
    if (frame === null) {
      failMalformed();
    } else {
      handleFrame(frame);
    }
  }

  function failMalformed(): void {
    fail({ place: FailurePlace.Garbage });
    abort();
  }

  function handleFrame(frame: EngineFrame): void {
    switch (frame.type) {
      case 'ack':
        listener.onAcknowledged({ variant: frame.variant, stages: frame.stages });
        break;
      case 'token':
        listener.onToken(frame.index, frame.token);
        break;
      case 'end':
        awaitStreamEnd();
        endAttempt(() => listener.onEnd(frame.reason, frame.tokens));
        break;
      case 'failed':
        awaitStreamEnd();
        fail({ place: FailurePlace.Stage, engine: frame.engine, status: frame.status });
        break;
      default:
    }
  }

  return () => {
    isEnded = true;
    if (cancelEndTimeout === null) {
      abort();
    }
  };
}

/** Returns null if the address of a stage is unknown, in which case nothing is sent. */
function createBody(
  chain: Chain,
  findAddress: FindEngineAddress,
  call: EngineCall,
): Readonly<Record<string, unknown>> | null {
  const stages = chain.stages.map(({ engine, layers }) => {
    const address = findAddress(engine);
    return address && { engine, layers, host: address.host, port: address.port };
  });
  if (stages.some((stage) => stage === null)) {
    return null;
  }
  return {
    request: call.request,
    attempt: call.attempt,
    variant: chain.variant,
    stages,
    prompt: call.prompt,
    resumeTokens: call.resumeTokens,
    maxTokens: call.maxTokens,
    priority: call.priority,
    timeLeftMs: call.timeLeft,
    importFrom: call.importFrom,
  };
}

/** Reads whether the engine declares that it did not run the request; without `notRun` it may have run. */
function parseRefusal(text: string): { notRun: boolean; retryAfter: number | null } {
  try {
    const json = JSON.parse(text) as { notRun?: unknown; retryAfterMs?: unknown } | null;
    return {
      notRun: json?.notRun === true,
      retryAfter: typeof json?.retryAfterMs === 'number' ? json.retryAfterMs : null,
    };
  } catch {
    return { notRun: false, retryAfter: null };
  }
}

const NO_CONNECTION_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Only an error before the connection is established proves that nothing was sent. */
export function classifySocketError(err: unknown): Pick<AttemptFailure, 'place' | 'provenNotRun'> {
  const code = (err as { code?: unknown } | null)?.code;
  return typeof code === 'string' && NO_CONNECTION_CODES.has(code)
    ? { place: FailurePlace.Connect, provenNotRun: true }
    : { place: FailurePlace.Send, provenNotRun: false };
}
