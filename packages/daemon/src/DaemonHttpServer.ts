/**
 * Starts a Nest application on Fastify with limits that protect it from slow or malformed requests.
 */
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import { Catch } from '@nestjs/common';
import type { ArgumentsHost, DynamicModule, ExceptionFilter } from '@nestjs/common';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import { beginUnlessLeft, HangUpStage } from './DaemonHangUps.js';
import { ProblemKind, createProblemBody } from './DaemonProblems.js';
import type { ReportError } from './DaemonReplies.js';
import { sendThrownError } from './DaemonReplies.js';

const MAX_HEADER_COUNT = 100;
const KEEP_ALIVE_TIMEOUT: Millis = 72_000;
const CHECKS_PER_TIMEOUT = 4;

export interface HttpServerOptions {
  readonly module: DynamicModule;
  readonly listen: HostPort;
  readonly bodyBytes: number;
  readonly receiveTimeout: Millis;
  /** Bodies of requests with this path prefix are not parsed. */
  readonly rawBodyPrefix: string | null;
  readonly reportError: ReportError;
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
    clientErrorHandler: handleClientError,
  });
  const fastify: FastifyInstance = adapter.getInstance();
  fastify.server.maxHeadersCount = MAX_HEADER_COUNT;
  registerBodyParsers(fastify, options.rawBodyPrefix);
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
    close: () => app.close(),
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

/** Sends a problem on a connection whose request is malformed or too slow, and closes it. */
function handleClientError(err: { readonly code?: string }, socket: Socket): void {
  if (!socket.writable) {
    return;
  }
  const isSlow = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const kind = isSlow ? ProblemKind.SlowSender : ProblemKind.BadRequest;
  const body = createProblemBody({ kind, run: RunState.NotRun }, randomUUID());
  const text = JSON.stringify(body);
  const head = [
    `HTTP/1.1 ${body.status} ${isSlow ? 'Request Timeout' : 'Bad Request'}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${text}`);
}

/** Bodies for plain services are not parsed; all others must be JSON and are rejected otherwise. */
function registerBodyParsers(fastify: FastifyInstance, rawBodyPrefix: string | null): void {
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (req, body, done) => {
    if (rawBodyPrefix !== null && req.url.startsWith(rawBodyPrefix)) {
      done(null, body);
      return;
    }
    try {
      done(null, body.length === 0 ? undefined : JSON.parse(body.toString()));
    } catch (err) {
      done(Object.assign(err as Error, { statusCode: 400 }));
    }
  });
}
