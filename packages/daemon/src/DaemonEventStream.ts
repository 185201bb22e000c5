/** Writes server-sent events with backpressure from the caller. */
import type { ServerResponse } from 'node:http';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** A caller that reads nothing for this long is considered disconnected. */
const STALL_TIMEOUT: Millis = 30_000;
/** A write of this size takes no further event, which bounds the rendered text per stream. */
const MAX_WRITE_CHARACTERS = 16 * 1024;

export interface EventStream {
  /**
   * Queues an event. It is written together with the other events of this turn of the event loop,
   * or when the caller has read enough.
   */
  write(render: () => string): void;
  /** Ends the stream after the queued events. */
  end(render: () => string): void;
}

/**
 * A caller may read more slowly than engines generate, and its rendered events would then
 * accumulate in memory. So the queue holds the functions that render the events: these refer only
 * to the tokens, which the router keeps anyway until the answer is complete. At most one rendered
 * buffer per stream waits in the socket.
 */
export function createEventStream(raw: ServerResponse, timers: TimerService): EventStream {
  let waiting: (() => string)[] = [];
  let isBlocked = false;
  let isFlushScheduled = false;
  let renderEnd: (() => string) | null = null;
  let cancelStallTimeout: Unregister = () => undefined;

  raw.on('drain', () => {
    cancelStallTimeout();
    isBlocked = false;
    flush();
  });
  raw.once('close', () => {
    cancelStallTimeout();
    waiting = [];
  });

  /** Renders several queued events, so that one write carries all tokens that came in one read. */
  function renderNext(): string {
    let text = '';
    let renderedCount = 0;
    while (renderedCount < waiting.length && text.length < MAX_WRITE_CHARACTERS) {
      text += (waiting[renderedCount] as () => string)();
      renderedCount += 1;
    }
    waiting = renderedCount === waiting.length ? [] : waiting.slice(renderedCount);
    return text;
  }

  function flush(): void {
    while (!isBlocked && waiting.length > 0) {
      const text = renderNext();
      if (text !== '' && !raw.write(text)) {
        pauseWrites();
      }
    }
    if (!isBlocked && renderEnd) {
      raw.end(renderEnd());
      renderEnd = null;
    }
  }

  function scheduleFlush(): void {
    if (isFlushScheduled) {
      return;
    }
    isFlushScheduled = true;
    queueMicrotask(() => {
      isFlushScheduled = false;
      if (!raw.destroyed) {
        flush();
      }
    });
  }

  function pauseWrites(): void {
    isBlocked = true;
    cancelStallTimeout = timers.registerTimeout(STALL_TIMEOUT, () => {
      raw.destroy();
    });
  }

  return {
    write(render) {
      if (raw.destroyed) {
        return;
      }
      waiting.push(render);
      if (!isBlocked) {
        scheduleFlush();
      }
    },
    end(render) {
      renderEnd = render;
      if (!isBlocked && !raw.destroyed) {
        flush();
      }
    },
  };
}
