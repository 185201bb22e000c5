/**
 * Calls and notices between instances, with typed payloads: a call gets one reply or fails within its
 * timeout, a notice gets no reply. A reply that is late, repeated or from another instance is dropped and
 * counted.
 */
import { randomUUID } from 'node:crypto';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis, Result, Unregister } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { PeerEnvelope } from './MembershipEnvelope.js';
import { EnvelopeKind, encodeEnvelope } from './MembershipEnvelope.js';
import { readArray, readText, readUnsignedInteger } from './MembershipWire.js';

declare const payloadTypes: unique symbol;

/** A kind of call, with the types of its request and its reply. */
export interface CallTopic<Request, Reply> {
  readonly name: string;
  readonly [payloadTypes]?: { readonly question: Request; readonly reply: Reply };
}

/** A kind of notice, with the type of its payload. */
export interface NoticeTopic<Payload> {
  readonly name: string;
  readonly [payloadTypes]?: Payload;
}

/** Names a kind of call; the package that handles it defines it as a constant. */
export function createCallTopic<Request, Reply>(name: string): CallTopic<Request, Reply> {
  return { name };
}

/** Names a kind of notice. */
export function createNoticeTopic<Payload>(name: string): NoticeTopic<Payload> {
  return { name };
}

/**
 * Why a call has no reply. `unsent`: the request could not be sent. `busy`: too many calls to that
 * instance are in flight, so the request was not sent. `timeout`: no reply arrived in time, but the
 * other instance may have acted on the request. `failed`: the other instance replied with an error.
 */
export type CallFailure =
  | { readonly kind: 'unsent' }
  | { readonly kind: 'busy' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'failed'; readonly detail: string };

export interface PeerCallsDeps {
  readonly self: InstanceId;
  readonly timers: TimerService;
  /** Sends an envelope; returns false, with nothing sent, if the instance is not reachable. */
  readonly send: (to: InstanceId, bytes: Uint8Array) => boolean;
  /** Maximum number of calls in flight to one instance. */
  readonly maxInFlight?: number;
  /** Distinguishes this process from an earlier one with the same id; random if not given. */
  readonly session?: string;
}

export interface PeerCallCounters {
  readonly late: number;
  readonly garbage: number;
  readonly unhandled: number;
}

export interface PeerCalls {
  call<Request, Reply>(
    to: InstanceId,
    topic: CallTopic<Request, Reply>,
    request: Request,
    timeout: Millis,
  ): Promise<Result<Reply, CallFailure>>;
  notify<Payload>(to: InstanceId, topic: NoticeTopic<Payload>, payload: Payload): boolean;
  /** Handles calls of a topic. Payloads come from the network, so handlers must validate them. */
  registerHandler<Request, Reply>(
    topic: CallTopic<Request, Reply>,
    handler: (request: Request, from: InstanceId) => Promise<Reply> | Reply,
  ): Unregister;
  registerNotice<Payload>(
    topic: NoticeTopic<Payload>,
    listener: (payload: Payload, from: InstanceId) => void,
  ): Unregister;
  /** Processes an envelope of kind Call, Reply or Notice; an invalid one is counted and dropped. */
  receive(envelope: PeerEnvelope): void;
  getCounters(): PeerCallCounters;
}

type Handler = (request: unknown, from: InstanceId) => unknown;

interface PendingCall {
  readonly to: InstanceId;
  readonly settle: (result: Result<unknown, CallFailure>) => void;
}

const DEFAULT_MAX_IN_FLIGHT = 256;
const MAX_DETAIL_LENGTH = 200;

/** Creates calls and notices on top of a function that sends envelopes. */
export function createPeerCalls(deps: PeerCallsDeps): PeerCalls {
  const { self, timers } = deps;
  const maxInFlight = deps.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT;
  // Call ids start at 1 in each process, so an id alone could match a reply to an earlier process at this
  // address.
  const session = deps.session ?? randomUUID().slice(0, 8);
  const handlers = new Map<string, Handler>();
  const noticeListeners = new Map<string, Handler>();
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
    request: unknown,
    timeout: Millis,
  ): Promise<Result<unknown, CallFailure>> {
    const openCalls = inFlight.get(to) ?? 0;
    if (openCalls >= maxInFlight) {
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
      inFlight.set(to, openCalls + 1);
      pending.set(id, { to, settle });
      if (!send(to, EnvelopeKind.Call, [session, id, topic.name, request])) {
        settle(createFailed({ kind: 'unsent' }));
      }
    });
  }

  function releaseSlot(to: InstanceId): void {
    const remaining = (inFlight.get(to) ?? 1) - 1;
    if (remaining > 0) {
      inFlight.set(to, remaining);
    } else {
      inFlight.delete(to);
    }
  }

  async function handleCall(from: InstanceId, fields: readonly unknown[]): Promise<void> {
    const callerSession = readText(fields[0]);
    const id = readUnsignedInteger(fields[1]);
    const handler = handlers.get(readText(fields[2]));
    if (!handler) {
      count('unhandled');
      send(from, EnvelopeKind.Reply, [callerSession, id, false, 'no such topic']);
      return;
    }
    try {
      const reply = await handler(fields[3], from);
      send(from, EnvelopeKind.Reply, [callerSession, id, true, reply]);
    } catch (err) {
      const detail =
        err instanceof Error ? err.message.slice(0, MAX_DETAIL_LENGTH) : 'unknown error';
      send(from, EnvelopeKind.Reply, [callerSession, id, false, detail]);
    }
  }

  function handleReply(from: InstanceId, fields: readonly unknown[]): void {
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

  function handleNotice(from: InstanceId, fields: readonly unknown[]): void {
    const listener = noticeListeners.get(readText(fields[0]));
    if (!listener) {
      count('unhandled');
      return;
    }
    listener(fields[1], from);
  }

  function receive({ from, kind, payload }: PeerEnvelope): void {
    try {
      if (kind === EnvelopeKind.Call) {
        handleCall(from, readArray(payload, 4)).catch(() => count('garbage'));
      } else if (kind === EnvelopeKind.Reply) {
        handleReply(from, readArray(payload, 4));
      } else if (kind === EnvelopeKind.Notice) {
        handleNotice(from, readArray(payload, 2));
      }
    } catch {
      count('garbage');
    }
  }

  function addHandler(table: Map<string, Handler>, name: string, handler: Handler): Unregister {
    invariant(!table.has(name), `topic ${name} is registered once`);
    table.set(name, handler);
    return () => {
      table.delete(name);
    };
  }

  return {
    // The reply is not validated here: its type is the one that the topic declares for its handler.
    call: call as PeerCalls['call'],
    notify: (to, topic, payload) => send(to, EnvelopeKind.Notice, [topic.name, payload]),
    registerHandler: (topic, handler) => addHandler(handlers, topic.name, handler as Handler),
    registerNotice: (topic, listener) =>
      addHandler(noticeListeners, topic.name, listener as Handler),
    receive,
    getCounters: () => counters,
  };
}
