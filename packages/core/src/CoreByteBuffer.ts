/**
 * Collects bytes that come in pieces. They are copied as they come: a piece that is kept as it is costs some hundred bytes,
 * whatever its size, and keeps the whole read alive to which it belongs.
 */

export interface ByteBuffer {
  readonly length: number;
  /** Memory that it takes, in bytes. */
  readonly capacity: number;
  /** Copies a piece; false if it takes no more. */
  append(piece: Uint8Array): boolean;
  /** What was collected; valid until the next piece. */
  getBytes(): Buffer;
  /** Lets go of all. */
  clear(): void;
}

export interface ByteBufferOptions {
  readonly maxBytes: number;
  /** Length that is announced; no more than this is taken ahead of need. */
  readonly expectedBytes?: number;
  /** Maximum pieces, each of which takes processor time. */
  readonly maxPieces?: number;
}

const FIRST_CAPACITY = 1024;

export function createByteBuffer({
  maxBytes,
  expectedBytes = maxBytes,
  maxPieces = Infinity,
}: ByteBufferOptions): ByteBuffer {
  let kept: Buffer = Buffer.alloc(0);
  let length = 0;
  let pieces = 0;

  /** Doubles, so that few bytes are copied twice, but takes no more than can be needed. */
  function grow(needed: number): void {
    const doubled = Math.max(FIRST_CAPACITY, kept.byteLength * 2);
    const grown = Buffer.allocUnsafeSlow(Math.max(needed, Math.min(expectedBytes, doubled)));
    kept.copy(grown, 0, 0, length);
    kept = grown;
  }

  return {
    get length() {
      return length;
    },
    get capacity() {
      return kept.byteLength;
    },
    append(piece) {
      const needed = length + piece.byteLength;
      pieces += 1;
      if (needed > maxBytes || pieces > maxPieces) {
        return false;
      }
      if (needed > kept.byteLength) {
        grow(needed);
      }
      kept.set(piece, length);
      length = needed;
      return true;
    },
    getBytes: () => kept.subarray(0, length),
    clear() {
      kept = Buffer.alloc(0);
      length = 0;
    },
  };
}
