/** Calls to model engines over HTTP: the adapter behind OpenEngineCall. */
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
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
/** A refusal is short; what goes beyond is not kept. */
const MAX_REFUSAL_CHARACTERS = 64 * 1024;
/** An engine that gave its last frame but leaves the stream open would hold a connection for ever. */
const END_TIMEOUT: Millis = 1000;

/** Gives an engine's address, or null if it is no longer known. */
export type FindEngineAddress = (engine: EngineId) => HostPort | null;

/** Creates the adapter; `close` ends its connections. */
export function createEngineHttp(
  findAddress: FindEngineAddress,
  timers: TimerService,
): {
  readonly open: OpenEngineCall;
  readonly close: () => Promise<void>;
} {
  const agent = new Agent({
    connections: CONNECTIONS_PER_ENGINE,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    open: (call, listener) => openCall(agent, timers, findAddress, call, listener),
    close: () => agent.destroy(),
  };
}

function openCall(
  agent: Agent,
  timers: TimerService,
  findAddress: FindEngineAddress,
  call: EngineCall,
  listener: EngineCallListener,
): Unregister {
  const head = call.chain.stages[0]?.engine ?? '';
  const body = createBody(call.chain, findAddress, call);
  const address = findAddress(head);
  let ended = false;

  function end(tell: () => void): void {
    if (!ended) {
      ended = true;
      tell();
    }
  }

  function fail(failure: Partial<AttemptFailure> & Pick<AttemptFailure, 'place'>): void {
    end(() =>
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
      ended = true;
    };
  }

  let controller: Dispatcher.DispatchController | null = null;
  let isAborted = false;
  let status: number | null = null;
  let refusal = '';
  let cancelLinger: Unregister | null = null;
  const reader = createLineReader();

  function abort(): void {
    isAborted = true;
    controller?.abort(new Error('the attempt is over'));
  }

  /** The attempt's last frame has come: the stream ends by itself, and its connection serves on. */
  function linger(): void {
    cancelLinger = timers.registerTimeout(END_TIMEOUT, abort);
  }

  function handleData(chunk: Buffer): void {
    if (status !== STATUS_OK) {
      refusal += refusal.length < MAX_REFUSAL_CHARACTERS ? chunk.toString() : '';
      return;
    }
    const lines = ended ? [] : reader.push(chunk);
    if (lines === null) {
      failGarbage();
    } else {
      lines.forEach(handleLine);
    }
  }

  function failRefused(): void {
    const { notRun, retryAfter } = parseRefusal(refusal);
    fail({ place: FailurePlace.Refused, status, retryAfter, provenNotRun: notRun });
  }

  // The bare handler: a readable stream, its iterator and an abort signal for each call cost more
  // memory and time than all that is done with a token.
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
      cancelLinger?.();
      if (status === STATUS_OK) {
        // An answer is whole only with its end frame: a stream that just stops is a failure.
        fail({ place: FailurePlace.Stream });
      } else {
        failRefused();
      }
    },
    onResponseError(_controller, err) {
      cancelLinger?.();
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
    if (ended || line === '') {
      return;
    }
    const frame = parseEngineFrame(line);
    if (frame === null) {
      failGarbage();
    } else {
      handleFrame(frame);
    }
  }

  function failGarbage(): void {
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
        linger();
        end(() => listener.onEnd(frame.reason, frame.tokens));
        break;
      case 'failed':
        linger();
        fail({ place: FailurePlace.Stage, engine: frame.engine, status: frame.status });
        break;
      default:
    }
  }

  return () => {
    ended = true;
    if (cancelLinger === null) {
      abort();
    }
  };
}

/** Null if the address of a stage is not known, in which case nothing is sent. */
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

/** The engine's own word on whether it started; anything else proves nothing. */
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

/** Only an error that comes before there is a connection proves that no byte left us. */
export function classifySocketError(err: unknown): Pick<AttemptFailure, 'place' | 'provenNotRun'> {
  const code = (err as { code?: unknown } | null)?.code;
  return typeof code === 'string' && NO_CONNECTION_CODES.has(code)
    ? { place: FailurePlace.Connect, provenNotRun: true }
    : { place: FailurePlace.Send, provenNotRun: false };
}
