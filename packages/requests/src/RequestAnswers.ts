/** How an answer is written into a claim's record, and read back for a resend. */
import type { FinishReason, ServiceAnswer } from './RequestPorts.js';

/** The whole answer of a model request. */
export interface HeldAnswer {
  readonly reason: FinishReason;
  readonly text: string;
}

export function encodeAnswer(answer: HeldAnswer): string {
  return JSON.stringify(answer);
}

export function decodeAnswer(text: string): HeldAnswer {
  return JSON.parse(text) as HeldAnswer;
}

export function encodeServiceAnswer(answer: ServiceAnswer): string {
  const body = Buffer.from(answer.body).toString('base64');
  return JSON.stringify({ ...answer, body });
}

export function decodeServiceAnswer(text: string): ServiceAnswer {
  const held = JSON.parse(text) as Omit<ServiceAnswer, 'body'> & { readonly body: string };
  return { ...held, body: new Uint8Array(Buffer.from(held.body, 'base64')) };
}
