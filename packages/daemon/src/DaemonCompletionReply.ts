/** Sends a completion to its caller, as one body or as server-sent events with backpressure. */
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

/** A completion request with its id, its team and its options. */
export interface CompletionExchange {
  readonly id: string;
  readonly team: ManifestTeam;
  readonly ask: CompletionRequest;
  readonly requestOptions: RequestOptions;
}

/** Buffers the tokens and sends the answer when it is complete. */
export function replyWhole(
  gateway: CallerGateway,
  reply: FastifyReply,
  exchange: CompletionExchange,
): void {
  const { id, ask } = exchange;
  const tokens: string[] = [];
  submitWithCancel(gateway, reply, exchange, {
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
 * Streams the tokens. The status line is not sent before the answer starts, so that an earlier
 * failure is reported with its own status; after that, an error event states that the answer is
 * incomplete.
 */
export function replyStreamed(
  gateway: CallerGateway,
  reply: FastifyReply,
  exchange: CompletionExchange,
): void {
  const { id, ask } = exchange;
  const { raw } = reply;
  const formatter = createEventFormatter(ask, id, gateway.getUnixSeconds());
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
    stream.write(formatter.formatStart);
  }

  submitWithCancel(gateway, reply, exchange, {
    onStart: start,
    onToken: (_index, token) => {
      start();
      tokenCount += 1;
      stream.write(() => formatter.formatToken(token));
    },
    onEnd: (reason) => {
      start();
      stream.end(() => formatter.formatEnd(reason, tokenCount));
    },
    onError: (problem) => {
      if (hasStarted) {
        stream.end(() => formatter.formatError(createProblemBody(createProblem(problem), id)));
      } else {
        sendProblem(reply, createProblem(problem), id);
      }
    },
  });
}

/** Submits the request and cancels it if the caller disconnects before it ends. */
function submitWithCancel(
  gateway: CallerGateway,
  reply: FastifyReply,
  { id, team, ask, requestOptions }: CompletionExchange,
  sink: RequestSink,
): void {
  let hasEnded = false;
  const handle = gateway.submitCompletion(id, team, ask, requestOptions, {
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
