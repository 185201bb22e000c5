/** Gives a completion to its caller: whole, or as server-sent events with back pressure. */
import type { FastifyReply } from 'fastify';
import type { ManifestTeam } from '@skylarksail/manifest/ManifestSchema';
import type { RequestSink } from '@skylarksail/requests/RequestTypes';
import { createEventFormatter, createWholeAnswer } from './DaemonAnswers.js';
import type { RequestOptions, CompletionRequest } from './DaemonCallerInput.js';
import { createEventStream } from './DaemonEventStream.js';
import type { CallerGateway } from './DaemonGateway.js';
import { createProblem } from './DaemonProblemMap.js';
import { createProblemBody } from './DaemonProblems.js';
import { sendProblem } from './DaemonReplies.js';

const STATUS_OK = 200;

/** One completion on its way. */
export interface CompletionExchange {
  readonly id: string;
  readonly team: ManifestTeam;
  readonly ask: CompletionRequest;
  readonly requestOptions: RequestOptions;
}

/** Collects the tokens and answers once. */
export function replyWhole(
  gateway: CallerGateway,
  reply: FastifyReply,
  exchange: CompletionExchange,
): void {
  const { id, ask } = exchange;
  const tokens: string[] = [];
  submit(gateway, reply, exchange, {
    onStart: () => undefined,
    onToken: (_index, token) => {
      tokens.push(token);
    },
    onEnd: (reason) => {
      const answer = createWholeAnswer(ask, id, gateway.getUnixSeconds(), tokens, reason);
      void reply.code(STATUS_OK).header('x-request-id', id).send(answer);
    },
    onError: (problem) => sendProblem(reply, createProblem(problem), id),
  });
}

/**
 * Streams the tokens. The status line waits for the start of the answer, so that whatever goes wrong
 * before it gets its own status; after it, an error event says that the answer is not complete.
 */
export function replyStreamed(
  gateway: CallerGateway,
  reply: FastifyReply,
  exchange: CompletionExchange,
): void {
  const { id, ask } = exchange;
  const { raw } = reply;
  const writer = createEventFormatter(ask, id, gateway.getUnixSeconds());
  const stream = createEventStream(raw, gateway.timers);
  let hasStarted = false;
  let tokenCount = 0;

  function start(): void {
    if (hasStarted || raw.destroyed) {
      return;
    }
    hasStarted = true;
    reply.hijack();
    raw.writeHead(STATUS_OK, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      'x-request-id': id,
    });
    stream.write(writer.formatStart);
  }

  submit(gateway, reply, exchange, {
    onStart: start,
    onToken: (_index, token) => {
      start();
      tokenCount += 1;
      stream.write(() => writer.formatToken(token));
    },
    onEnd: (reason) => {
      start();
      stream.end(() => writer.formatEnd(reason, tokenCount));
    },
    onError: (problem) => {
      if (hasStarted) {
        stream.end(() => writer.formatError(createProblemBody(createProblem(problem), id)));
      } else {
        sendProblem(reply, createProblem(problem), id);
      }
    },
  });
}

/** Submits, and carries a hang-up of the caller to the router. */
function submit(
  gateway: CallerGateway,
  reply: FastifyReply,
  { id, team, ask, requestOptions: wishes }: CompletionExchange,
  sink: RequestSink,
): void {
  let hasEnded = false;
  const handle = gateway.submitCompletion(id, team, ask, wishes, {
    ...sink,
    onEnd: (reason) => {
      hasEnded = true;
      sink.onEnd(reason);
    },
    onError: (problem) => {
      hasEnded = true;
      sink.onError(problem);
    },
  });
  reply.raw.once('close', () => {
    if (!hasEnded) {
      handle.cancel();
    }
  });
}
