/**
 * Where log lines go: a bounded buffer in front of a file descriptor. A reader that stops reading costs
 * lines and never requests; lines of the ordinary course go first, so that those of a failure are kept.
 */
import { write } from 'node:fs';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** Writes bytes, and tells how many were written. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Lines that were dropped. */
export interface DroppedLines {
  /** Up to level info. */
  readonly ordinary: number;
  /** Above it. */
  readonly unusual: number;
}

export interface LogSink {
  /** Level of the line that is written next; the logger sets it. */
  lastLevel: number;
  write(line: string): void;
  /** Begins to write what waits. It blocks nothing, so the process ends a moment later. */
  flush(): void;
  getDropped(): DroppedLines;
  /** Calls the listener once lines flow again after some were dropped. */
  registerDropListener(listener: (dropped: DroppedLines) => void): Unregister;
}

/** The logger's level info. */
const INFO = 30;
/** A write costs a system call: lines wait for each other so long, or until there are so many bytes. */
const BATCH_BYTES = 4096;
const BATCH_TIME: Millis = 200;
/** A fiftieth of the memory that the smallest instance has (250 MB); some 20,000 lines. */
const MOST_BYTES = 5_000_000;
/** Part of it that ordinary lines may fill. */
const ORDINARY_SHARE = 0.5;
/** Wait before a descriptor that takes nothing now is tried again. */
const BUSY_PAUSE: Millis = 50;

/** The logger tells the level of a line to a stream that has this mark. */
const METADATA = Symbol.for('pino.metadata');

export function createLogSink(writeBytes: WriteBytes): LogSink {
  const listeners = new Set<(dropped: DroppedLines) => void>();
  let lines: string[] = [];
  let bytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  let dropped: DroppedLines = { ordinary: 0, unusual: 0 };
  let told = 0;

  function drop(isOrdinary: boolean, count = 1): void {
    const { ordinary, unusual } = dropped;
    dropped = isOrdinary
      ? { ordinary: ordinary + count, unusual }
      : { ordinary, unusual: unusual + count };
  }

  function start(): void {
    if (timer !== null) {
      clearTimeout(timer);
      timer = null;
    }
    if (!isWriting && lines.length > 0) {
      isWriting = true;
      const batch = Buffer.from(lines.join(''));
      lines = [];
      bytes = batch.byteLength;
      writeRest(batch);
    }
  }

  function writeRest(rest: Uint8Array): void {
    writeBytes(rest, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => writeRest(rest), BUSY_PAUSE).unref();
      } else if (err !== null) {
        // The reader is gone: what was meant for it is lost, and later lines find out for themselves.
        drop(false);
        finish(rest.byteLength);
      } else if (written < rest.byteLength) {
        bytes -= written;
        writeRest(rest.subarray(written));
      } else {
        finish(written);
      }
    });
  }

  function finish(written: number): void {
    isWriting = false;
    bytes -= written;
    const total = dropped.ordinary + dropped.unusual;
    if (total > told) {
      told = total;
      listeners.forEach((listener) => listener(dropped));
    }
    schedule();
  }

  function schedule(): void {
    if (isWriting || lines.length === 0) {
      return;
    }
    if (bytes >= BATCH_BYTES) {
      start();
    } else {
      timer ??= setTimeout(start, BATCH_TIME).unref();
    }
  }

  const sink: LogSink = {
    lastLevel: INFO,
    write(line) {
      const isOrdinary = sink.lastLevel <= INFO;
      const most = isOrdinary ? ORDINARY_SHARE * MOST_BYTES : MOST_BYTES;
      if (bytes + line.length > most) {
        drop(isOrdinary);
        return;
      }
      lines.push(line);
      bytes += line.length;
      schedule();
    },
    flush: start,
    getDropped: () => dropped,
    registerDropListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  return Object.assign(sink, { [METADATA]: true });
}

/** Writes to an open descriptor of this process, such as 1 for standard output. */
export function createDescriptorWriter(descriptor: number): WriteBytes {
  return (bytes, done) => write(descriptor, bytes, done);
}
