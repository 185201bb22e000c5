/**
 * Stand-in for the platform: a key-value store with compare-and-swap, leases and long polls, and an
 * instance list that lags. It counts calls by kind; a long poll counts once.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { z } from 'zod';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFaultInjector } from './StandInFaults.js';
import { createStandInInstances } from './StandInInstances.js';
import type { LeaseCallRecord } from './StandInLeaseRoutes.js';
import { registerLeaseRoutes } from './StandInLeaseRoutes.js';
import { createStandInLeases } from './StandInLeases.js';
import type { StandInServer } from './StandInServer.js';
import { startStandInServer } from './StandInServer.js';

const VALUE_LIMIT_BYTES = 1024 * 1024;
const STATUS_CONFLICT = 409;
const STATUS_TOO_LARGE = 413;
/** Older calls for leases are dropped from the ledger. */
const LEASE_CALLS_KEPT = 10_000;

export interface StandInPlatformOptions {
  readonly host: string;
  readonly port: number;
  /** Delay until a change appears in the instance list. */
  readonly listLagMs: number;
}

export interface StandInPlatform {
  readonly server: StandInServer;
}

interface StoredValue {
  readonly revision: number;
  readonly value: string;
}

const compareAndSwapSchema = z.strictObject({ expected: z.int().min(0), value: z.string() });

/** Starts the stand-in; resolves when it listens. */
export async function startStandInPlatform(
  options: StandInPlatformOptions,
): Promise<StandInPlatform> {
  const faults = createFaultInjector(() => performance.now());
  const values = new Map<string, StoredValue>();
  const wallNow = (): Millis => performance.timeOrigin + performance.now();
  const leases = createStandInLeases(wallNow);
  const leaseCalls: LeaseCallRecord[] = [];
  const watchersByKey = new Map<string, Set<() => void>>();
  const calls = { reads: 0, writes: 0, watches: 0, leases: 0, lists: 0 };
  let lastRevision = 0;

  /** Applies faults before a call takes effect; true if the connection must be closed unanswered. */
  async function applyFaults(): Promise<boolean> {
    const slow = faults.consume('slow');
    if (slow) {
      await sleep(slow.factor ?? 1000);
    }
    return faults.consume('outage') !== null;
  }

  function dropAnswer(reply: FastifyReply): boolean {
    if (!faults.consume('drop-answer')) {
      return false;
    }
    reply.raw.destroy();
    return true;
  }

  function notifyWatchers(key: string): void {
    watchersByKey.get(key)?.forEach((listener) => listener());
    watchersByKey.delete(key);
  }

  function readEntry(key: string): StoredValue {
    return values.get(key) ?? { revision: 0, value: '' };
  }

  function writeEntry(key: string, expected: number, value: string | null): StoredValue | null {
    if (readEntry(key).revision !== expected) {
      return null;
    }
    lastRevision += 1;
    const stored = { revision: lastRevision, value: value ?? '' };
    if (value === null) {
      values.delete(key);
    } else {
      values.set(key, stored);
    }
    notifyWatchers(key);
    return stored;
  }

  async function waitForChange(key: string, known: number, waitMs: number): Promise<void> {
    if (readEntry(key).revision !== known) {
      return;
    }
    await new Promise<void>((resolve) => {
      const listeners = watchersByKey.get(key) ?? new Set();
      watchersByKey.set(key, listeners);
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

  function registerKeyRoutes(app: FastifyInstance): void {
    app.get<{ Params: { '*': string }; Querystring: { known?: string; waitMs?: string } }>(
      '/v1/kv/*',
      async (req, reply) => {
        const key = req.params['*'];
        const { known, waitMs } = req.query;
        calls[known === undefined ? 'reads' : 'watches'] += 1;
        if (await applyFaults()) {
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
      if (await applyFaults()) {
        return reply.raw.destroy();
      }
      const { expected, value } = compareAndSwapSchema.parse(req.body);
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
      if (dropAnswer(reply)) {
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
        if (await applyFaults()) {
          return reply.raw.destroy();
        }
        const key = req.params['*'];
        const stored = writeEntry(key, Number(req.query.expected), null);
        if (dropAnswer(reply)) {
          return reply;
        }
        return stored
          ? reply.send({ revision: stored.revision })
          : reply.code(STATUS_CONFLICT).send({ revision: readEntry(key).revision });
      },
    );
    app.get<{ Querystring: { prefix: string } }>('/v1/keys', async (req, reply) => {
      calls.lists += 1;
      if (await applyFaults()) {
        return reply.raw.destroy();
      }
      const keys = [...values.keys()].filter((key) => key.startsWith(req.query.prefix)).sort();
      return reply.send({ keys });
    });
  }

  function recordLeaseCall(call: LeaseCallRecord): void {
    calls.leases += 1;
    leaseCalls.push(call);
    leaseCalls.splice(0, leaseCalls.length - LEASE_CALLS_KEPT);
  }

  function getListLag(): Millis {
    return faults.isActive('lagging-list')
      ? (faults.consume('lagging-list')?.factor ?? options.listLagMs)
      : options.listLagMs;
  }

  const instances = createStandInInstances({
    applyFaults,
    getLag: getListLag,
    now: () => performance.now(),
    onList: () => {
      calls.lists += 1;
    },
  });

  const server = await startStandInServer({
    host: options.host,
    port: options.port,
    faults,
    registerRoutes: (app) => {
      registerKeyRoutes(app);
      registerLeaseRoutes(app, {
        leases,
        faults,
        applyFaults,
        now: wallNow,
        onCall: recordLeaseCall,
      });
      instances.registerRoutes(app);
    },
    readLedger: () => ({
      calls,
      keys: values.size,
      instances: instances.count(),
      grants: leases.listRecords(),
      leaseCalls,
    }),
  });
  return { server };
}
