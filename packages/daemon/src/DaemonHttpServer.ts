/**
 * Starts a Nest application on Fastify with limits that protect it from slow or malformed requests.
 */
import { randomUUID } from 'node:crypto';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import { Catch } from '@nestjs/common';
import type { ArgumentsHost, DynamicModule, ExceptionFilter } from '@nestjs/common';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { UnreadBodyEnd } from '@skylarksail/connections/ConnectionBodies';
import { BodyEnd } from '@skylarksail/connections/ConnectionBodies';
import type { ConnectionGuard } from '@skylarksail/connections/ConnectionGuard';
import { registerConnectionGuard } from '@skylarksail/connections/ConnectionGuard';
import type { CloseReasonName, ConnectionLimits } from '@skylarksail/connections/ConnectionLimits';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import { beginUnlessLeft, HangUpStage } from './DaemonHangUps.js';
import { ProblemKind, createNotRunError, createProblemBody } from './DaemonProblems.js';
import type { ReportError } from './DaemonReplies.js';
import { sendThrownError } from './DaemonReplies.js';
import { afterTurn } from './DaemonTimers.js';

const MAX_HEADER_COUNT = 100;
const KEEP_ALIVE_TIMEOUT: Millis = 72_000;
const CHECKS_PER_TIMEOUT = 4;
/** Time for which an answer may stand unread. */
const STANDSTILL_TIME: Millis = 60_000;

export interface HttpServerOptions {
  readonly module: DynamicModule;
  readonly listen: HostPort;
  readonly bodyBytes: number;
  readonly receiveTimeout: Millis;
  /** Bodies of requests with this path prefix are not parsed. */
  readonly rawBodyPrefix: string | null;
  readonly reportError: ReportError;
  /** What all clients of the port may hold together. */
  readonly connectionLimits: ConnectionLimits;
  readonly timers: TimerService;
  /** A connection was closed, or its request refused, before its client wanted that. */
  readonly onClosed: (reason: CloseReasonName, heldBytes: number) => void;
}

export interface HttpServer {
  /**
   * Accepts no new connections, and closes each open one after the response to its current request.
   */
  stopAccepting(): void;
  close(): Promise<void>;
}

/**
 * Sends a problem for errors thrown outside the controllers, such as a body that is not valid JSON.
 */
@Catch()
class ProblemFilter implements ExceptionFilter {
  constructor(private readonly reportError: ReportError) {}

  catch(err: unknown, host: ArgumentsHost): void {
    const http = host.switchToHttp();
    const { id } = http.getRequest<FastifyRequest>();
    sendThrownError(http.getResponse<FastifyReply>(), err, id, this.reportError);
  }
}

export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const adapter = new FastifyAdapter({
    bodyLimit: options.bodyBytes,
    requestTimeout: options.receiveTimeout,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
    forceCloseConnections: 'idle',
    // By default Node checks for request timeouts only every 30 s, and while headersTimeout (60 s
    // by default) exceeds requestTimeout it does not enforce requestTimeout at all, so slow senders
    // would hold their connections.
    http: {
      connectionsCheckingInterval: Math.ceil(options.receiveTimeout / CHECKS_PER_TIMEOUT),
      headersTimeout: options.receiveTimeout,
      requestTimeout: options.receiveTimeout,
    },
    genReqId: () => randomUUID(),
    logger: false,
    // The guard of connections answers bytes that are no request.
    clientErrorHandler: () => undefined,
  });
  const fastify: FastifyInstance = adapter.getInstance();
  fastify.server.maxHeadersCount = MAX_HEADER_COUNT;
  const guard = registerConnectionGuard(fastify.server, {
    limits: options.connectionLimits,
    timers: options.timers,
    laterTurn: afterTurn,
    getMaxBodyBytes: () => options.bodyBytes,
    getStandstillTime: () => STANDSTILL_TIME,
    writeBadRequest,
    onClosed: options.onClosed,
  });
  registerBodyParsers(fastify, options.rawBodyPrefix, guard);
  registerLeftClientCheck(fastify);
  const app = await NestFactory.create<NestFastifyApplication>(options.module, adapter, {
    logger: false,
    bodyParser: false,
    abortOnError: false,
  });
  app.useGlobalFilters(new ProblemFilter(options.reportError));
  await app.init();
  await app.listen(options.listen.port, options.listen.host);
  return {
    stopAccepting: () => {
      fastify.server.close();
      fastify.server.closeIdleConnections();
    },
    close: async () => {
      await app.close();
      guard.stop();
    },
  };
}

/** Handles no request of a client that has left. */
function registerLeftClientCheck(fastify: FastifyInstance): void {
  fastify.addHook('preHandler', (req, reply, done) => {
    beginUnlessLeft(
      req.raw,
      reply.raw,
      () => {
        done();
        return () => undefined;
      },
      (stage) => {
        if (stage === HangUpStage.Unbegun) {
          reply.hijack();
        }
      },
    );
  });
}

/** The problem for a request that is malformed or too slow. */
function writeBadRequest({ code }: NodeJS.ErrnoException): string {
  const isSlow = code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const kind = isSlow ? ProblemKind.SlowSender : ProblemKind.BadRequest;
  const body = createProblemBody({ kind, run: RunState.NotRun }, randomUUID());
  const text = JSON.stringify(body);
  const head = [
    `HTTP/1.1 ${body.status} ${isSlow ? 'Request Timeout' : 'Bad Request'}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${text}`;
}

/** Bodies for plain services are not parsed; all others must be JSON and are rejected otherwise. */
function registerBodyParsers(
  fastify: FastifyInstance,
  rawBodyPrefix: string | null,
  guard: Pick<ConnectionGuard, 'readBody'>,
): void {
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', async (req: FastifyRequest): Promise<unknown> => {
    const body = await guard.readBody(req.raw, null);
    if (body.end !== BodyEnd.Whole) {
      throw createBodyError(body.end);
    }
    const { bytes } = body;
    if (rawBodyPrefix !== null && req.url.startsWith(rawBodyPrefix)) {
      return bytes;
    }
    try {
      return bytes.length === 0 ? undefined : JSON.parse(bytes.toString());
    } catch (err) {
      throw Object.assign(err as Error, { statusCode: 400 });
    }
  });
}

/** The error of a request whose body was not read to its end. */
function createBodyError(end: UnreadBodyEnd): Error {
  switch (end) {
    case BodyEnd.TooLarge:
      return createNotRunError(ProblemKind.TooLarge);
    case BodyEnd.Late:
      return createNotRunError(ProblemKind.SlowSender);
    case BodyEnd.Crowded:
      return createNotRunError(ProblemKind.Overloaded, 'too many bytes of all callers');
    default:
      return createNotRunError(ProblemKind.BadRequest, 'the body cannot be read');
  }
}
