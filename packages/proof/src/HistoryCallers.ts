/**
 * Simulated callers. They send requests, resend with the same key where that is safe, hang up when a
 * fault requires it, and record everything that they receive.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestHandle, RequestProblem } from '@skylarksail/requests/RequestTypes';
import type { HistoryInstance } from './HistoryInstance.js';
import type { HistoryRequest, HistoryRequestKindName } from './HistoryPlan.js';
import {
  HISTORY_DEADLINE,
  HISTORY_LAYERS,
  HISTORY_PROMPT_TOKENS,
  HISTORY_SERVICE,
  HISTORY_VARIANT,
  HistoryRequestKind,
} from './HistoryPlan.js';
import type { HistoryEvent } from './HistoryTypes.js';

export interface CallersOptions {
  readonly timers: TimerService;
  readonly record: (event: HistoryEvent) => void;
  /** Instances that the load balancer currently sends requests to. */
  readonly listReady: () => readonly HistoryInstance[];
}

/** The callers' interface for the runner of a history. */
export interface HistoryCallers {
  send(request: HistoryRequest): void;
  /** Sends a request whose prompt crashes the engine that computes it. */
  sendPoison(instance: number): void;
  /**
   * Resends a request with an idempotency key without waiting for its earlier sends to end. `target`
   * selects the request and the instance.
   */
  resendOne(target: number): void;
  /** Cancels one open request; its caller receives nothing more. */
  hangUpOne(target: number): void;
  /** Breaks the connections of a killed instance's callers, who resend where that is safe. */
  noteKilled(instance: InstanceId): void;
}

/** What a caller requests, shared by the first send and all resends. */
interface LogicalRequest {
  readonly name: string;
  readonly work: HistoryRequestKindName;
  readonly prompt: string;
  readonly tokens: number;
  readonly deadline: Millis;
  readonly mostSends: number;
}

/** One send of a logical request. */
interface OpenRequest {
  readonly logical: LogicalRequest;
  /** Selects the instance among the ready ones; a resend after a failure uses the next value. */
  readonly place: number;
  readonly instance: HistoryInstance;
  readonly id: string;
  handle: RequestHandle | null;
  /** The caller received an answer or error. The request stays in the map so that a second one is recorded too. */
  isEnded: boolean;
}

/** Prompts with this prefix crash the engine that first computes them. */
export const HISTORY_POISON_PREFIX = 'poison';

const KEYED_KINDS: ReadonlySet<HistoryRequestKindName> = new Set([
  HistoryRequestKind.KeyedModel,
  HistoryRequestKind.KeyedWrite,
]);
const NON_IDEMPOTENT_KINDS: ReadonlySet<HistoryRequestKindName> = new Set([
  HistoryRequestKind.KeyedModel,
  HistoryRequestKind.OnceModel,
  HistoryRequestKind.KeyedWrite,
  HistoryRequestKind.OnceWrite,
]);
const SERVICE_KINDS: ReadonlySet<HistoryRequestKindName> = new Set([
  HistoryRequestKind.Read,
  HistoryRequestKind.KeyedWrite,
  HistoryRequestKind.OnceWrite,
]);
const MAX_SENDS = 3;
const MAX_POISON_SENDS = 6;
const RESEND_DELAY: Millis = 50;
const MAX_RESEND_DELAY: Millis = 1000;
const BALANCER_RETRY: Millis = 200;
const TEAM = 'schools';

export function createHistoryCallers(options: CallersOptions): HistoryCallers {
  const { timers, record, listReady } = options;
  const open = new Map<string, OpenRequest>();
  const logicalRequests: LogicalRequest[] = [];
  const sends = new Map<string, number>();

  function countSend(logical: LogicalRequest): number {
    const count = (sends.get(logical.name) ?? 0) + 1;
    sends.set(logical.name, count);
    return count;
  }

  function send(logical: LogicalRequest, place: number): void {
    const ready = listReady();
    const instance = ready[place % Math.max(1, ready.length)];
    const now = timers.now();
    if (now >= logical.deadline) {
      return;
    }
    if (!instance) {
      timers.registerTimeout(BALANCER_RETRY, () => send(logical, place));
      return;
    }
    const id = `${logical.name}.${countSend(logical)}`;
    const isService = SERVICE_KINDS.has(logical.work);
    const request: OpenRequest = { logical, place, instance, id, handle: null, isEnded: false };
    open.set(id, request);
    record({
      kind: 'submitted',
      at: now,
      request: id,
      instance: instance.self.id,
      work: isService ? 'service' : 'model',
      key: getKey(logical),
      idempotent: !NON_IDEMPOTENT_KINDS.has(logical.work),
      expected: createExpected(logical),
      promptTokens: HISTORY_PROMPT_TOKENS,
      layerCount: HISTORY_LAYERS,
      deadline: logical.deadline,
    });
    request.handle = isService ? submitService(request) : submitModel(request);
  }

  /** Runs a caller's reaction to an event unless its connection broke or it hung up. */
  function runIfConnected({ instance, id }: OpenRequest, action: () => void): void {
    if (!instance.isDead() && open.has(id)) {
      action();
    }
  }

  function submitModel(request: OpenRequest): RequestHandle {
    const { logical, id, instance } = request;
    return instance.router.submit(
      {
        id,
        team: TEAM,
        model: HISTORY_VARIANT.model,
        variant: HISTORY_VARIANT,
        layerCount: HISTORY_LAYERS,
        prompt: logical.prompt,
        promptTokens: HISTORY_PROMPT_TOKENS,
        maxTokens: logical.tokens,
        priority: 'normal',
        deadline: logical.deadline,
        idempotencyKey: getKey(logical),
        idempotent: !NON_IDEMPOTENT_KINDS.has(logical.work),
        prefixKeys: [],
      },
      {
        onStart: () => undefined,
        onToken: (index, token) =>
          runIfConnected(request, () =>
            record({ kind: 'token', at: timers.now(), request: id, index, token }),
          ),
        onEnd: () => runIfConnected(request, () => finish(request)),
        onError: (problem) => runIfConnected(request, () => fail(request, problem)),
      },
    );
  }

  function submitService(request: OpenRequest): RequestHandle {
    const { logical, id, instance } = request;
    return instance.router.submitService(
      {
        id,
        team: TEAM,
        service: HISTORY_SERVICE,
        method: NON_IDEMPOTENT_KINDS.has(logical.work) ? 'POST' : 'GET',
        path: '/receipts',
        headers: {},
        body: new TextEncoder().encode(logical.prompt),
        priority: 'normal',
        deadline: logical.deadline,
        idempotencyKey: getKey(logical),
        idempotent: !NON_IDEMPOTENT_KINDS.has(logical.work),
      },
      {
        onAnswer: ({ body }) =>
          runIfConnected(request, () => {
            const token = new TextDecoder().decode(body);
            record({ kind: 'token', at: timers.now(), request: id, index: 0, token });
            finish(request);
          }),
        onError: (problem) => runIfConnected(request, () => fail(request, problem)),
      },
    );
  }

  function finish(request: OpenRequest): void {
    request.isEnded = true;
    record({ kind: 'answered', at: timers.now(), request: request.id });
  }

  function fail(request: OpenRequest, problem: RequestProblem): void {
    const { logical, place, id } = request;
    request.isEnded = true;
    record({
      kind: 'failed',
      at: timers.now(),
      request: id,
      problem: problem.kind,
      run: problem.run,
    });
    const isPoison = logical.prompt.startsWith(HISTORY_POISON_PREFIX);
    const canResend = isPoison || problem.run === 'not-run' || getKey(logical) !== null;
    if (canResend && (sends.get(logical.name) ?? 0) < logical.mostSends) {
      const wait = Math.min(MAX_RESEND_DELAY, Math.max(RESEND_DELAY, problem.retryAfter ?? 0));
      timers.registerTimeout(wait, () => send(logical, place + 1));
    }
  }

  function addLogicalRequest(
    request: HistoryRequest,
    prompt: string | null,
    mostSends: number,
  ): LogicalRequest {
    const name = `${request.work}-${logicalRequests.length}`;
    const logical: LogicalRequest = {
      name,
      work: request.work,
      prompt: prompt ?? name,
      tokens: request.tokens,
      deadline: timers.now() + HISTORY_DEADLINE,
      mostSends,
    };
    logicalRequests.push(logical);
    return logical;
  }

  return {
    send: (request) => send(addLogicalRequest(request, null, MAX_SENDS), request.instance),
    sendPoison(instance) {
      const prompt = `${HISTORY_POISON_PREFIX}-${logicalRequests.length}`;
      const request = { work: HistoryRequestKind.Model, at: timers.now(), tokens: 8, instance };
      send(addLogicalRequest(request, prompt, MAX_POISON_SENDS), instance);
    },
    resendOne(target) {
      const keyed = logicalRequests.filter(({ work }) => KEYED_KINDS.has(work));
      const logical = keyed[target % Math.max(1, keyed.length)];
      if (logical) {
        send(logical, target);
      }
    },
    hangUpOne(target) {
      const requests = [...open.values()];
      const request = requests[requests.length - 1 - (target % Math.max(1, requests.length))];
      if (request && !request.instance.isDead()) {
        record({ kind: 'hung-up', at: timers.now(), request: request.id });
        open.delete(request.id);
        request.handle?.cancel();
      }
    },
    noteKilled(instance) {
      [...open.values()]
        .filter((request) => request.instance.self.id === instance)
        .forEach((request) => {
          const { logical, place, id } = request;
          open.delete(id);
          const isSafe = !NON_IDEMPOTENT_KINDS.has(logical.work) || getKey(logical) !== null;
          if (!request.isEnded && isSafe && (sends.get(logical.name) ?? 0) < logical.mostSends) {
            timers.registerTimeout(RESEND_DELAY, () => send(logical, place + 1));
          }
        });
    },
  };
}

function getKey({ name, work }: LogicalRequest): string | null {
  return KEYED_KINDS.has(work) ? name : null;
}

function createExpected({ work, prompt, tokens }: LogicalRequest): readonly string[] {
  return SERVICE_KINDS.has(work)
    ? [prompt]
    : Array.from({ length: tokens }, (_, i) => createHistoryToken(prompt, i));
}

/** Returns the correct token at an index of the answer to a prompt. */
export function createHistoryToken(prompt: string, index: number): string {
  return `${prompt}:${index} `;
}
