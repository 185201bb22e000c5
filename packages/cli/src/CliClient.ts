/** HTTP client of the admin interface that every instance serves. */
import { request } from 'undici';
import { ExitCode, createCliError } from './CliErrors.js';

/** The first load of a large manifest takes most of a minute. */
const TIMEOUT_MS = 70_000;
const STATUS_UNAUTHORIZED = 401;
const STATUS_OK = 200;

/** Admin addresses of the instances and the operator token. */
export interface CliTarget {
  readonly servers: readonly string[];
  readonly token: string;
}

export interface CliReply {
  readonly status: number;
  readonly body: unknown;
  readonly server: string;
}

export interface CliCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/**
 * Tries the instances in order and returns the first reply. A call without a reply may have taken effect, but can
 * safely be resent to the next instance: submissions carry an id, and a repeated one gets the result of the first.
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

/** Sends a call to every instance and returns all replies; null for an instance that did not answer. */
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

/** Returns the body of a successful reply; throws if the status is not 200. */
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
