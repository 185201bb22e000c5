/** Converts errors of any origin to problems and sends them to callers. */
import { HttpException } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { Problem } from './DaemonProblems.js';
import {
  ProblemError,
  ProblemKind,
  createNotRunError,
  createProblemBody,
} from './DaemonProblems.js';

const MILLIS_PER_SECOND = 1000;

/** Sends a problem, unless an answer has started or the caller has disconnected. */
export function sendProblem(reply: FastifyReply, problem: Problem, requestId: string): void {
  if (reply.sent || reply.raw.headersSent || reply.raw.destroyed) {
    return;
  }
  const body = createProblemBody(problem, requestId);
  if (body.retry_after_ms !== undefined) {
    const seconds = Math.max(1, Math.ceil(body.retry_after_ms / MILLIS_PER_SECOND));
    void reply.header('retry-after', String(seconds));
  }
  void reply
    .code(body.status)
    .header('content-type', 'application/problem+json')
    .header('x-request-id', requestId)
    .send(JSON.stringify(body));
}

/** The problem for an error that Fastify or Nest raised for a request; null for any other error. */
export function mapFastifyError(err: unknown): Problem | null {
  const { code, statusCode: ownStatus } = (err ?? {}) as { code?: unknown; statusCode?: unknown };
  const statusCode = err instanceof HttpException ? err.getStatus() : ownStatus;
  if (code === 'FST_ERR_CTP_BODY_TOO_LARGE' || statusCode === 413) {
    return createNotRunError(ProblemKind.TooLarge).problem;
  }
  if (statusCode === 408) {
    return createNotRunError(ProblemKind.SlowSender).problem;
  }
  if (typeof statusCode === 'number' && statusCode >= 400 && statusCode < 500) {
    const kind = statusCode === 404 ? ProblemKind.NotFound : ProblemKind.BadRequest;
    return createNotRunError(kind, err instanceof Error ? err.message : undefined).problem;
  }
  return null;
}

/**
 * The problem for any error thrown while a request is handled. An unexpected error is reported as
 * internal and without its message, which could expose data of one team to another.
 */
export function mapThrownError(err: unknown): Problem {
  if (err instanceof ProblemError) {
    return err.problem;
  }
  return mapFastifyError(err) ?? { kind: ProblemKind.Internal, run: RunState.Unknown };
}

/** Returns the id that identifies the request in logs, answers and calls to backend servers. */
export function getRequestId(req: FastifyRequest): string {
  return req.id;
}
