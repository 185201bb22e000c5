/** Encodes answers for the record of a claim, and decodes them to replay for a resend. */
import type { FinishReason, ServiceAnswer } from './RequestPorts.js';

/** The complete answer to a model request. */
export interface StoredAnswer {
  readonly reason: FinishReason;
  readonly text: string;
}

export function encodeAnswer(answer: StoredAnswer): string {
  return JSON.stringify(answer);
}

export function decodeAnswer(text: string): StoredAnswer {
  return JSON.parse(text) as StoredAnswer;
}

export function encodeServiceAnswer(answer: ServiceAnswer): string {
  const body = Buffer.from(answer.body).toString('base64');
  return JSON.stringify({ ...answer, body });
}

export function decodeServiceAnswer(text: string): ServiceAnswer {
  const held = JSON.parse(text) as Omit<ServiceAnswer, 'body'> & { readonly body: string };
  return { ...held, body: new Uint8Array(Buffer.from(held.body, 'base64')) };
}
