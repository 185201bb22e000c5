/** Stand-in for a plain service: counts the calls it executes and responds with the count. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { createFaultInjector } from './StandInFaults.js';
import type { Ledger, ServiceEffect } from './StandInLedger.js';
import { createLedger } from './StandInLedger.js';
import type { StandInServer } from './StandInServer.js';
import { startStandInServer } from './StandInServer.js';

const HANG_POLL_MS = 50;

export interface StandInServiceOptions {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly workMs: number;
}

export interface StandInService {
  readonly server: StandInServer;
  readonly ledger: Ledger<ServiceEffect>;
}

export async function startStandInService(options: StandInServiceOptions): Promise<StandInService> {
  const faults = createFaultInjector(() => performance.now());
  const ledger = createLedger<ServiceEffect>();
  let effects = 0;

  async function handleCall(req: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    while (faults.isActive('hang')) {
      await sleep(HANG_POLL_MS);
    }
    await sleep(options.workMs * (faults.consume('slow')?.factor ?? 1));
    effects += 1;
    const key = req.headers['idempotency-key'];
    ledger.record({
      request: String(req.headers['x-request-id'] ?? ''),
      attempt: Number(req.headers['x-attempt'] ?? 0),
      method: req.method,
      path: req.url,
      key: typeof key === 'string' ? key : null,
    });
    if (faults.consume('drop-answer')) {
      reply.raw.destroy();
      return reply;
    }
    return reply.send({ service: options.id, method: req.method, path: req.url, effect: effects });
  }

  function registerRoutes(app: FastifyInstance): void {
    app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => done(null, body));
    app.get('/v1/status', () => ({
      service: options.id,
      state: faults.isActive('leaving') ? 'leaving' : 'live',
    }));
    app.all('/*', handleCall);
  }

  const server = await startStandInServer({
    host: options.host,
    port: options.port,
    faults,
    registerRoutes,
    readLedger: () => ({ service: options.id, ...ledger.read() }),
  });
  return { server, ledger };
}
