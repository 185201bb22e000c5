/** Callers of real daemons over loopback: they record what they hear as events of a history. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { CallerRecord } from '@skylarksail/bench/DemoCallers';
import { callService, streamCompletion } from '@skylarksail/bench/DemoCallers';
import type { StackDaemon } from '@skylarksail/bench/StackLauncher';
import { STACK_TEAMS } from '@skylarksail/bench/StackPlan';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import {
  computeAnswerLength,
  computePromptSeed,
  computeToken,
  renderPrompt,
} from '@skylarksail/stand-ins/StandInModel';
import type { HistoryEvent, SubmittedEvent } from './HistoryTypes.js';

export interface LoopbackCallersOptions {
  readonly now: () => number;
  readonly record: (event: HistoryEvent) => void;
  readonly listReady: () => readonly StackDaemon[];
  readonly isDead: (daemon: StackDaemon) => boolean;
}

/** Callers over HTTP. Each promise settles when its caller has what it wants, or gives up. */
export interface LoopbackCallers {
  sendModelRequest(place: number): Promise<void>;
  sendServiceRequest(place: number): Promise<void>;
  /** The request's name in the history by the id that its daemon gave it. */
  readonly names: ReadonlyMap<string, string>;
}

/** Time that the stack's manifest gives a request. */
const DEADLINE = 60_000;
const MOST_SENDS = 4;
const RESEND_DELAY = 200;
const MOST_TOKENS = 200;
const LAYERS = 24;
const [TEAM] = STACK_TEAMS;

/** Creates callers that have sent nothing yet. */
export function createLoopbackCallers(options: LoopbackCallersOptions): LoopbackCallers {
  const { now, record, listReady, isDead } = options;
  const names = new Map<string, string>();
  const bodies = new Map<string, string>();
  let count = 0;

  function submit(
    request: string,
    daemon: StackDaemon,
    more: Pick<SubmittedEvent, 'work' | 'key' | 'idempotent' | 'expected'>,
  ): void {
    record({
      kind: 'submitted',
      at: now(),
      request,
      instance: daemon.id,
      promptTokens: 0,
      layerCount: LAYERS,
      deadline: now() + DEADLINE,
      ...more,
    });
  }

  /** Records how a request ended; true if its caller is served, or will get nothing better. */
  function end(request: string, daemon: StackDaemon, result: CallerRecord | null): boolean {
    if (result && result.requestId !== '') {
      names.set(result.requestId, request);
    }
    if (!result || result.outcome === 'cut off') {
      // Without a word from a daemon that lives, the checker misses the ending.
      return !isDead(daemon);
    }
    if (result.outcome === 'refused') {
      const [type = '', run = ''] = result.detail.split(', ');
      const problem = type.split(/[:/]/).at(-1) ?? type;
      record({ kind: 'failed', at: now(), request, problem, run: run as RunStateName });
      return run !== 'not-run';
    }
    record({ kind: 'answered', at: now(), request });
    return true;
  }

  async function sendUntilServed(
    name: string,
    place: number,
    sendOnce: (request: string, daemon: StackDaemon) => Promise<CallerRecord>,
  ): Promise<void> {
    for (let sends = 0; sends < MOST_SENDS; sends++) {
      const ready = listReady();
      const daemon = ready[(place + sends) % Math.max(1, ready.length)];
      if (daemon) {
        const request = `${name}.${sends}`;
        const result = await sendOnce(request, daemon).catch(() => null);
        if (end(request, daemon, result)) {
          return;
        }
      }
      await sleep(RESEND_DELAY);
    }
  }

  return {
    names,
    sendModelRequest(place) {
      count += 1;
      const name = `letter-${count}`;
      const content = `${name}, tokens=${20 + (place % 60)}`;
      const prompt = renderPrompt([{ role: 'user', content }]);
      const expected = Array.from({ length: computeAnswerLength(prompt) }, (_, i) =>
        computeToken(computePromptSeed(prompt), i),
      );
      return sendUntilServed(name, place, (request, daemon) => {
        submit(request, daemon, { work: 'model', key: null, idempotent: true, expected });
        return streamCompletion({
          what: name,
          callers: daemon.callers,
          key: TEAM.key,
          content,
          maxTokens: MOST_TOKENS,
          onToken: (tokens, token) =>
            record({ kind: 'token', at: now(), request, index: tokens - 1, token }),
        });
      });
    },
    sendServiceRequest(place) {
      count += 1;
      const name = `receipt-${count}`;
      return sendUntilServed(name, place, async (request, daemon) => {
        submit(request, daemon, { work: 'service', key: name, idempotent: false, expected: [] });
        const result = await callService({
          what: name,
          callers: daemon.callers,
          key: TEAM.key,
          method: 'POST',
          path: '/receipts',
          idempotencyKey: name,
        });
        if (result.outcome === 'answered') {
          const body = bodies.get(name) ?? result.detail;
          bodies.set(name, body);
          if (body !== result.detail) {
            // A resend that is given another receipt: the checker takes it as a token out of place.
            record({ kind: 'token', at: now(), request, index: 1, token: result.detail });
          }
        }
        return result;
      });
    },
  };
}
