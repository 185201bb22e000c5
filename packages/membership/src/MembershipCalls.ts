/**
 * Calls and notices between instances, with typed payloads: a call has one reply or a failure within its
 * time, a notice has none. A reply that comes late, twice or from somebody else is dropped and counted.
 */
import { randomUUID } from 'node:crypto';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis, Result, Unregister } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { PeerEnvelope } from './MembershipEnvelope.js';
import { EnvelopeKind, encodeEnvelope } from './MembershipEnvelope.js';
import { readArray, readText, readUnsignedInteger } from './MembershipWire.js';

declare const payloads: unique symbol;

/** What a call is about, with the types of its question and its reply. */
export interface CallTopic<Question, Reply> {
  readonly name: string;
  readonly [payloads]?: { readonly question: Question; readonly reply: Reply };
}

/** What a notice is about, with the type of its payload. */
export interface NoticeTopic<Payload> {
  readonly name: string;
  readonly [payloads]?: Payload;
}

/** Names a kind of call; a constant of the package that answers it. */
export function createCallTopic<Question, Reply>(name: string): CallTopic<Question, Reply> {
  return { name };
}

/** Names a kind of notice. */
export function createNoticeTopic<Payload>(name: string): NoticeTopic<Payload> {
  return { name };
}

/**
 * Why a call has no reply. `unsent`: nothing left us. `busy`: too many calls to that instance are under
 * way, nothing left us. `timeout`: the other side may have acted. `failed`: it says that it could not.
 */
export type CallFailure =
  | { readonly kind: 'unsent' }
  | { readonly kind: 'busy' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'failed'; readonly detail: string };

export interface PeerCallsDeps {
  readonly self: InstanceId;
  readonly timers: TimerService;
  /** Sends an envelope; false if there is no way to the instance, and then nothing was sent. */
  readonly send: (to: InstanceId, bytes: Uint8Array) => boolean;
  /** Calls under way to one instance at the most. */
  readonly maxInFlight?: number;
  /** Distinguishes this process from one that had the same id before; drawn if not given. */
  readonly session?: string;
}

export interface PeerCallCounters {
  readonly late: number;
  readonly garbage: number;
  readonly unhandled: number;
}

export interface PeerCalls {
  call<Question, Reply>(
    to: InstanceId,
    topic: CallTopic<Question, Reply>,
    question: Question,
    timeout: Millis,
  ): Promise<Result<Reply, CallFailure>>;
  notify<Payload>(to: InstanceId, topic: NoticeTopic<Payload>, payload: Payload): boolean;
  /** Answers calls of a topic. Payloads come from the network: check their shape. */
  registerHandler<Question, Reply>(
    topic: CallTopic<Question, Reply>,
    handler: (question: Question, from: InstanceId) => Promise<Reply> | Reply,
  ): Unregister;
  registerNotice<Payload>(
    topic: NoticeTopic<Payload>,
    listener: (payload: Payload, from: InstanceId) => void,
  ): Unregister;
  /** Takes in an envelope of kind Call, Reply or Notice; garbage is counted and dropped. */
  receive(envelope: PeerEnvelope): void;
  getCounters(): PeerCallCounters;
}

type Handler = (question: unknown, from: InstanceId) => unknown;

interface PendingCall {
  readonly to: InstanceId;
  readonly settle: (result: Result<unknown, CallFailure>) => void;
}

const DEFAULT_MAX_IN_FLIGHT = 256;
const MAX_DETAIL = 200;

/** Creates calls and notices over a carrier of envelopes. */
export function createPeerCalls(deps: PeerCallsDeps): PeerCalls {
  const { self, timers } = deps;
  const maxInFlight = deps.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT;
  // A number alone would fit a reply that was meant for this address's earlier process.
  const session = deps.session ?? randomUUID().slice(0, 8);
  const handlers = new Map<string, Handler>();
  const notices = new Map<string, Handler>();
  const pending = new Map<number, PendingCall>();
  const inFlight = new Map<InstanceId, number>();
  let nextId = 1;
  let counters: PeerCallCounters = { late: 0, garbage: 0, unhandled: 0 };

  function count(name: keyof PeerCallCounters): void {
    counters = { ...counters, [name]: counters[name] + 1 };
  }

  function send(to: InstanceId, kind: PeerEnvelope['kind'], payload: readonly unknown[]): boolean {
    return deps.send(to, encodeEnvelope({ from: self, kind, payload }));
  }

  function call(
    to: InstanceId,
    topic: { readonly name: string },
    question: unknown,
    timeout: Millis,
  ): Promise<Result<unknown, CallFailure>> {
    const open = inFlight.get(to) ?? 0;
    if (open >= maxInFlight) {
      return Promise.resolve(createFailed({ kind: 'busy' }));
    }
    const id = nextId;
    nextId += 1;
    return new Promise((resolve) => {
      const cancel = timers.registerTimeout(timeout, () =>
        settle(createFailed({ kind: 'timeout' })),
      );
      function settle(result: Result<unknown, CallFailure>): void {
        cancel();
        pending.delete(id);
        releaseSlot(to);
        resolve(result);
      }
      inFlight.set(to, open + 1);
      pending.set(id, { to, settle });
      if (!send(to, EnvelopeKind.Call, [session, id, topic.name, question])) {
        settle(createFailed({ kind: 'unsent' }));
      }
    });
  }

  function releaseSlot(to: InstanceId): void {
    const left = (inFlight.get(to) ?? 1) - 1;
    if (left > 0) {
      inFlight.set(to, left);
    } else {
      inFlight.delete(to);
    }
  }

  async function answerCall(from: InstanceId, fields: readonly unknown[]): Promise<void> {
    const asker = readText(fields[0]);
    const id = readUnsignedInteger(fields[1]);
    const handler = handlers.get(readText(fields[2]));
    if (!handler) {
      count('unhandled');
      send(from, EnvelopeKind.Reply, [asker, id, false, 'no such topic']);
      return;
    }
    try {
      const reply = await handler(fields[3], from);
      send(from, EnvelopeKind.Reply, [asker, id, true, reply]);
    } catch (err) {
      const detail = err instanceof Error ? err.message.slice(0, MAX_DETAIL) : 'unknown error';
      send(from, EnvelopeKind.Reply, [asker, id, false, detail]);
    }
  }

  function takeReply(from: InstanceId, fields: readonly unknown[]): void {
    const waiting = fields[0] === session ? pending.get(readUnsignedInteger(fields[1])) : undefined;
    if (waiting?.to !== from) {
      count('late');
      return;
    }
    waiting.settle(
      fields[2] === true
        ? createOk(fields[3])
        : createFailed({ kind: 'failed', detail: readText(fields[3]) }),
    );
  }

  function takeNotice(from: InstanceId, fields: readonly unknown[]): void {
    const listener = notices.get(readText(fields[0]));
    if (!listener) {
      count('unhandled');
      return;
    }
    listener(fields[1], from);
  }

  function receive({ from, kind, payload }: PeerEnvelope): void {
    try {
      if (kind === EnvelopeKind.Call) {
        answerCall(from, readArray(payload, 4)).catch(() => count('garbage'));
      } else if (kind === EnvelopeKind.Reply) {
        takeReply(from, readArray(payload, 4));
      } else if (kind === EnvelopeKind.Notice) {
        takeNotice(from, readArray(payload, 2));
      }
    } catch {
      count('garbage');
    }
  }

  function registerIn(table: Map<string, Handler>, name: string, handler: Handler): Unregister {
    invariant(!table.has(name), `topic ${name} is registered once`);
    table.set(name, handler);
    return () => {
      table.delete(name);
    };
  }

  return {
    // The types of the topic stand for what the other side's handler promises.
    call: call as PeerCalls['call'],
    notify: (to, topic, payload) => send(to, EnvelopeKind.Notice, [topic.name, payload]),
    registerHandler: (topic, handler) => registerIn(handlers, topic.name, handler as Handler),
    registerNotice: (topic, listener) => registerIn(notices, topic.name, listener as Handler),
    receive,
    getCounters: () => counters,
  };
}
