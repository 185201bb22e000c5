/**
 * A stand-in for the platform: key-value service with compare-and-swap, leases and long watches, the
 * lagging instance list and the rate-limited weight store. It counts each call, a waiting watch as one.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { z } from 'zod';
import { createFaultInjector } from './StandInFaults.js';
import type { StandInServer } from './StandInServer.js';
import { startStandInServer } from './StandInServer.js';

const VALUE_LIMIT_BYTES = 1024 * 1024;
const STATUS_CONFLICT = 409;
const STATUS_TOO_LARGE = 413;
const STATUS_HELD = 423;
const STATUS_LAPSED = 410;
const LAG_HISTORY = 64;

/** What the stand-in platform is. */
export interface StandInPlatformOptions {
  readonly host: string;
  readonly port: number;
  /** How far the instance list lags behind. */
  readonly listLagMs: number;
}

export interface StandInPlatform {
  readonly server: StandInServer;
}

interface Stored {
  readonly revision: number;
  readonly value: string;
}

interface Lease {
  readonly holder: string;
  readonly fencing: number;
  readonly ttlMs: number;
  readonly lapsesAt: number;
}

const swapSchema = z.strictObject({ expected: z.int().min(0), value: z.string() });
const leaseSchema = z.strictObject({ holder: z.string().min(1), ttlMs: z.number().positive() });
const fencingSchema = z.strictObject({ holder: z.string().min(1), fencing: z.int() });
const recordSchema = z.strictObject({
  id: z.string(),
  role: z.enum(['entry', 'engine', 'service']),
  domain: z.string(),
  rack: z.string(),
  address: z.strictObject({ host: z.string(), port: z.int() }),
  peerPort: z.int(),
  state: z.enum(['live', 'leaving']),
});

type ListedInstance = z.output<typeof recordSchema>;

export async function startStandInPlatform(
  options: StandInPlatformOptions,
): Promise<StandInPlatform> {
  const faults = createFaultInjector(() => performance.now());
  const values = new Map<string, Stored>();
  const leases = new Map<string, Lease>();
  const fencings = new Map<string, number>();
  const wakers = new Map<string, Set<() => void>>();
  const calls = { reads: 0, writes: 0, watches: 0, leases: 0, lists: 0 };
  let instances = new Map<string, ListedInstance>();
  let listHistory: { readonly at: number; readonly list: readonly ListedInstance[] }[] = [];
  let revisions = 0;

  /** Stands between a call and its effect or answer; true if the call is to be cut off. */
  async function passFaults(): Promise<boolean> {
    const slow = faults.consume('slow');
    if (slow) {
      await sleep(slow.factor ?? 1000);
    }
    return faults.consume('outage') !== null;
  }

  function hideAnswer(reply: FastifyReply): boolean {
    if (!faults.consume('drop-answer')) {
      return false;
    }
    reply.raw.destroy();
    return true;
  }

  function wake(key: string): void {
    wakers.get(key)?.forEach((listener) => listener());
    wakers.delete(key);
  }

  function readEntry(key: string): Stored {
    return values.get(key) ?? { revision: 0, value: '' };
  }

  function writeEntry(key: string, expected: number, value: string | null): Stored | null {
    if (readEntry(key).revision !== expected) {
      return null;
    }
    revisions += 1;
    const stored = { revision: revisions, value: value ?? '' };
    if (value === null) {
      values.delete(key);
    } else {
      values.set(key, stored);
    }
    wake(key);
    return stored;
  }

  async function waitForChange(key: string, known: number, waitMs: number): Promise<void> {
    if (readEntry(key).revision !== known) {
      return;
    }
    await new Promise<void>((resolve) => {
      const listeners = wakers.get(key) ?? new Set();
      wakers.set(key, listeners);
      const timer = setTimeout(() => {
        listeners.delete(done);
        resolve();
      }, waitMs);
      function done(): void {
        clearTimeout(timer);
        resolve();
      }
      listeners.add(done);
    });
  }

  function readLease(key: string): Lease | null {
    const lease = leases.get(key);
    return lease && lease.lapsesAt > performance.now() ? lease : null;
  }

  function recordList(): void {
    listHistory = [
      ...listHistory.slice(-LAG_HISTORY),
      { at: performance.now(), list: [...instances.values()] },
    ];
  }

  function readLaggingList(): readonly ListedInstance[] {
    const lag = faults.isActive('lagging-list')
      ? (faults.consume('lagging-list')?.factor ?? options.listLagMs)
      : options.listLagMs;
    const limit = performance.now() - lag;
    const old = listHistory.filter(({ at }) => at <= limit).at(-1);
    return old?.list ?? listHistory[0]?.list ?? [];
  }

  function registerKeyRoutes(app: FastifyInstance): void {
    app.get<{ Params: { '*': string }; Querystring: { known?: string; waitMs?: string } }>(
      '/v1/kv/*',
      async (req, reply) => {
        const key = req.params['*'];
        const { known, waitMs } = req.query;
        calls[known === undefined ? 'reads' : 'watches'] += 1;
        if (await passFaults()) {
          return reply.raw.destroy();
        }
        if (known !== undefined) {
          await waitForChange(key, Number(known), Number(waitMs ?? 0));
          if (faults.isActive('outage')) {
            return reply.raw.destroy();
          }
        }
        return reply.send(readEntry(key));
      },
    );
    app.put<{ Params: { '*': string } }>('/v1/kv/*', async (req, reply) => {
      calls.writes += 1;
      if (await passFaults()) {
        return reply.raw.destroy();
      }
      const { expected, value } = swapSchema.parse(req.body);
      if (Buffer.byteLength(value) > VALUE_LIMIT_BYTES) {
        return reply.code(STATUS_TOO_LARGE).send({});
      }
      const key = req.params['*'];
      const late = faults.consume('late-effect');
      if (late) {
        setTimeout(() => writeEntry(key, expected, value), late.factor ?? 1000);
        return reply.raw.destroy();
      }
      const stored = writeEntry(key, expected, value);
      if (hideAnswer(reply)) {
        return reply;
      }
      return stored
        ? reply.send({ revision: stored.revision })
        : reply.code(STATUS_CONFLICT).send({ revision: readEntry(key).revision });
    });
    app.delete<{ Params: { '*': string }; Querystring: { expected: string } }>(
      '/v1/kv/*',
      async (req, reply) => {
        calls.writes += 1;
        if (await passFaults()) {
          return reply.raw.destroy();
        }
        const key = req.params['*'];
        const stored = writeEntry(key, Number(req.query.expected), null);
        return stored
          ? reply.send({ revision: stored.revision })
          : reply.code(STATUS_CONFLICT).send({ revision: readEntry(key).revision });
      },
    );
    app.get<{ Querystring: { prefix: string } }>('/v1/keys', async (req, reply) => {
      calls.lists += 1;
      if (await passFaults()) {
        return reply.raw.destroy();
      }
      const keys = [...values.keys()].filter((key) => key.startsWith(req.query.prefix)).sort();
      return reply.send({ keys });
    });
  }

  function registerLeaseRoutes(app: FastifyInstance): void {
    app.post<{ Params: { '*': string } }>('/v1/leases/*', async (req, reply) => {
      calls.leases += 1;
      if (await passFaults()) {
        return reply.raw.destroy();
      }
      const key = req.params['*'];
      const { holder, ttlMs } = leaseSchema.parse(req.body);
      const current = readLease(key);
      if (current && current.holder !== holder) {
        return reply.code(STATUS_HELD).send({ holder: current.holder });
      }
      const fencing = (fencings.get(key) ?? 0) + 1;
      fencings.set(key, fencing);
      leases.set(key, { holder, fencing, ttlMs, lapsesAt: performance.now() + ttlMs });
      return hideAnswer(reply) ? reply : reply.send({ key, holder, fencing, ttl: ttlMs });
    });
    app.put<{ Params: { '*': string } }>('/v1/leases/*', async (req, reply) => {
      calls.leases += 1;
      if (await passFaults()) {
        return reply.raw.destroy();
      }
      const key = req.params['*'];
      const { holder, fencing } = fencingSchema.parse(req.body);
      const current = readLease(key);
      if (!current || current.holder !== holder || current.fencing !== fencing) {
        return reply.code(STATUS_LAPSED).send({});
      }
      leases.set(key, { ...current, lapsesAt: performance.now() + current.ttlMs });
      return hideAnswer(reply) ? reply : reply.send({ key, holder, fencing, ttl: current.ttlMs });
    });
    app.delete<{ Params: { '*': string }; Querystring: { holder: string; fencing: string } }>(
      '/v1/leases/*',
      async (req, reply) => {
        calls.leases += 1;
        if (await passFaults()) {
          return reply.raw.destroy();
        }
        const current = readLease(req.params['*']);
        const isHolder =
          current?.holder === req.query.holder && current.fencing === Number(req.query.fencing);
        if (!isHolder) {
          return reply.code(STATUS_LAPSED).send({});
        }
        leases.delete(req.params['*']);
        return reply.send({});
      },
    );
  }

  function registerInstanceRoutes(app: FastifyInstance): void {
    app.get('/v1/instances', async (_req, reply) => {
      calls.lists += 1;
      if (await passFaults()) {
        return reply.raw.destroy();
      }
      return reply.send({ instances: readLaggingList() });
    });
    app.post('/v1/instances', (req, reply) => {
      const record = recordSchema.parse(req.body);
      instances = new Map(instances).set(record.id, record);
      recordList();
      return reply.send({});
    });
    app.delete<{ Params: { id: string } }>('/v1/instances/:id', (req, reply) => {
      instances = new Map([...instances].filter(([id]) => id !== req.params.id));
      recordList();
      return reply.send({});
    });
  }

  const server = await startStandInServer({
    host: options.host,
    port: options.port,
    faults,
    registerRoutes: (app) => {
      registerKeyRoutes(app);
      registerLeaseRoutes(app);
      registerInstanceRoutes(app);
    },
    readLedger: () => ({ calls, keys: values.size, instances: instances.size }),
  });
  return { server };
}
