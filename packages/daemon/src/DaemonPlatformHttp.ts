/** Client of the platform's services over HTTP; implements StorePort. */
import { Agent } from 'undici';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import { z } from 'zod';
import {
  collectResponseBody,
  LARGE_RESPONSE_LIMITS,
  MAX_LARGE_RESPONSE_BYTES,
  startResponseTimeout,
} from '@skylarksail/core/CoreResponseTimeout';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import type {
  InstanceRecord,
  StoreEntry,
  StoreLease,
  StoreOutcome,
  StorePort,
  StoreRefusal,
} from '@skylarksail/store/StorePort';

const CONNECTIONS = 16;
const WATCH_MARGIN_MS = 2000;

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_LAPSED = 410;
const STATUS_TOO_LARGE = 413;
const STATUS_HELD = 423;
const STATUS_RATE_LIMITED = 429;
const STATUS_CLIENT_ERROR = 400;
const STATUS_SERVER_ERROR = 500;

const entrySchema = z.object({ revision: z.int(), value: z.string() });
const revisionSchema = z.object({ revision: z.int() });
const leaseSchema = z.object({
  key: z.string(),
  holder: z.string(),
  fencing: z.int(),
  ttl: z.number(),
});
const keysSchema = z.object({ keys: z.array(z.string()) });
const instancesSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      role: z.enum(['entry', 'engine', 'service']),
      domain: z.string(),
      rack: z.string(),
      address: z.object({ host: z.string(), port: z.int() }),
      peerPort: z.int(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

interface HttpCall<T> {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly timeout: Millis;
  readonly parse: (json: unknown) => T;
}

/** Creates the adapter; `close` ends its connections. */
export function createPlatformHttp(
  address: HostPort,
  timers: TimerService,
): StorePort & { readonly close: () => Promise<void> } {
  const checks = createAnswerChecks();
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1, connect: checks.connect });
  const checkedAgent = agent.compose(checks.intercept);
  const origin = `http://${address.host}:${address.port}`;

  /**
   * Sends a request. A write whose response is lost may have taken effect, so anything but a clear response
   * of the service is `unknown`, including statuses that only an intermediary would send.
   */
  async function send<T>(call: HttpCall<T>): Promise<StoreOutcome<T>> {
    const responseTimeout = startResponseTimeout(timers, {
      begin: call.timeout,
      ...LARGE_RESPONSE_LIMITS,
    });
    try {
      const res = await checkedAgent.request({
        origin,
        path: call.path,
        method: call.method,
        signal: responseTimeout.signal,
        ...(call.body === undefined
          ? {}
          : {
              headers: { 'content-type': 'application/json' },
              body: JSON.stringify(call.body),
            }),
      });
      const text = (
        await collectResponseBody(responseTimeout, res.body, MAX_LARGE_RESPONSE_BYTES)
      ).toString('utf8');
      const json: unknown = JSON.parse(text);
      if (res.statusCode === STATUS_OK) {
        return { kind: 'done', value: call.parse(json) };
      }
      const reason = createRefusal(res.statusCode, json);
      return reason ? { kind: 'refused', reason } : { kind: 'unknown' };
    } catch {
      return { kind: 'unknown' };
    } finally {
      responseTimeout.end();
    }
  }

  return {
    get: (key, { timeout }) =>
      send({ method: 'GET', path: `/v1/kv/${key}`, timeout, parse: parseEntry }),
    swap: (key, expected, value, { timeout }) =>
      send({
        method: 'PUT',
        path: `/v1/kv/${key}`,
        body: { expected, value },
        timeout,
        parse: parseRevision,
      }),
    remove: (key, expected, { timeout }) =>
      send({
        method: 'DELETE',
        path: `/v1/kv/${key}?expected=${expected}`,
        timeout,
        parse: parseRevision,
      }),
    list: (prefix, { timeout }) =>
      send({
        method: 'GET',
        path: `/v1/keys?prefix=${encodeURIComponent(prefix)}`,
        timeout,
        parse: (json) => keysSchema.parse(json).keys,
      }),
    watch: (key, known, { timeout }) =>
      send({
        method: 'GET',
        path: `/v1/kv/${key}?known=${known}&waitMs=${Math.max(0, timeout - WATCH_MARGIN_MS)}`,
        timeout,
        parse: parseEntry,
      }),
    acquireLease: (key, holder, ttl, { timeout }) =>
      send({
        method: 'POST',
        path: `/v1/leases/${key}`,
        body: { holder, ttlMs: ttl },
        timeout,
        parse: parseLease,
      }),
    renewLease: ({ key, holder, fencing }, { timeout }) =>
      send({
        method: 'PUT',
        path: `/v1/leases/${key}`,
        body: { holder, fencing },
        timeout,
        parse: parseLease,
      }),
    releaseLease: ({ key, holder, fencing }, { timeout }) =>
      send({
        method: 'DELETE',
        path: `/v1/leases/${key}?holder=${encodeURIComponent(holder)}&fencing=${fencing}`,
        timeout,
        parse: () => null,
      }),
    listInstances: ({ timeout }) =>
      send({ method: 'GET', path: '/v1/instances', timeout, parse: parseInstances }),
    close: () => agent.destroy(),
  };
}

function parseEntry(json: unknown): StoreEntry {
  return entrySchema.parse(json);
}

function parseRevision(json: unknown): number {
  return revisionSchema.parse(json).revision;
}

function parseLease(json: unknown): StoreLease {
  return leaseSchema.parse(json);
}

function parseInstances(json: unknown): readonly InstanceRecord[] {
  return instancesSchema.parse(json).instances;
}

function createRefusal(status: number, json: unknown): StoreRefusal | null {
  const body = (json ?? {}) as { revision?: number; holder?: string; retryAfterMs?: number };
  switch (status) {
    case STATUS_CONFLICT:
      return { kind: 'conflict', revision: body.revision ?? 0 };
    case STATUS_HELD:
      return { kind: 'held', holder: body.holder ?? '' };
    case STATUS_LAPSED:
      return { kind: 'lapsed' };
    case STATUS_RATE_LIMITED:
      return { kind: 'rate-limited', retryAfter: body.retryAfterMs ?? 1000 };
    case STATUS_TOO_LARGE:
      return { kind: 'too-large' };
    default:
      return status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR
        ? { kind: 'invalid', detail: `status ${status}` }
        : null;
  }
}
