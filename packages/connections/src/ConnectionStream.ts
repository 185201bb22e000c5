/**
 * The connection of a client as its HTTP server sees it. It passes on the bytes of the TCP connection in slices, so that
 * a server which parses whatever it gets at once never gets many requests at once, and closes without losing an answer.
 */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { TurnTaker } from './ConnectionTurns.js';

/** What a stream needs of its guard. */
export interface StreamHost {
  now(): Millis;
  /** Maximum bytes that a stream may read now; 0 if it has to wait. */
  getMaxBytes(stream: ConnectionStream): number;
  /** Asks for a turn to read; `isNew` if the bytes have just come. */
  requestTurn(stream: ConnectionStream, isNew: boolean): void;
  /** Bytes were read, or written bytes were taken by the client. */
  onProgress(stream: ConnectionStream): void;
  /** The number of bytes that the stream holds has changed. */
  onHeld(stream: ConnectionStream): void;
  /** The stream only waits to be closed from now on. */
  onClosing(stream: ConnectionStream): void;
}

const MIN_SLICE = 64;
const MAX_SLICE = 65_536;
/** A slice that takes longer is followed by a shorter one, and one that takes less by a longer one. */
const LONG_SLICE_TIME: Millis = 0.8;
const SHORT_SLICE_TIME: Millis = 0.2;
/** After the last answer this much is read and dropped before the connection is closed, so that the answer isn't lost to a reset. */
const MAX_DROPPED_BYTES = 4 * 1024 * 1024;
const MAX_DROP_TIME: Millis = 3000;

type WriteCallback = (err?: Error | null) => void;

export class ConnectionStream extends Duplex implements TurnTaker {
  #slice = MAX_SLICE;

  #wantsBytes = false;

  #isClosing = false;

  #droppedBytes = 0;

  #dropTimer: NodeJS.Timeout | null = null;

  constructor(
    /** The TCP connection itself. */
    readonly tcp: Socket,
    private readonly host: StreamHost,
  ) {
    super({
      allowHalfOpen: true,
      // Holds no more than one slice while the server doesn't read.
      readableHighWaterMark: 1,
      writableHighWaterMark: tcp.writableHighWaterMark,
    });
    // Each request that waits for its answer listens for the end of its connection.
    this.setMaxListeners(0);
    tcp.on('readable', () => this.noteReadable());
    tcp.on('end', () => this.noteEnd());
    tcp.on('error', (err) => this.destroy(err));
    tcp.on('close', () => this.destroy());
    tcp.on('timeout', () => this.emit('timeout'));
  }

  get remoteAddress(): string | undefined {
    return this.tcp.remoteAddress;
  }

  get remotePort(): number | undefined {
    return this.tcp.remotePort;
  }

  /** Bytes of answers that the client has not taken yet. */
  get unreadBytes(): number {
    return this.writableLength;
  }

  isWaiting(): boolean {
    return (
      !this.destroyed &&
      !this.#isClosing &&
      this.#wantsBytes &&
      this.tcp.readableLength > 0 &&
      this.host.getMaxBytes(this) > 0
    );
  }

  readSlice(): void {
    if (!this.isWaiting()) {
      return;
    }
    const { tcp, host } = this;
    const startedAt = host.now();
    const size = Math.min(tcp.readableLength, this.#slice, host.getMaxBytes(this));
    const bytes = tcp.read(size) as Buffer | null;
    if (bytes === null) {
      return;
    }
    this.#wantsBytes = false;
    host.onProgress(this);
    this.push(bytes);
    this.adaptSlice(host.now() - startedAt);
    this.showEnd();
    host.onHeld(this);
  }

  setTimeout(time: Millis, listener?: () => void): this {
    this.tcp.setTimeout(time);
    if (listener !== undefined) {
      this.once('timeout', listener);
    }
    return this;
  }

  setNoDelay(isOn?: boolean): this {
    this.tcp.setNoDelay(isOn);
    return this;
  }

  setKeepAlive(isOn?: boolean, delay?: Millis): this {
    this.tcp.setKeepAlive(isOn, delay);
    return this;
  }

  /** Closes the connection at once, in a way that no client takes for a regular end. */
  resetAndDestroy(): this {
    this.tcp.resetAndDestroy();
    return this.destroy();
  }

  /**
   * Closes the connection once all that was written is sent. What the client still sends is read and dropped for a
   * while: a connection that is closed with bytes unread is reset, and its client may lose the answer.
   */
  destroySoon(): void {
    if (this.#isClosing || this.destroyed) {
      return;
    }
    this.#isClosing = true;
    this.host.onClosing(this);
    this.#dropTimer = setTimeout(() => this.destroy(), MAX_DROP_TIME);
    this.end();
    this.dropBytes();
  }

  override write(
    chunk: unknown,
    encoding?: BufferEncoding | WriteCallback,
    callback?: WriteCallback,
  ): boolean {
    const isTaken =
      typeof encoding === 'string'
        ? super.write(chunk, encoding, callback)
        : super.write(chunk, encoding ?? callback);
    if (this.writableLength > 0 && this.writableCorked === 0) {
      this.host.onHeld(this);
    }
    return isTaken;
  }

  override _read(): void {
    this.#wantsBytes = true;
    if (this.tcp.readableLength > 0) {
      this.host.requestTurn(this, false);
    }
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
    this.tcp.write(chunk, encoding, (err) => this.noteWritten(callback, err));
  }

  override _writev(
    chunks: readonly { readonly chunk: Buffer | string; readonly encoding: BufferEncoding }[],
    callback: WriteCallback,
  ): void {
    this.tcp.cork();
    chunks.forEach(({ chunk, encoding }, i) => {
      const isLast = i === chunks.length - 1;
      this.tcp.write(
        chunk,
        encoding,
        isLast ? (err) => this.noteWritten(callback, err) : undefined,
      );
    });
    this.tcp.uncork();
  }

  override _final(callback: WriteCallback): void {
    this.tcp.end(() => callback());
  }

  override _destroy(err: Error | null, callback: (err?: Error | null) => void): void {
    if (this.#dropTimer !== null) {
      clearTimeout(this.#dropTimer);
    }
    this.tcp.destroy();
    callback(err);
  }

  private noteWritten(callback: WriteCallback, err?: Error | null): void {
    callback(err);
    this.host.onProgress(this);
    this.host.onHeld(this);
  }

  private noteReadable(): void {
    if (this.#isClosing) {
      this.dropBytes();
      return;
    }
    if (this.tcp.readableLength === 0) {
      this.showEnd();
      return;
    }
    this.host.onHeld(this);
    if (this.#wantsBytes) {
      this.host.requestTurn(this, true);
    }
  }

  /** Lets the TCP connection tell its end, which it does only if something is read of it once it is empty. */
  private showEnd(): void {
    if (this.tcp.readableLength === 0) {
      this.tcp.read(0);
    }
  }

  private noteEnd(): void {
    if (this.#isClosing) {
      this.destroy();
    } else {
      this.push(null);
    }
  }

  /** Reads and drops what the client still sends; ends the connection if that is too much. */
  private dropBytes(): void {
    const bytes = this.tcp.read() as Buffer | null;
    this.#droppedBytes += bytes?.byteLength ?? 0;
    if (this.#droppedBytes > MAX_DROPPED_BYTES) {
      this.destroy();
    }
  }

  private adaptSlice(time: Millis): void {
    if (time > LONG_SLICE_TIME) {
      this.#slice = Math.max(MIN_SLICE, this.#slice / 2);
    } else if (time < SHORT_SLICE_TIME) {
      this.#slice = Math.min(MAX_SLICE, this.#slice * 2);
    }
  }
}

/** The TCP connection behind the socket of a request. */
export function getTcpSocket(socket: Socket | ConnectionStream): Socket {
  return socket instanceof ConnectionStream ? socket.tcp : socket;
}
