/** Reads the bodies of requests into memory that is counted as it is kept. */
import type { IncomingMessage } from 'node:http';
import { createByteBuffer } from '@skylarksail/core/CoreByteBuffer';

/** How the reading of a body ended. */
export const BodyEnd = {
  Whole: 'whole',
  TooLarge: 'too-large',
  /** Its caller left. */
  Left: 'left',
  /** It did not arrive within the time that its caller waits, or stood still. */
  Late: 'late',
  /** All callers together hold too much, and this one the most. */
  Crowded: 'crowded',
  /** Its chunks can't be read. */
  Malformed: 'malformed',
} as const;

/** A value of `BodyEnd`. */
export type BodyEndName = (typeof BodyEnd)[keyof typeof BodyEnd];

/** Why a body was not read to its end. */
export type UnreadBodyEnd = Exclude<BodyEndName, typeof BodyEnd.Whole>;

/** A body, or the reason why there is none. */
export type ReadBody =
  { readonly end: typeof BodyEnd.Whole; readonly bytes: Buffer } | { readonly end: UnreadBodyEnd };

export interface BodyReader {
  /** Resolves once the body is whole or given up. */
  readonly done: Promise<ReadBody>;
  /** Ends the reading, unless it has ended; what was kept is let go. */
  giveUp(end: UnreadBodyEnd): void;
}

export interface BodyReaderOptions {
  readonly maxBytes: number;
  /** The memory that the body takes has changed, in bytes. */
  readonly onKept: (bytes: number) => void;
}

/** Length that a request announces; null if it announces none. */
export function getAnnouncedLength({ headers }: Pick<IncomingMessage, 'headers'>): number | null {
  const length = headers['content-length'];
  return length === undefined ? null : Number(length);
}

/** Whether a request has a body, by its head. */
export function hasBody({ headers }: Pick<IncomingMessage, 'headers'>): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Starts to read a body. */
export function startBodyReader(
  req: IncomingMessage,
  { maxBytes, onKept }: BodyReaderOptions,
): BodyReader {
  const announced = getAnnouncedLength(req);
  const buffer = createByteBuffer({ maxBytes, expectedBytes: announced ?? maxBytes });
  let isOver = false;
  let settle: (body: ReadBody) => void = () => undefined;
  const done = new Promise<ReadBody>((resolve) => {
    settle = resolve;
  });

  function finish(body: ReadBody): void {
    if (isOver) {
      return;
    }
    isOver = true;
    req.off('data', take);
    if (body.end !== BodyEnd.Whole) {
      buffer.clear();
      onKept(0);
      req.resume();
    }
    settle(body);
  }

  function take(piece: Buffer): void {
    const { capacity } = buffer;
    if (!buffer.append(piece)) {
      finish({ end: BodyEnd.TooLarge });
    } else if (buffer.capacity !== capacity) {
      onKept(buffer.capacity);
    }
  }

  req.on('error', () => finish({ end: BodyEnd.Left }));
  req.on('close', () => finish({ end: BodyEnd.Left }));
  if (announced !== null && announced > maxBytes) {
    finish({ end: BodyEnd.TooLarge });
  } else {
    req.on('end', () => finish({ end: BodyEnd.Whole, bytes: buffer.getBytes() }));
    req.on('data', take);
  }
  return { done, giveUp: (end) => finish({ end }) };
}
