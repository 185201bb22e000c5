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
const INTERNAL_PROBLEM: Problem = { kind: ProblemKind.Internal, run: RunState.Unknown };

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

/** Logs an unexpected error with the id of the request that it ended. */
export type ReportError = (err: unknown, requestId: string) => void;

/**
 * Sends the problem for an error thrown while a request was handled. An unexpected error is sent as
 * internal and without its message, which could expose data of one team to another; only the log has it.
 */
export function sendThrownError(
  reply: FastifyReply,
  err: unknown,
  requestId: string,
  reportError: ReportError,
): void {
  const problem = err instanceof ProblemError ? err.problem : mapFastifyError(err);
  if (problem === null) {
    reportError(err, requestId);
  }
  sendProblem(reply, problem ?? INTERNAL_PROBLEM, requestId);
}

/** Returns the id that identifies the request in logs, answers and calls to backend servers. */
export function getRequestId(req: FastifyRequest): string {
  return req.id;
}
