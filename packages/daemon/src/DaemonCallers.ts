/** HTTP controllers of the callers' port: completions, models and plain services. */
import { All, Controller, Get, Inject, Module, Post, Req, Res } from '@nestjs/common';
import type { DynamicModule } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import {
  parseBearerKey,
  parseChatBody,
  parseCompletionBody,
  parseRequestOptions,
} from './DaemonCallerInput.js';
import type { CompletionRequest } from './DaemonCallerInput.js';
import type { CallerGateway } from './DaemonGateway.js';
import { createNotRunError, ProblemKind } from './DaemonProblems.js';
import { getRequestId, sendThrownError } from './DaemonReplies.js';
import { selectForwardedHeaders } from './DaemonServiceHttp.js';
import { CALLER_GATEWAY } from './DaemonInjectionTokens.js';
import { replyStreamed, replyWhole } from './DaemonCompletionReply.js';
import { replyService } from './DaemonServiceReply.js';

const SERVICE_PREFIX = '/services/';

@Controller()
class CompletionsController {
  constructor(@Inject(CALLER_GATEWAY) private readonly gateway: CallerGateway) {}

  @Post('v1/chat/completions')
  postChat(@Req() req: FastifyRequest, @Res() reply: FastifyReply): void {
    this.handle(req, reply, parseChatBody);
  }

  @Post('v1/completions')
  postCompletion(@Req() req: FastifyRequest, @Res() reply: FastifyReply): void {
    this.handle(req, reply, parseCompletionBody);
  }

  private handle(
    req: FastifyRequest,
    reply: FastifyReply,
    parse: (body: unknown) => CompletionRequest,
  ): void {
    const id = getRequestId(req);
    try {
      const team = this.gateway.authenticate(parseBearerKey(req.headers));
      const requestOptions = parseRequestOptions(req.headers, team, this.gateway.getLimits());
      const ask = parse(req.body);
      const sendAnswer = ask.stream ? replyStreamed : replyWhole;
      sendAnswer(this.gateway, reply, { id, team, ask, requestOptions });
    } catch (err) {
      sendThrownError(reply, err, id, this.gateway.reportError);
    }
  }
}

@Controller()
class ModelsController {
  constructor(@Inject(CALLER_GATEWAY) private readonly gateway: CallerGateway) {}

  @Get('v1/models')
  listModels(@Req() req: FastifyRequest, @Res() reply: FastifyReply): void {
    try {
      const team = this.gateway.authenticate(parseBearerKey(req.headers));
      const data = this.gateway
        .listModels(team)
        .flatMap(({ id, adapters }) => [id, ...adapters.map((adapter) => `${id}:${adapter}`)])
        .map((id) => ({ id, object: 'model', created: 0, owned_by: 'skylarksail' }));
      void reply.send({ object: 'list', data });
    } catch (err) {
      sendThrownError(reply, err, getRequestId(req), this.gateway.reportError);
    }
  }
}

@Controller()
class ServicesController {
  constructor(@Inject(CALLER_GATEWAY) private readonly gateway: CallerGateway) {}

  @All('services/*')
  callService(@Req() req: FastifyRequest, @Res() reply: FastifyReply): void {
    const id = getRequestId(req);
    try {
      const team = this.gateway.authenticate(parseBearerKey(req.headers));
      const requestOptions = parseRequestOptions(req.headers, team, this.gateway.getLimits());
      const { service, path } = splitServicePath(req.url);
      const ask = {
        service: this.gateway.getService(team, service),
        method: req.method,
        path,
        headers: selectForwardedHeaders(req.headers),
        body: toBytes(req.body),
      };
      replyService(this.gateway, reply, { id, team, ask, requestOptions });
    } catch (err) {
      sendThrownError(reply, err, id, this.gateway.reportError);
    }
  }
}

function splitServicePath(url: string): { readonly service: string; readonly path: string } {
  const rest = url.slice(SERVICE_PREFIX.length);
  const end = rest.search(/[/?]|$/);
  const service = rest.slice(0, end);
  if (service === '') {
    throw createNotRunError(ProblemKind.NotFound);
  }
  const path = rest.slice(end);
  return { service, path: path.startsWith('/') ? path : `/${path}` };
}

/** Bodies of service calls are forwarded unparsed; only those of completions are parsed as JSON. */
function toBytes(body: unknown): Uint8Array {
  return Buffer.isBuffer(body) ? body : new Uint8Array();
}

@Module({})
export class CallersModule {
  static create(gateway: CallerGateway): DynamicModule {
    return {
      module: CallersModule,
      controllers: [CompletionsController, ModelsController, ServicesController],
      providers: [{ provide: CALLER_GATEWAY, useValue: gateway }],
    };
  }
}
