/** HTTP controllers of the admin port: health checks, metrics, status, and the manifest API. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Controller, Get, Inject, Module, Param, Post, Query, Req, Res } from '@nestjs/common';
import type { DynamicModule } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { checkManifest } from '@skylarksail/manifest/ManifestCheck';
import type { Manifest } from '@skylarksail/manifest/ManifestSchema';
import type { SubmitOutcome } from '@skylarksail/manifest/ManifestStore';
import type { Decision } from './DaemonDecisions.js';
import { ProblemKind, createNotRunError } from './DaemonProblems.js';
import type { ReportError } from './DaemonReplies.js';
import { getRequestId, sendThrownError } from './DaemonReplies.js';
import { ADMIN_GATEWAY } from './DaemonInjectionTokens.js';

const STATUS_UNAVAILABLE = 503;
const STATUS_CONFLICT = 409;
const STATUS_INVALID = 422;
const STATUS_NOT_FOUND = 404;
const STATUS_OK = 200;

/** Operations of the daemon that the controllers of the admin port call. */
export interface AdminGateway {
  readonly operatorToken: string;
  readonly reportError: ReportError;
  isReady(): boolean;
  describeReadiness(): Readonly<Record<string, unknown>>;
  writeMetrics(): Promise<{ readonly text: string; readonly contentType: string }>;
  describeStatus(): Readonly<Record<string, unknown>>;
  readDecisions(request: string): readonly Decision[];
  submitManifest(
    input: unknown,
    submissionId: string,
    expectedRevision: number | null,
  ): Promise<SubmitOutcome>;
  readManifest(): { readonly revision: number; readonly manifest: unknown } | null;
  diffManifest(next: Manifest): readonly unknown[];
  readHistory(): Promise<readonly unknown[]>;
  describeInForce(revision: number): Readonly<Record<string, unknown>>;
}

const submissionSchema = z.strictObject({
  manifest: z.unknown(),
  submission_id: z.string().min(1).max(128),
  expected_revision: z.int().min(0).optional(),
});

@Controller()
class HealthController {
  constructor(@Inject(ADMIN_GATEWAY) private readonly gateway: AdminGateway) {}

  @Get('healthz')
  getLiveness(@Res() reply: FastifyReply): void {
    void reply.send({ live: true });
  }

  @Get('readyz')
  getReadiness(@Res() reply: FastifyReply): void {
    const code = this.gateway.isReady() ? STATUS_OK : STATUS_UNAVAILABLE;
    void reply.code(code).send(this.gateway.describeReadiness());
  }

  @Get('metrics')
  async getMetrics(@Res() reply: FastifyReply): Promise<void> {
    const { text, contentType } = await this.gateway.writeMetrics();
    void reply.header('content-type', contentType).send(text);
  }
}

@Controller('v1')
class OperatorController {
  constructor(@Inject(ADMIN_GATEWAY) private readonly gateway: AdminGateway) {}

  @Get('status')
  getStatus(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    return this.handle(req, reply, () => reply.send(this.gateway.describeStatus()));
  }

  @Get('explain/:id')
  getDecisions(
    @Req() req: FastifyRequest,
    @Res() reply: FastifyReply,
    @Param('id') id: string,
  ): Promise<void> {
    return this.handle(req, reply, () => {
      const decisions = this.gateway.readDecisions(id);
      return reply
        .code(decisions.length === 0 ? STATUS_NOT_FOUND : STATUS_OK)
        .send({ request: id, decisions });
    });
  }

  @Get('manifest')
  getManifest(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    return this.handle(req, reply, () => {
      const current = this.gateway.readManifest();
      return reply.code(current ? STATUS_OK : STATUS_NOT_FOUND).send(current ?? {});
    });
  }

  @Get('manifest/history')
  getHistory(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    return this.handle(req, reply, async () =>
      reply.send({ revisions: await this.gateway.readHistory() }),
    );
  }

  @Get('manifest/in-force')
  getInForce(
    @Req() req: FastifyRequest,
    @Res() reply: FastifyReply,
    @Query('revision') revision: string,
  ): Promise<void> {
    return this.handle(req, reply, () =>
      reply.send(this.gateway.describeInForce(parseRevision(revision))),
    );
  }

  @Post('manifest/validate')
  postValidate(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    return this.handle(req, reply, () => {
      const checked = checkManifest(readBody(req).manifest);
      return checked.ok
        ? reply.code(STATUS_OK).send({ valid: true })
        : reply.code(STATUS_INVALID).send({ faults: checked.error });
    });
  }

  @Post('manifest/diff')
  postDiff(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    return this.handle(req, reply, () => {
      const checked = checkManifest(readBody(req).manifest);
      return checked.ok
        ? reply.code(STATUS_OK).send({ changes: this.gateway.diffManifest(checked.value) })
        : reply.code(STATUS_INVALID).send({ faults: checked.error });
    });
  }

  @Post('manifest')
  postManifest(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    return this.handle(req, reply, async () => {
      const parsed = submissionSchema.safeParse(req.body);
      if (!parsed.success) {
        throw createNotRunError(ProblemKind.BadRequest, z.prettifyError(parsed.error));
      }
      const { manifest, submission_id: id, expected_revision: expected } = parsed.data;
      const outcome = await this.gateway.submitManifest(manifest, id, expected ?? null);
      return sendSubmitOutcome(reply, outcome, id);
    });
  }

  private async handle(
    req: FastifyRequest,
    reply: FastifyReply,
    respond: () => unknown,
  ): Promise<void> {
    try {
      checkToken(req.headers.authorization, this.gateway.operatorToken);
      await respond();
    } catch (err) {
      sendThrownError(reply, err, getRequestId(req), this.gateway.reportError);
    }
  }
}

function sendSubmitOutcome(reply: FastifyReply, outcome: SubmitOutcome, id: string): unknown {
  switch (outcome.kind) {
    case 'accepted':
      return reply.code(STATUS_OK).send({
        revision: outcome.revision,
        submission_id: id,
        repeated: outcome.repeated,
      });
    case 'invalid':
      return reply.code(STATUS_INVALID).send({ faults: outcome.faults });
    case 'conflict':
      return reply.code(STATUS_CONFLICT).send({
        winning_revision: outcome.revision,
        winning_submission: outcome.submission,
      });
    case 'id-reused':
      return reply.code(STATUS_INVALID).send({
        faults: [{ path: 'submission_id', message: `used for revision ${outcome.revision}` }],
      });
    default:
      return reply
        .code(STATUS_UNAVAILABLE)
        .send({ ...outcome, hint: 'send the same submission id again' });
  }
}

function readBody(req: FastifyRequest): { readonly manifest?: unknown } {
  return req.body ?? {};
}

function parseRevision(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw createNotRunError(ProblemKind.BadRequest, 'revision: a whole number');
  }
  return Number(text);
}

/**
 * Both sides are hashed to the same length, so that the comparison takes constant time and reveals
 * nothing about the token.
 */
function checkToken(header: string | undefined, token: string): void {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest();
  if (!timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`))) {
    throw createNotRunError(ProblemKind.Unauthorized);
  }
}

@Module({})
export class AdminModule {
  static create(gateway: AdminGateway): DynamicModule {
    return {
      module: AdminModule,
      controllers: [HealthController, OperatorController],
      providers: [{ provide: ADMIN_GATEWAY, useValue: gateway }],
    };
  }
}
