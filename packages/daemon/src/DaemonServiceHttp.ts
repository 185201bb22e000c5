/** Implements OpenServiceCall: calls plain services over HTTP. */
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import { collectBody } from '@skylarksail/core/CoreResponseTimeout';
import type { AnswerMemory } from '@skylarksail/connections/ConnectionAnswerMemory';
import type { OpenServiceCall, ServiceCall } from '@skylarksail/requests/RequestPorts';
import { classifySocketError } from './DaemonEngineHttp.js';
import type { FindEngineAddress } from './DaemonEngineHttp.js';

const CONNECTIONS_PER_SERVER = 256;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Headers of a single connection and the caller's credentials; they are not forwarded. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'authorization',
  'expect',
]);

/** Selects the headers to forward, for requests as well as answers; names become lower case. */
export function selectForwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || UNFORWARDED_HEADERS.has(name.toLowerCase())
        ? []
        : [[name.toLowerCase(), Array.isArray(value) ? value.join(', ') : value]],
    ),
  );
}

export function createServiceHttp(
  findAddress: FindEngineAddress,
  memory: AnswerMemory,
): {
  readonly open: OpenServiceCall;
  readonly close: () => Promise<void>;
} {
  const checks = createAnswerChecks();
  const agent = new Agent({
    connections: CONNECTIONS_PER_SERVER,
    pipelining: 1,
    connect: checks.connect,
  });
  const checkedAgent = agent.compose(checks.intercept);

  async function send(call: ServiceCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const address = findAddress(call.server);
    if (!address) {
      throw Object.assign(new Error('the address of the backend server is unknown'), {
        code: 'EHOSTUNREACH',
      });
    }
    return checkedAgent.request({
      origin: `http://${address.host}:${address.port}`,
      path: call.path,
      method: call.method,
      headers: {
        ...call.headers,
        'x-request-id': call.request,
        'x-attempt': String(call.attempt),
      },
      body: call.body.byteLength > 0 ? Buffer.from(call.body) : null,
      headersTimeout: 0,
      bodyTimeout: 0,
      signal,
    });
  }

  const open: OpenServiceCall = (call, listener) => {
    const controller = new AbortController();
    let ended = false;
    const endOnce = (notify: () => void): void => {
      if (!ended) {
        ended = true;
        notify();
      }
    };
    const account = memory.open(call.server, () => controller.abort());
    send(call, controller.signal)
      .then(async (res) => {
        const body = await collectBody(res.body, MAX_ANSWER_BYTES, account.note);
        const headers = selectForwardedHeaders(res.headers);
        endOnce(() => listener.onAnswer({ status: res.statusCode, headers, body }));
      })
      .catch((err: unknown) => {
        const failure = {
          engine: call.server,
          status: null,
          retryAfter: null,
          ...classifySocketError(err),
        };
        endOnce(() => listener.onFailure(failure));
      })
      .finally(account.close);
    return () => {
      ended = true;
      controller.abort();
    };
  };

  return { open, close: () => agent.destroy() };
}
