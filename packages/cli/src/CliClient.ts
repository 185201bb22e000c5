/** Calls to the manifest interface of any instance; the next one is tried where one does not answer. */
import { request } from 'undici';
import { ExitCode, createCliError } from './CliErrors.js';

/** A first load of a large manifest takes most of a minute. */
const TIMEOUT_MS = 70_000;
const STATUS_UNAUTHORIZED = 401;
const STATUS_OK = 200;

/** Where the instances are and what proves the operator. */
export interface CliTarget {
  readonly servers: readonly string[];
  readonly token: string;
}

export interface CliReply {
  readonly status: number;
  readonly body: unknown;
  readonly server: string;
}

/** One call. */
export interface CliCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/**
 * Sends a call to the first instance that answers. A call that may have taken effect can be sent again
 * to another instance: submissions carry an id, so that the second one gets the first one's result.
 */
export async function callAnyServer(target: CliTarget, call: CliCall): Promise<CliReply> {
  const failures: string[] = [];
  for (const server of target.servers) {
    try {
      return await callServer(server, target.token, call);
    } catch (err) {
      failures.push(`${server}: ${(err as Error).message}`);
    }
  }
  throw createCliError(ExitCode.Unreachable, `no instance answered:\n  ${failures.join('\n  ')}`);
}

/** Sends a call to every instance and gives what each said; null for those that did not answer. */
export async function callEveryServer(
  target: CliTarget,
  call: CliCall,
): Promise<readonly { readonly server: string; readonly reply: CliReply | null }[]> {
  return Promise.all(
    target.servers.map(async (server) => ({
      server,
      reply: await callServer(server, target.token, call).catch(() => null),
    })),
  );
}

async function callServer(server: string, token: string, call: CliCall): Promise<CliReply> {
  const res = await request(new URL(call.path, server), {
    method: call.method,
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
  });
  const text = await res.body.text();
  return { status: res.statusCode, body: text === '' ? null : JSON.parse(text), server };
}

/** The body of a reply that must be a success. */
export function expectOk(reply: CliReply): unknown {
  if (reply.status === STATUS_UNAUTHORIZED) {
    throw createCliError(ExitCode.Unauthorized, 'the operator token was refused');
  }
  if (reply.status !== STATUS_OK) {
    throw createCliError(
      ExitCode.Failed,
      `${reply.server} answered ${reply.status}: ${JSON.stringify(reply.body)}`,
    );
  }
  return reply.body;
}
