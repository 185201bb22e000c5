/** Callers of real daemons over loopback: they record what they receive as events of a history. */
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

/** Callers over HTTP. Each promise settles when its request, resends included, is served or given up. */
export interface LoopbackCallers {
  sendModelRequest(place: number): Promise<void>;
  sendServiceRequest(place: number): Promise<void>;
  /** Names of requests in the history, by the ids that the daemons assigned to them. */
  readonly names: ReadonlyMap<string, string>;
}

/** Deadline of a request in the stack's manifest, relative to its arrival. */
const DEADLINE = 60_000;
const MAX_SENDS = 4;
const RESEND_DELAY = 200;
const MAX_TOKENS = 200;
const LAYERS = 24;
const [TEAM] = STACK_TEAMS;

export function createLoopbackCallers(options: LoopbackCallersOptions): LoopbackCallers {
  const { now, record, listReady, isDead } = options;
  const names = new Map<string, string>();
  const bodies = new Map<string, string>();
  let count = 0;

  function recordSubmitted(
    request: string,
    daemon: StackDaemon,
    details: Pick<SubmittedEvent, 'work' | 'key' | 'idempotent' | 'expected'>,
  ): void {
    record({
      kind: 'submitted',
      at: now(),
      request,
      instance: daemon.id,
      promptTokens: 0,
      layerCount: LAYERS,
      deadline: now() + DEADLINE,
      ...details,
    });
  }

  /** Records how a request ended; returns whether its caller is done, so that it does not send it again. */
  function recordEnd(request: string, daemon: StackDaemon, result: CallerRecord | null): boolean {
    if (result && result.requestId !== '') {
      names.set(result.requestId, request);
    }
    if (!result || result.outcome === 'cut off') {
      // If the daemon is still running, no ending is recorded and the checker reports the missing one.
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
    for (let sends = 0; sends < MAX_SENDS; sends++) {
      const ready = listReady();
      const daemon = ready[(place + sends) % Math.max(1, ready.length)];
      if (daemon) {
        const request = `${name}.${sends}`;
        const result = await sendOnce(request, daemon).catch(() => null);
        if (recordEnd(request, daemon, result)) {
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
        recordSubmitted(request, daemon, { work: 'model', key: null, idempotent: true, expected });
        return streamCompletion({
          what: name,
          callers: daemon.callers,
          key: TEAM.key,
          content,
          maxTokens: MAX_TOKENS,
          onToken: (tokens, token) =>
            record({ kind: 'token', at: now(), request, index: tokens - 1, token }),
        });
      });
    },
    sendServiceRequest(place) {
      count += 1;
      const name = `receipt-${count}`;
      return sendUntilServed(name, place, async (request, daemon) => {
        recordSubmitted(request, daemon, {
          work: 'service',
          key: name,
          idempotent: false,
          expected: [],
        });
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
            // The resend got a different receipt: the checker reports this event as an unexpected token.
            record({ kind: 'token', at: now(), request, index: 1, token: result.detail });
          }
        }
        return result;
      });
    },
  };
}
