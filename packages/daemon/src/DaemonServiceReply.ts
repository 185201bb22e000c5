/** Sends a plain service's answer to the caller; cancels the call if the caller disconnects. */
import type { FastifyReply } from 'fastify';
import type { ManifestTeam } from '@skylarksail/manifest/ManifestSchema';
import type { RequestOptions } from './DaemonCallerInput.js';
import type { CallerGateway, ServiceRequest } from './DaemonGateway.js';
import { createProblem } from './DaemonProblemMap.js';
import { sendProblem } from './DaemonReplies.js';

/** A service call with its id, its team and its options. */
export interface ServiceExchange {
  readonly id: string;
  readonly team: ManifestTeam;
  readonly ask: ServiceRequest;
  readonly requestOptions: RequestOptions;
}

export function replyService(
  gateway: CallerGateway,
  reply: FastifyReply,
  { id, team, ask, requestOptions }: ServiceExchange,
): void {
  let hasEnded = false;
  const handle = gateway.submitService(id, team, ask, requestOptions, {
    onAnswer: ({ status, headers, body }) => {
      hasEnded = true;
      void reply
        .code(status)
        .headers({ ...headers, 'x-request-id': id })
        .send(Buffer.from(body));
    },
    onError: (problem) => {
      hasEnded = true;
      sendProblem(reply, createProblem(problem), id);
    },
  });
  reply.raw.once('close', () => {
    if (!hasEnded) {
      handle.cancel();
    }
  });
}
