import { Controller, Get, Module } from '@nestjs/common';
import type { DynamicModule } from '@nestjs/common';
import { expect } from 'chai';
import { pino } from 'pino';
import { AdminModule } from '../../DaemonAdmin.js';
import type { AdminGateway } from '../../DaemonAdmin.js';
import { CallersModule } from '../../DaemonCallers.js';
import type { CallerGateway } from '../../DaemonGateway.js';
import { startHttpServer } from '../../DaemonHttpServer.js';
import { createNotRunError, ProblemKind } from '../../DaemonProblems.js';
import { findPort, startHarness } from './DaemonHarness.js';
import { createSystemTimers } from '../../DaemonTimers.js';

const HOST = '127.0.0.1';
const AUTH = { authorization: 'Bearer operator' };
const UNEXPECTED = new Error('unexpected');

interface Report {
  readonly err: unknown;
  readonly request: string;
}

function throwUnexpected(): never {
  throw UNEXPECTED;
}

@Controller()
class FailingController {
  @Get('fails')
  getFailing(): never {
    return throwUnexpected();
  }
}

@Module({ controllers: [FailingController] })
class FailingModule {}

/** Requests that end in an unexpected error: one for each place that answers such errors. */
const FAILING_REQUESTS = [
  { module: 'callers', method: 'POST', path: '/v1/chat/completions' },
  { module: 'callers', method: 'GET', path: '/v1/models' },
  { module: 'callers', method: 'GET', path: '/services/accounts/balance' },
  { module: 'admin', method: 'GET', path: '/v1/status' },
  { module: 'other', method: 'GET', path: '/fails' },
] as const;

describe('DaemonReplies', () => {
  /** Sends one request to a server with one module, and returns the answer and the reported errors. */
  async function sendRequest(
    createModule: (reportError: (err: unknown, request: string) => void) => DynamicModule,
    method: string,
    path: string,
  ): Promise<{ body: Record<string, unknown>; reports: readonly Report[] }> {
    const reports: Report[] = [];
    const reportError = (err: unknown, request: string): void => {
      reports.push({ err, request });
    };
    const port = await findPort();
    const server = await startHttpServer({
      module: createModule(reportError),
      listen: { host: HOST, port },
      bodyBytes: 1000,
      receiveTimeout: 1000,
      rawBodyPrefix: null,
      reportError,
      timers: createSystemTimers(),
      connectionLimits: { connections: 10, heldBytes: 10_000, requestsAhead: 10, requestsEach: 1 },
      onClosed: () => undefined,
    });
    const res = await fetch(`http://${HOST}:${port}${path}`, { method, headers: AUTH });
    const body = (await res.json()) as Record<string, unknown>;
    await server.close();
    return { body, reports };
  }

  FAILING_REQUESTS.forEach(({ module, method, path }) => {
    it(`reports an unexpected error of ${method} ${path} once, with the id of the request`, async () => {
      // Guards against an answer "internal" whose cause is nowhere to be found.
      const { body, reports } = await sendRequest(
        (reportError) => {
          const callers = { authenticate: throwUnexpected, reportError } as unknown;
          const admin = { operatorToken: 'operator', describeStatus: throwUnexpected, reportError };
          return {
            callers: () => CallersModule.create(callers as CallerGateway),
            admin: () => AdminModule.create(admin as unknown as AdminGateway),
            other: () => ({ module: FailingModule }),
          }[module]();
        },
        method,
        path,
      );
      expect(body).to.include({ type: 'urn:skylarksail:problem:internal', status: 500 });
      expect(JSON.stringify(body)).not.to.contain(UNEXPECTED.message);
      expect(reports).to.deep.equal([{ err: UNEXPECTED, request: body.request_id }]);
    });
  });

  it('reports no error that has a problem of its own', async () => {
    const authenticate = (): never => {
      throw createNotRunError(ProblemKind.Unauthorized);
    };
    const { body, reports } = await sendRequest(
      (reportError) =>
        CallersModule.create({ authenticate, reportError } as unknown as CallerGateway),
      'GET',
      '/v1/models',
    );
    expect(body.status).to.equal(401);
    expect(reports).to.deep.equal([]);
  });

  it('logs an unexpected error with the id that the operator got', async () => {
    // Guards against a daemon that reports unexpected errors to nobody: here the history of the
    // manifest cannot be read.
    const lines: Record<string, unknown>[] = [];
    const write = (line: string): number => lines.push(JSON.parse(line) as Record<string, unknown>);
    const harness = await startHarness(1, { logger: pino({ level: 'error' }, { write }) });
    await harness.setFault(harness.platform, { kind: 'outage', ms: 60_000 });
    const res = await harness.callAdmin('/v1/manifest/history');
    const body = (await res.json()) as Record<string, unknown>;
    await harness.stop();
    expect(body).to.include({ status: 500, run: 'unknown' });
    const [line] = lines.filter(({ request }) => request === body.request_id);
    expect(line).to.have.nested.property('err.message', 'the history cannot be read: unavailable');
    expect(line).to.have.property('msg', 'unexpected error in a request');
  });
});
