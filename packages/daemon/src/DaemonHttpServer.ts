/** Starts a Nest application on Fastify with the bounds that keep bad callers from doing harm. */
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
import { ProblemKind, createProblemBody } from './DaemonProblems.js';
import { mapThrownError, sendProblem } from './DaemonReplies.js';

const MAX_HEADER_COUNT = 100;
const KEEP_ALIVE: Millis = 72_000;
const CHECKS_PER_TIMEOUT = 4;

export interface HttpServerOptions {
  readonly module: DynamicModule;
  readonly listen: HostPort;
  readonly bodyBytes: number;
  readonly receiveTimeout: Millis;
  /** Paths whose bodies are handed on as bytes. */
  readonly rawBodyPrefix: string | null;
}

export interface HttpServer {
  /** Takes no new connection, and closes each open one after the answer that it waits for. */
  stopAccepting(): void;
  close(): Promise<void>;
}

/** Whatever is thrown outside the controllers, such as a body that is no JSON, becomes a problem. */
@Catch()
class ProblemFilter implements ExceptionFilter {
  catch(err: unknown, host: ArgumentsHost): void {
    const http = host.switchToHttp();
    const { id } = http.getRequest<FastifyRequest>();
    sendProblem(http.getResponse<FastifyReply>(), mapThrownError(err), id);
  }
}

export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const adapter = new FastifyAdapter({
    bodyLimit: options.bodyBytes,
    requestTimeout: options.receiveTimeout,
    keepAliveTimeout: KEEP_ALIVE,
    forceCloseConnections: 'idle',
    // Node looks for late senders every 30 s by default, and as long as the limit for headers is the
    // higher one (60 s) it lets them stay even then: slow senders would hold their connections.
    http: {
      connectionsCheckingInterval: Math.ceil(options.receiveTimeout / CHECKS_PER_TIMEOUT),
      headersTimeout: options.receiveTimeout,
      requestTimeout: options.receiveTimeout,
    },
    genReqId: () => randomUUID(),
    logger: false,
    clientErrorHandler: endBrokenConnection,
  });
  const fastify: FastifyInstance = adapter.getInstance();
  fastify.server.maxHeadersCount = MAX_HEADER_COUNT;
  registerBodyParsers(fastify, options.rawBodyPrefix);
  const app = await NestFactory.create<NestFastifyApplication>(options.module, adapter, {
    logger: false,
    bodyParser: false,
    abortOnError: false,
  });
  app.useGlobalFilters(new ProblemFilter());
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

/** A connection whose bytes are no request, or come too slowly, gets a problem and is closed. */
function endBrokenConnection(err: { readonly code?: string }, socket: Socket): void {
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

/** Bodies for plain services stay bytes; the rest is JSON, and anything else is refused. */
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
