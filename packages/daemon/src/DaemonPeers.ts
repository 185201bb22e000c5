/**
 * Messages between instances over ws. A peer proves the shared secret before any message of its is
 * read; what the bytes mean is for the packages above, which count and drop garbage.
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
/** Messages to one peer that wait for its connection; gossip repeats what is dropped. */
const MAX_WAITING = 256;
const PROOF_HEADER = 'x-peer-proof';
const NONCE_HEADER = 'x-peer-nonce';
const NAME_HEADER = 'x-peer-name';
const TIME_HEADER = 'x-peer-time';

/** How much the clocks of two instances may differ before a proof is taken for a replay. */
const MAX_CLOCK_SKEW_MS = 120_000;

export interface PeerLink {
  /** The port that it listens on. */
  readonly port: number;
  /** Sends if it can; false if the message was dropped. */
  send(address: HostPort, bytes: Uint8Array): boolean;
  /** Bytes sent and received since the start, and messages dropped. */
  readCounts(): PeerCounts;
  close(): Promise<void>;
}

export interface PeerCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly dropped: number;
  readonly refused: number;
}

export interface PeerLinkOptions {
  readonly self: InstanceId;
  readonly listen: HostPort;
  readonly secret: string;
  readonly wallNow: () => Millis;
  readonly onMessage: (bytes: Uint8Array) => void;
  /** A connection that we dialled was refused or broke, while the link is not being closed. */
  readonly onLost: (address: HostPort) => void;
}

/** Starts listening for peers and dials them as messages are sent. */
export async function startPeerLink(options: PeerLinkOptions): Promise<PeerLink> {
  const dialled = new Map<string, WebSocket>();
  /**
   * What waits for connections that are being made. A listener for each message would be one for each
   * of the hundreds that a lost peer is sent, which Node takes for a leak.
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

  function dial(address: HostPort, name: string): WebSocket {
    const socket = new WebSocket(`ws://${name}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      headers: createProof(options),
    });
    dialled.set(name, socket);
    readFrom(socket);
    waiting.set(socket, []);
    socket.once('open', () => {
      waiting.get(socket)?.forEach((bytes) => socket.send(bytes));
      waiting.delete(socket);
    });
    socket.on('close', () => {
      dropped += waiting.get(socket)?.length ?? 0;
      waiting.delete(socket);
      if (dialled.get(name) === socket) {
        dialled.delete(name);
      }
      if (!isClosing) {
        options.onLost(address);
      }
    });
    return socket;
  }

  return {
    port: (server.address() as AddressInfo).port,
    send(address, bytes) {
      const name = `${address.host}:${address.port}`;
      const socket = dialled.get(name) ?? dial(address, name);
      if (socket.bufferedAmount > MAX_QUEUED_BYTES) {
        dropped += 1;
        return false;
      }
      sentBytes += bytes.byteLength;
      if (socket.readyState === WebSocket.OPEN) {
        socket.send(bytes);
      } else if ((waiting.get(socket)?.length ?? MAX_WAITING) < MAX_WAITING) {
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
      dialled.forEach((socket) => socket.terminate());
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
 * A proof seen on the wire could be sent again by somebody else, who would then be taken for a peer.
 * The time bounds how long a proof is good, and within that time its nonce is taken once.
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
