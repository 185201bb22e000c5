/** Calls to model engines over HTTP: the adapter behind OpenEngineCall. */
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId, HostPort, Unregister } from '@skylarksail/core/CoreTypes';
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

/** Gives an engine's address, or null if it is no longer known. */
export type FindEngineAddress = (engine: EngineId) => HostPort | null;

/** Creates the adapter; `close` ends its connections. */
export function createEngineHttp(findAddress: FindEngineAddress): {
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
    open: (call, listener) => openCall(agent, findAddress, call, listener),
    close: () => agent.destroy(),
  };
}

function openCall(
  agent: Agent,
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

  const controller = new AbortController();
  agent
    .request({
      origin: `http://${address.host}:${address.port}`,
      path: '/v1/generate',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: controller.signal,
    })
    .then((res) => (res.statusCode === STATUS_OK ? readStream(res) : readRefusal(res)))
    .catch((err: unknown) => fail(describeSocketError(err)));

  async function readRefusal(res: Dispatcher.ResponseData): Promise<void> {
    const told = parseRefusal(await res.body.text());
    fail({
      place: FailurePlace.Refused,
      status: res.statusCode,
      retryAfter: told.retryAfter,
      provenNotRun: told.notRun,
    });
  }

  async function readStream(res: Dispatcher.ResponseData): Promise<void> {
    const reader = createLineReader();
    try {
      for await (const chunk of res.body as AsyncIterable<Buffer>) {
        const lines = reader.push(chunk);
        if (ended) {
          return;
        }
        if (lines === null) {
          failGarbage();
          return;
        }
        lines.forEach(handleLine);
      }
    } catch {
      fail({ place: FailurePlace.Stream });
    }
    // An answer is whole only with its end frame: a stream that just stops is a failure.
    fail({ place: FailurePlace.Stream });
  }

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
    controller.abort();
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
        end(() => listener.onEnd(frame.reason, frame.tokens));
        break;
      case 'failed':
        fail({ place: FailurePlace.Stage, engine: frame.engine, status: frame.status });
        break;
      default:
    }
  }

  return () => {
    ended = true;
    controller.abort();
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
export function describeSocketError(err: unknown): Pick<AttemptFailure, 'place' | 'provenNotRun'> {
  const code = (err as { code?: unknown } | null)?.code;
  return typeof code === 'string' && NO_CONNECTION_CODES.has(code)
    ? { place: FailurePlace.Connect, provenNotRun: true }
    : { place: FailurePlace.Send, provenNotRun: false };
}
