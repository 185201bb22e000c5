/** Writes problems to callers, whatever the place they come from. */
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

/** Answers with a problem, unless an answer has begun or the caller is gone. */
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

/** What Fastify itself found wrong with a request, told as a problem; null if it is not Fastify's. */
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
 * The problem for anything thrown while a request is handled. What is not expected is a fault of ours:
 * its text stays in the log, since it could show one team what belongs to another.
 */
export function mapThrownError(err: unknown): Problem {
  if (err instanceof ProblemError) {
    return err.problem;
  }
  return mapFastifyError(err) ?? { kind: ProblemKind.Internal, run: RunState.Unknown };
}

/** Id of a request, the same in logs, answers and calls to backend servers. */
export function getRequestId(req: FastifyRequest): string {
  return req.id;
}
