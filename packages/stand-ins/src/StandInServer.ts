/** HTTP server shared by all stand-ins; it can crash and restart on the same port. */
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { Fault, FaultInjector } from './StandInFaults.js';
import { faultSchema } from './StandInFaults.js';

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

export interface StandInServer {
  readonly address: HostPort;
  /** Closes all connections and refuses new ones for `downMs`, or permanently if null. */
  crash(downMs: number | null): Promise<void>;
  close(): Promise<void>;
}

export interface StandInServerOptions {
  readonly host: string;
  /** 0 lets the operating system choose a port. */
  readonly port: number;
  readonly faults: FaultInjector;
  readonly registerRoutes: (app: FastifyInstance) => void;
  readonly readLedger: () => unknown;
  readonly onFault?: (fault: Fault) => void;
  /** Called after each start, including the first. */
  readonly onStart?: () => void;
}

export async function startStandInServer(options: StandInServerOptions): Promise<StandInServer> {
  let app: FastifyInstance;
  let { port } = options;
  let closed = false;

  async function start(): Promise<void> {
    app = createApp();
    await app.listen({ host: options.host, port });
    const bound = app.server.address();
    port = typeof bound === 'object' && bound ? bound.port : port;
    options.onStart?.();
  }

  function createApp(): FastifyInstance {
    const created = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
    options.registerRoutes(created);
    created.get('/ledger', () => options.readLedger());
    created.post('/faults', (req, reply) => {
      const fault = faultSchema.parse(req.body);
      if (fault.kind === 'clear') {
        options.faults.clear();
      } else {
        options.faults.set(fault);
      }
      options.onFault?.(fault);
      if (fault.kind === 'crash') {
        setImmediate(() => {
          void crash(fault.ms ?? null);
        });
      }
      return reply.send({ ok: true });
    });
    return created;
  }

  async function crash(downMs: number | null): Promise<void> {
    app.server.closeAllConnections();
    await app.close();
    if (downMs !== null) {
      setTimeout(() => {
        if (!closed) {
          void start();
        }
      }, downMs);
    }
  }

  await start();
  return {
    address: { host: options.host, port },
    crash,
    async close() {
      closed = true;
      app.server.closeAllConnections();
      await app.close();
    },
  };
}
