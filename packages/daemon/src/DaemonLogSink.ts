/**
 * Destination of log lines: a bounded buffer in front of a file descriptor. If the reader stops, lines are
 * dropped and requests are not delayed; lines up to level info are dropped first, to keep those of failures.
 */
import { write } from 'node:fs';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** Writes bytes, possibly not all of them, and passes the number written to the callback. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Number of dropped lines by level. */
export interface DroppedLines {
  /** Lines up to level info. */
  readonly ordinary: number;
  /** Lines above level info. */
  readonly unusual: number;
}

export interface LogSink {
  /** Level of the next line to be written; set by the logger. */
  lastLevel: number;
  write(line: string): void;
  /** Starts writing the buffered lines. It does not block, so the process must not exit at once. */
  flush(): void;
  getDropped(): DroppedLines;
  /** Registers a listener that is called at the end of the first batch after lines were dropped. */
  registerDropListener(listener: (dropped: DroppedLines) => void): Unregister;
}

/** Numeric level info of pino. */
const INFO_LEVEL = 30;
/** Lines are batched up to this size or delay, since each write costs a system call. */
const BATCH_BYTES = 4096;
const BATCH_DELAY: Millis = 200;
/** One fiftieth of the memory of the smallest instance (250 MB); about 20,000 lines. */
const MAX_BUFFERED_BYTES = 5_000_000;
/** Share of the buffer that lines up to level info may fill. */
const ORDINARY_SHARE = 0.5;
/** Delay before a write is retried after EAGAIN. */
const BUSY_RETRY_DELAY: Millis = 50;

/** pino sets `lastLevel` on streams that have this symbol. */
const PINO_METADATA = Symbol.for('pino.metadata');

export function createLogSink(writeBytes: WriteBytes): LogSink {
  const listeners = new Set<(dropped: DroppedLines) => void>();
  let lines: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  let dropped: DroppedLines = { ordinary: 0, unusual: 0 };
  let reportedDrops = 0;

  function countDropped(isOrdinary: boolean, count = 1): void {
    const { ordinary, unusual } = dropped;
    dropped = isOrdinary
      ? { ordinary: ordinary + count, unusual }
      : { ordinary, unusual: unusual + count };
  }

  function writeBatch(): void {
    if (timer !== null) {
      clearTimeout(timer);
      timer = null;
    }
    if (!isWriting && lines.length > 0) {
      isWriting = true;
      const batch = Buffer.from(lines.join(''));
      lines = [];
      bufferedBytes = batch.byteLength;
      writeRest(batch);
    }
  }

  function writeRest(rest: Uint8Array): void {
    writeBytes(rest, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => writeRest(rest), BUSY_RETRY_DELAY).unref();
      } else if (err !== null) {
        // The write failed: this batch is lost (counted as one line); later batches are still written.
        countDropped(false);
        finishBatch(rest.byteLength);
      } else if (written < rest.byteLength) {
        bufferedBytes -= written;
        writeRest(rest.subarray(written));
      } else {
        finishBatch(written);
      }
    });
  }

  function finishBatch(written: number): void {
    isWriting = false;
    bufferedBytes -= written;
    const total = dropped.ordinary + dropped.unusual;
    if (total > reportedDrops) {
      reportedDrops = total;
      listeners.forEach((listener) => listener(dropped));
    }
    schedule();
  }

  function schedule(): void {
    if (isWriting || lines.length === 0) {
      return;
    }
    if (bufferedBytes >= BATCH_BYTES) {
      writeBatch();
    } else {
      timer ??= setTimeout(writeBatch, BATCH_DELAY).unref();
    }
  }

  const sink: LogSink = {
    lastLevel: INFO_LEVEL,
    write(line) {
      const isOrdinary = sink.lastLevel <= INFO_LEVEL;
      const maxBytes = isOrdinary ? ORDINARY_SHARE * MAX_BUFFERED_BYTES : MAX_BUFFERED_BYTES;
      if (bufferedBytes + line.length > maxBytes) {
        countDropped(isOrdinary);
        return;
      }
      lines.push(line);
      bufferedBytes += line.length;
      schedule();
    },
    flush: writeBatch,
    getDropped: () => dropped,
    registerDropListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  return Object.assign(sink, { [PINO_METADATA]: true });
}

/** Creates a writer to an open file descriptor of this process, such as 1 for standard output. */
export function createDescriptorWriter(descriptor: number): WriteBytes {
  return (bytes, done) => write(descriptor, bytes, done);
}
