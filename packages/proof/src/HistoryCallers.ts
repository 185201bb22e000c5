/**
 * Callers of a history. They send requests, resend with the same key where that is safe, hang up when
 * told to, and record all that they hear.
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
  /** Instances to which the balancer gives requests now. */
  readonly listReady: () => readonly HistoryInstance[];
}

/** The callers, as the runner of a history sees them. */
export interface HistoryCallers {
  send(request: HistoryRequest): void;
  sendPoison(instance: number): void;
  /** A caller sends a request with a key again, to another instance, without waiting. */
  resendOne(target: number): void;
  hangUpOne(target: number): void;
  /** An instance died: its callers' connections break. */
  noteKilled(instance: InstanceId): void;
}

/** What one caller wants, over all its resends. */
interface Order {
  readonly name: string;
  readonly work: HistoryRequestKindName;
  readonly prompt: string;
  readonly tokens: number;
  readonly deadline: Millis;
  readonly mostSends: number;
}

/** A request under way. */
interface OpenRequest {
  readonly order: Order;
  readonly place: number;
  readonly instance: HistoryInstance;
  readonly id: string;
  handle: RequestHandle | null;
  /** The caller has heard how it ended; it stays listed, so that a second ending would be seen. */
  isEnded: boolean;
}

/** Prompts that start so crash the engine that first computes them. */
export const HISTORY_POISON_PREFIX = 'poison';

const KEYED: ReadonlySet<HistoryRequestKindName> = new Set([
  HistoryRequestKind.KeyedModel,
  HistoryRequestKind.KeyedWrite,
]);
const ONCE: ReadonlySet<HistoryRequestKindName> = new Set([
  HistoryRequestKind.KeyedModel,
  HistoryRequestKind.OnceModel,
  HistoryRequestKind.KeyedWrite,
  HistoryRequestKind.OnceWrite,
]);
const SERVICE: ReadonlySet<HistoryRequestKindName> = new Set([
  HistoryRequestKind.Read,
  HistoryRequestKind.KeyedWrite,
  HistoryRequestKind.OnceWrite,
]);
const MOST_SENDS = 3;
const POISON_SENDS = 6;
const RESEND_DELAY: Millis = 50;
const MOST_WAIT: Millis = 1000;
const BALANCER_RETRY: Millis = 200;
const TEAM = 'schools';

/** Creates callers that have sent nothing yet. */
export function createHistoryCallers(options: CallersOptions): HistoryCallers {
  const { timers, record, listReady } = options;
  const open = new Map<string, OpenRequest>();
  const orders: Order[] = [];
  const sends = new Map<string, number>();

  function countSend(order: Order): number {
    const count = (sends.get(order.name) ?? 0) + 1;
    sends.set(order.name, count);
    return count;
  }

  function send(order: Order, place: number): void {
    const ready = listReady();
    const instance = ready[place % Math.max(1, ready.length)];
    const now = timers.now();
    if (now >= order.deadline) {
      return;
    }
    if (!instance) {
      timers.registerTimeout(BALANCER_RETRY, () => send(order, place));
      return;
    }
    const id = `${order.name}.${countSend(order)}`;
    const isService = SERVICE.has(order.work);
    const request: OpenRequest = { order, place, instance, id, handle: null, isEnded: false };
    open.set(id, request);
    record({
      kind: 'submitted',
      at: now,
      request: id,
      instance: instance.self.id,
      work: isService ? 'service' : 'model',
      key: getKey(order),
      idempotent: !ONCE.has(order.work),
      expected: createExpected(order),
      promptTokens: HISTORY_PROMPT_TOKENS,
      layerCount: HISTORY_LAYERS,
      deadline: order.deadline,
    });
    request.handle = isService ? submitService(request) : submitModel(request);
  }

  /** Runs what a caller does if its connection still stands. */
  function hear({ instance, id }: OpenRequest, take: () => void): void {
    if (!instance.isDead() && open.has(id)) {
      take();
    }
  }

  function submitModel(request: OpenRequest): RequestHandle {
    const { order, id, instance } = request;
    return instance.router.submit(
      {
        id,
        team: TEAM,
        model: HISTORY_VARIANT.model,
        variant: HISTORY_VARIANT,
        layerCount: HISTORY_LAYERS,
        prompt: order.prompt,
        promptTokens: HISTORY_PROMPT_TOKENS,
        maxTokens: order.tokens,
        priority: 'normal',
        deadline: order.deadline,
        idempotencyKey: getKey(order),
        idempotent: !ONCE.has(order.work),
        prefixKeys: [],
      },
      {
        onStart: () => undefined,
        onToken: (index, token) =>
          hear(request, () =>
            record({ kind: 'token', at: timers.now(), request: id, index, token }),
          ),
        onEnd: () => hear(request, () => finish(request)),
        onError: (problem) => hear(request, () => fail(request, problem)),
      },
    );
  }

  function submitService(request: OpenRequest): RequestHandle {
    const { order, id, instance } = request;
    return instance.router.submitService(
      {
        id,
        team: TEAM,
        service: HISTORY_SERVICE,
        method: ONCE.has(order.work) ? 'POST' : 'GET',
        path: '/receipts',
        headers: {},
        body: new TextEncoder().encode(order.prompt),
        priority: 'normal',
        deadline: order.deadline,
        idempotencyKey: getKey(order),
        idempotent: !ONCE.has(order.work),
      },
      {
        onAnswer: ({ body }) =>
          hear(request, () => {
            const token = new TextDecoder().decode(body);
            record({ kind: 'token', at: timers.now(), request: id, index: 0, token });
            finish(request);
          }),
        onError: (problem) => hear(request, () => fail(request, problem)),
      },
    );
  }

  function finish(request: OpenRequest): void {
    request.isEnded = true;
    record({ kind: 'answered', at: timers.now(), request: request.id });
  }

  function fail(request: OpenRequest, problem: RequestProblem): void {
    const { order, place, id } = request;
    request.isEnded = true;
    record({
      kind: 'failed',
      at: timers.now(),
      request: id,
      problem: problem.kind,
      run: problem.run,
    });
    const isPoison = order.prompt.startsWith(HISTORY_POISON_PREFIX);
    const maySendAgain = isPoison || problem.run === 'not-run' || getKey(order) !== null;
    if (maySendAgain && (sends.get(order.name) ?? 0) < order.mostSends) {
      const wait = Math.min(MOST_WAIT, Math.max(RESEND_DELAY, problem.retryAfter ?? 0));
      timers.registerTimeout(wait, () => send(order, place + 1));
    }
  }

  function addOrder(request: HistoryRequest, prompt: string | null, mostSends: number): Order {
    const name = `${request.work}-${orders.length}`;
    const order: Order = {
      name,
      work: request.work,
      prompt: prompt ?? name,
      tokens: request.tokens,
      deadline: timers.now() + HISTORY_DEADLINE,
      mostSends,
    };
    orders.push(order);
    return order;
  }

  return {
    send: (request) => send(addOrder(request, null, MOST_SENDS), request.instance),
    sendPoison(instance) {
      const prompt = `${HISTORY_POISON_PREFIX}-${orders.length}`;
      const request = { work: HistoryRequestKind.Model, at: timers.now(), tokens: 8, instance };
      send(addOrder(request, prompt, POISON_SENDS), instance);
    },
    resendOne(target) {
      const keyed = orders.filter(({ work }) => KEYED.has(work));
      const order = keyed[target % Math.max(1, keyed.length)];
      if (order) {
        send(order, target);
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
          const { order, place, id } = request;
          open.delete(id);
          const isSafe = !ONCE.has(order.work) || getKey(order) !== null;
          if (!request.isEnded && isSafe && (sends.get(order.name) ?? 0) < order.mostSends) {
            timers.registerTimeout(RESEND_DELAY, () => send(order, place + 1));
          }
        });
    },
  };
}

function getKey({ name, work }: Order): string | null {
  return KEYED.has(work) ? name : null;
}

function createExpected({ work, prompt, tokens }: Order): readonly string[] {
  return SERVICE.has(work)
    ? [prompt]
    : Array.from({ length: tokens }, (_, i) => createHistoryToken(prompt, i));
}

/** The right token at a place of the answer to a prompt. */
export function createHistoryToken(prompt: string, index: number): string {
  return `${prompt}:${index} `;
}
