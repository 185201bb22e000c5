/**
 * Messages between instances over WebSocket. A peer must prove knowledge of the shared secret before any of
 * its messages is read. Messages are opaque here; the caller decodes them and drops malformed ones.
 */
import type { AddressInfo } from 'node:net';
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { WebSocket, WebSocketServer } from 'ws';
import type { RawData } from 'ws';
import type { HostPort, InstanceId, Millis } from '@skylarksail/core/CoreTypes';

const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
const HANDSHAKE_TIMEOUT_MS = 3000;
const NONCE_BYTES = 16;
/** Maximum number of messages queued per peer while its connection opens; gossip repeats dropped ones. */
const MAX_PENDING_MESSAGES = 256;
const PROOF_HEADER = 'x-peer-proof';
const NONCE_HEADER = 'x-peer-nonce';
const NAME_HEADER = 'x-peer-name';
const TIME_HEADER = 'x-peer-time';

/** Maximum clock difference between two instances; an older or newer proof is rejected as a replay. */
const MAX_CLOCK_SKEW_MS = 120_000;

export interface PeerLink {
  /** The listening port. */
  readonly port: number;
  /** Sends or queues a message; false if it was dropped. */
  send(address: HostPort, bytes: Uint8Array): boolean;
  /** Returns the counts since the start. */
  readCounts(): PeerCounts;
  close(): Promise<void>;
}

export interface PeerCounts {
  /** Bytes handed to open connections; a message that is dropped is not among them. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Messages that were dropped. */
  readonly dropped: number;
  /** Connections without a valid proof, and server errors. */
  readonly refused: number;
}

export interface PeerLinkOptions {
  readonly self: InstanceId;
  readonly listen: HostPort;
  readonly secret: string;
  readonly wallNow: () => Millis;
  readonly onMessage: (bytes: Uint8Array) => void;
  /** Called when an outgoing connection is refused or breaks, except while the link closes. */
  readonly onLost: (address: HostPort) => void;
}

/** Listens for peers, and connects to a peer when a message is sent to it. */
export async function startPeerLink(options: PeerLinkOptions): Promise<PeerLink> {
  const outgoing = new Map<string, WebSocket>();
  /**
   * Messages queued for connections that are still opening. With one 'open' listener per message, the
   * socket to an unreachable peer would have hundreds of them, and Node would warn of a leak.
   */
  const waiting = new Map<WebSocket, Uint8Array[]>();
  const seenNonces = new Map<string, Millis>();
  let sentBytes = 0;
  let receivedBytes = 0;
  let dropped = 0;
  let refused = 0;
  let isClosing = false;

  const server = new WebSocketServer({
    host: options.listen.host,
    port: options.listen.port,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
    verifyClient: ({
      req,
    }: {
      req: { headers: Record<string, string | string[] | undefined> };
    }) => {
      const isProven = isProofValid(req.headers, options, seenNonces);
      refused += isProven ? 0 : 1;
      return isProven;
    },
  });
  server.on('connection', (socket) => readFrom(socket));
  server.on('error', () => {
    refused += 1;
  });
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve);
    server.once('error', reject);
  });

  function readFrom(socket: WebSocket): void {
    socket.on('error', () => socket.terminate());
    socket.on('message', (data: RawData) => {
      const bytes = data as Buffer;
      receivedBytes += bytes.byteLength;
      options.onMessage(bytes);
    });
  }

  function connect(address: HostPort, name: string): WebSocket {
    const socket = new WebSocket(`ws://${name}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      headers: createProof(options),
    });
    outgoing.set(name, socket);
    readFrom(socket);
    waiting.set(socket, []);
    socket.once('open', () => {
      waiting.get(socket)?.forEach((bytes) => transmit(socket, bytes));
      waiting.delete(socket);
    });
    socket.on('close', () => {
      dropped += waiting.get(socket)?.length ?? 0;
      waiting.delete(socket);
      if (outgoing.get(name) === socket) {
        outgoing.delete(name);
      }
      if (!isClosing) {
        options.onLost(address);
      }
    });
    return socket;
  }

  function transmit(socket: WebSocket, bytes: Uint8Array): void {
    sentBytes += bytes.byteLength;
    socket.send(bytes);
  }

  return {
    port: (server.address() as AddressInfo).port,
    send(address, bytes) {
      const name = `${address.host}:${address.port}`;
      const socket = outgoing.get(name) ?? connect(address, name);
      if (socket.bufferedAmount > MAX_QUEUED_BYTES) {
        dropped += 1;
        return false;
      }
      if (socket.readyState === WebSocket.OPEN) {
        transmit(socket, bytes);
      } else if ((waiting.get(socket)?.length ?? MAX_PENDING_MESSAGES) < MAX_PENDING_MESSAGES) {
        waiting.get(socket)?.push(bytes);
      } else {
        dropped += 1;
        return false;
      }
      return true;
    },
    readCounts: () => ({ sentBytes, receivedBytes, dropped, refused }),
    async close() {
      isClosing = true;
      outgoing.forEach((socket) => socket.terminate());
      server.clients.forEach((socket) => socket.terminate());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}

function computeProof(secret: string, name: string, time: string, nonce: string): Buffer {
  return createHmac('sha256', secret).update(`${name}\n${time}\n${nonce}`).digest();
}

function createProof(options: PeerLinkOptions): Record<string, string> {
  const time = String(options.wallNow());
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  return {
    [NAME_HEADER]: options.self,
    [TIME_HEADER]: time,
    [NONCE_HEADER]: nonce,
    [PROOF_HEADER]: computeProof(options.secret, options.self, time, nonce).toString('hex'),
  };
}

/**
 * Prevents replays: somebody who captured a proof could otherwise send it again and pose as a peer. The
 * time limits how long a proof is valid, and its nonce is accepted once within that time.
 */
function isProofValid(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  options: PeerLinkOptions,
  seenNonces: Map<string, Millis>,
): boolean {
  const [name, time, nonce, proof] = [NAME_HEADER, TIME_HEADER, NONCE_HEADER, PROOF_HEADER].map(
    (header) => String(headers[header] ?? ''),
  ) as [string, string, string, string];
  const now = options.wallNow();
  seenNonces.forEach((at, seen) => {
    if (Math.abs(now - at) > MAX_CLOCK_SKEW_MS) {
      seenNonces.delete(seen);
    }
  });
  const given = Buffer.from(proof, 'hex');
  const expected = computeProof(options.secret, name, time, nonce);
  const isFresh = Math.abs(now - Number(time)) <= MAX_CLOCK_SKEW_MS && !seenNonces.has(nonce);
  if (!isFresh || given.length !== expected.length || !timingSafeEqual(given, expected)) {
    return false;
  }
  seenNonces.set(nonce, Number(time));
  return true;
}
