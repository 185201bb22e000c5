/**
 * Bounds what the clients of an HTTP server hold of its process: connections, requests ahead, bytes, and turns of the event
 * loop. It counts all of them together, as each may be inside the limits of one request while all of them are too much.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as TcpServer } from 'node:net';
import type { Socket } from 'node:net';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { ReadBody, UnreadBodyEnd } from './ConnectionBodies.js';
import { BodyEnd, getAnnouncedLength, startBodyReader } from './ConnectionBodies.js';
import { writeBadRequest } from './ConnectionBadRequests.js';
import type { Guarded, GuardedRequest, OpenBody } from './ConnectionGuardTypes.js';
import type { CloseReasonName, ConnectionLimits } from './ConnectionLimits.js';
import { CloseReason } from './ConnectionLimits.js';
import { ConnectionStream } from './ConnectionStream.js';
import type { ConnectionEntry } from './ConnectionTable.js';
import {
  countRequestsAhead,
  createConnectionEntry,
  findLargest,
  findLongestIdle,
  getHeldBytes,
  isAnswerDue,
} from './ConnectionTable.js';
import type { LaterTurn } from './ConnectionTurns.js';
import { createConnectionTurns } from './ConnectionTurns.js';

export interface ConnectionGuardOptions {
  readonly limits: ConnectionLimits;
  readonly timers: TimerService;
  readonly laterTurn: LaterTurn;
  /** Maximum length of a body, in bytes; asked for each request. */
  readonly getMaxBodyBytes: () => number;
  /** Time without progress after which a body or an answer is given up; asked each time. */
  readonly getStandstillTime: () => Millis;
  /** Writes the response to bytes that are no request; by default one without a body. */
  readonly writeBadRequest?: (err: NodeJS.ErrnoException) => string;
  /** A connection was closed, or its request refused, before its client wanted that. */
  readonly onClosed: (reason: CloseReasonName, heldBytes: number) => void;
}

export interface ConnectionGuard {
  /**
   * Reads the body of a request. `timeLeft` is the time that its caller waits; null if it is not known. The connection is
   * closed behind the answer to a body that was not read to its end.
   */
  readBody(req: IncomingMessage, timeLeft: Millis | null): Promise<ReadBody>;
  countConnections(): number;
  /** Bytes that all clients hold together. */
  getHeldBytes(): number;
  countRequestsAhead(): number;
  /** Whether a client waits for an answer, or has not taken all of one. */
  hasAnswersDue(): boolean;
  /**
   * Accepts no more connections, and closes those whose clients wait for nothing. Node.js itself would also close those on which
   * an answer was written that its client has not taken yet.
   */
  stopAccepting(): void;
  /** Stops the checks of bodies and answers that stand still. */
  readonly stop: Unregister;
}

/** Bytes of heads that are read at once: at most some dozens of requests. */
const HEAD_SLICE = 2048;
/** The same in a body whose end is not known, behind which more requests may come. */
const CHUNKED_SLICE = 4096;
/** The same while too many requests wait: at most a few. */
const PRESSED_SLICE = 128;
const CHECK_PERIOD: Millis = 500;
/** The client ended its side within a request, as one that leaves does. */
const CUT_OFF = 'HPE_INVALID_EOF_STATE';

/** Guards a server, before it gets its first connection. */
export function registerConnectionGuard(
  server: Server,
  options: ConnectionGuardOptions,
): ConnectionGuard {
  const { limits, timers, onClosed } = options;
  const guarded = new Map<ConnectionStream, Guarded>();
  const blocked = new Set<ConnectionStream>();
  const tracked = new WeakMap<IncomingMessage, GuardedRequest>();
  const turns = createConnectionTurns(timers.now, options.laterTurn);
  let heldBytes = 0;
  let requestsAhead = 0;
  let stopChecks: Unregister | null = null;

  const host = {
    now: timers.now,
    getMaxBytes,
    requestTurn,
    onProgress(stream: ConnectionStream): void {
      const entry = guarded.get(stream);
      if (entry) {
        entry.progressAt = timers.now();
      }
    },
    onHeld(stream: ConnectionStream): void {
      const entry = guarded.get(stream);
      if (entry) {
        update(entry, {
          receivedBytes: stream.tcp.readableLength + stream.readableLength,
          unreadBytes: stream.unreadBytes,
        });
      }
    },
    onClosing(stream: ConnectionStream): void {
      const entry = guarded.get(stream);
      if (entry) {
        entry.isClosing = true;
      }
    },
  };

  function accept(socket: Socket, serve: (stream: ConnectionStream) => void): void {
    while (guarded.size >= limits.connections) {
      const oldest = findLongestIdle(guarded.values());
      if (oldest === null) {
        onClosed(CloseReason.Connections, 0);
        socket.destroy();
        return;
      }
      end(oldest, CloseReason.Connections);
    }
    const stream = new ConnectionStream(socket, host);
    const entry: Guarded = {
      ...createConnectionEntry(timers.now()),
      stream,
      body: null,
    };
    guarded.set(stream, entry);
    stream.once('close', () => forget(entry));
    serve(stream);
  }

  function forget(entry: Guarded): void {
    update(entry, { receivedBytes: 0, bodyBytes: 0, unreadBytes: 0 });
    guarded.delete(entry.stream);
    blocked.delete(entry.stream);
    setRequests(entry, 0);
  }

  /** Closes a connection at once. */
  function end(entry: Guarded, reason: CloseReasonName): void {
    if (!entry.isClosing) {
      onClosed(reason, getHeldBytes(entry));
    }
    if (entry.unreadBytes > 0) {
      entry.stream.resetAndDestroy();
    } else {
      entry.stream.destroy();
    }
    forget(entry);
  }

  function getMaxBytes(stream: ConnectionStream): number {
    const entry = guarded.get(stream);
    if (entry === undefined) {
      return 0;
    }
    const isPressed = requestsAhead >= limits.requestsAhead;
    if (entry.body !== null) {
      const { announced } = entry.body;
      if (announced !== null) {
        return Math.max(PRESSED_SLICE, announced - getBodyBytesRead(entry, entry.body));
      }
      return isPressed ? HEAD_SLICE : CHUNKED_SLICE;
    }
    if (entry.requests === 0) {
      return isPressed ? PRESSED_SLICE : HEAD_SLICE;
    }
    return isPressed || entry.requests >= limits.requestsEach ? 0 : HEAD_SLICE;
  }

  function getBodyBytesRead({ stream }: Guarded, { tcpBytesBefore }: OpenBody): number {
    return stream.tcp.bytesRead - stream.tcp.readableLength - tcpBytesBefore;
  }

  function requestTurn(stream: ConnectionStream, isNew: boolean): void {
    if (stream.destroyed || stream.tcp.readableLength === 0) {
      return;
    }
    if (getMaxBytes(stream) === 0) {
      blocked.add(stream);
    } else {
      turns.request(stream, isNew);
    }
  }

  /** Lets a connection go on whose answer is sent, and one of those that were held back by the requests of all. */
  function unblock(stream: ConnectionStream): void {
    const [first = stream] = blocked;
    blocked.delete(first);
    blocked.delete(stream);
    requestTurn(stream, false);
    if (first !== stream) {
      requestTurn(first, false);
    }
  }

  function setRequests(entry: Guarded, requests: number): void {
    requestsAhead -= countRequestsAhead(entry);
    Object.assign(entry, { requests });
    requestsAhead += countRequestsAhead(entry);
  }

  /** Notes what a connection holds; if that is too much for all together, the largest goes. */
  function update(
    entry: Guarded,
    change: Partial<Pick<ConnectionEntry, 'receivedBytes' | 'bodyBytes' | 'unreadBytes'>>,
  ): void {
    if (!guarded.has(entry.stream)) {
      return;
    }
    const before = getHeldBytes(entry);
    Object.assign(entry, change);
    heldBytes += getHeldBytes(entry) - before;
    if (before === 0) {
      Object.assign(entry, { heldSince: timers.now() });
    }
    if (entry.unreadBytes > 0) {
      startChecks();
    }
    while (heldBytes > limits.heldBytes) {
      const largest = findLargest(guarded.values(), timers.now());
      if (largest === null) {
        return;
      }
      endLargest(largest);
    }
  }

  function endLargest(entry: Guarded): void {
    if (entry.body !== null && entry.unreadBytes === 0 && entry.bodyBytes > 0) {
      onClosed(CloseReason.HeldBytes, getHeldBytes(entry));
      giveUpBody(entry, BodyEnd.Crowded);
    } else {
      end(entry, CloseReason.HeldBytes);
    }
  }

  /** Ends the reading of a body at once; its request is answered after that. */
  function giveUpBody(entry: Guarded, why: UnreadBodyEnd): void {
    const { body } = entry;
    Object.assign(entry, { body: null, isReadingBody: false });
    body?.reader.giveUp(why);
  }

  function setBodyBytes(entry: Guarded, request: GuardedRequest, bytes: number): void {
    const change = bytes - request.bodyBytes;
    Object.assign(request, { bodyBytes: bytes });
    update(entry, { bodyBytes: entry.bodyBytes + change });
  }

  function track(req: IncomingMessage, res: ServerResponse): void {
    const entry = guarded.get(req.socket as unknown as ConnectionStream);
    if (entry === undefined) {
      return;
    }
    setRequests(entry, entry.requests + 1);
    const request = { res, bodyBytes: 0 };
    tracked.set(req, request);
    res.once('close', () => {
      if (guarded.has(entry.stream)) {
        setRequests(entry, Math.max(0, entry.requests - 1));
        setBodyBytes(entry, request, 0);
        entry.progressAt = timers.now();
        unblock(entry.stream);
      }
    });
  }

  async function readBody(req: IncomingMessage, timeLeft: Millis | null): Promise<ReadBody> {
    const entry = guarded.get(req.socket as unknown as ConnectionStream);
    const request = tracked.get(req);
    const reader = startBodyReader(req, {
      maxBytes: options.getMaxBodyBytes(),
      onKept: (bytes) => {
        if (entry !== undefined && request !== undefined) {
          setBodyBytes(entry, request, bytes);
        }
      },
    });
    if (entry === undefined || request === undefined) {
      return reader.done;
    }
    const open: OpenBody = {
      reader,
      announced: getAnnouncedLength(req),
      tcpBytesBefore: entry.stream.tcp.bytesRead - entry.stream.tcp.readableLength,
      giveUpAt: timers.now() + (timeLeft ?? Infinity),
    };
    Object.assign(entry, { body: open, isReadingBody: true });
    startChecks();
    const body = await reader.done;
    // The next request of the connection may have begun to be read.
    if (entry.body === open) {
      Object.assign(entry, { body: null, isReadingBody: false });
    }
    if (body.end !== BodyEnd.Whole) {
      request.res.shouldKeepAlive = false;
    }
    return body;
  }

  /** Gives up the bodies and answers that stand still, for as long as there are any. */
  function check(): void {
    const now = timers.now();
    const standstill = options.getStandstillTime();
    let isNeeded = false;
    for (const entry of [...guarded.values()]) {
      const { body } = entry;
      const isStill = now - entry.progressAt > standstill && entry.receivedBytes === 0;
      isNeeded ||= body !== null || entry.unreadBytes > 0;
      if (body !== null && (isStill || now >= body.giveUpAt)) {
        onClosed(CloseReason.SlowBody, getHeldBytes(entry));
        giveUpBody(entry, BodyEnd.Late);
      } else if (entry.unreadBytes > 0 && isStill) {
        end(entry, CloseReason.UnreadAnswer);
      }
    }
    if (!isNeeded) {
      stop();
    }
  }

  function startChecks(): void {
    stopChecks ??= timers.registerInterval(CHECK_PERIOD, check);
  }

  function stop(): void {
    stopChecks?.();
    stopChecks = null;
  }

  function stopAccepting(): void {
    Reflect.apply(TcpServer.prototype.close, server, []);
    for (const entry of [...guarded.values()]) {
      if (!isAnswerDue(entry) && !entry.isClosing) {
        entry.stream.destroy();
      }
    }
  }

  /** Answers bytes that are no request, unless another answer is due before. */
  function refuseBadRequest(err: NodeJS.ErrnoException, socket: unknown): void {
    const entry = guarded.get(socket as ConnectionStream);
    if (entry === undefined || !entry.stream.writable || err.code === 'ECONNRESET') {
      entry?.stream.destroy();
      return;
    }
    if (err.code !== CUT_OFF) {
      onClosed(CloseReason.BadRequest, getHeldBytes(entry));
    }
    if (entry.body !== null) {
      const isSlow = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
      giveUpBody(entry, isSlow ? BodyEnd.Late : BodyEnd.Malformed);
    } else if (entry.requests > 0) {
      entry.stream.destroy();
    } else {
      entry.stream.write((options.writeBadRequest ?? writeBadRequest)(err));
      entry.stream.destroySoon();
    }
  }

  // The server's own listener gets the guarded stream in place of the TCP connection.
  const [serve = () => undefined] = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) =>
    accept(socket, (stream) => Reflect.apply(serve, server, [stream])),
  );
  server.prependListener('request', track);
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
    const announced = getAnnouncedLength(req);
    if (announced === null || announced <= options.getMaxBodyBytes()) {
      res.writeContinue();
    }
    server.emit('request', req, res);
  });
  server.on('clientError', refuseBadRequest);

  return {
    readBody,
    countConnections: () => guarded.size,
    getHeldBytes: () => heldBytes,
    countRequestsAhead: () => requestsAhead,
    stopAccepting,
    hasAnswersDue: () => [...guarded.values()].some(isAnswerDue),
    stop,
  };
}
