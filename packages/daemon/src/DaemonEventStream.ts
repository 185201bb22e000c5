/** Writes server-sent events no faster than the caller reads them. */
import type { ServerResponse } from 'node:http';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** A caller that reads nothing for this long is taken to be gone. */
const STALL_TIMEOUT: Millis = 30_000;
/** Characters after which a write takes no further event; bounds what one stream has rendered. */
const WRITE_CHARACTERS = 16 * 1024;

export interface EventStream {
  /** Writes the event made by `render`, with others of this turn, or once the caller has read enough. */
  write(render: () => string): void;
  /** Ends the stream after what is still to be written. */
  end(render: () => string): void;
}

/**
 * A caller may read more slowly than engines generate, and its unread events would pile up in our
 * memory. What waits here is what renders the events: the tokens, which the router holds in any case
 * until the answer is complete. At most one rendered buffer a stream waits in the socket.
 */
export function createEventStream(raw: ServerResponse, timers: TimerService): EventStream {
  let waiting: (() => string)[] = [];
  let isBlocked = false;
  let isFlushDue = false;
  let renderEnd: (() => string) | null = null;
  let cancelStall: Unregister = () => undefined;

  raw.on('drain', () => {
    cancelStall();
    isBlocked = false;
    flush();
  });
  raw.once('close', () => {
    cancelStall();
    waiting = [];
  });

  /** Renders some of what waits, so that one write carries the tokens of one read. */
  function renderNext(): string {
    let text = '';
    let taken = 0;
    while (taken < waiting.length && text.length < WRITE_CHARACTERS) {
      text += (waiting[taken] as () => string)();
      taken += 1;
    }
    waiting = taken === waiting.length ? [] : waiting.slice(taken);
    return text;
  }

  function flush(): void {
    while (!isBlocked && waiting.length > 0) {
      const text = renderNext();
      if (text !== '' && !raw.write(text)) {
        block();
      }
    }
    if (!isBlocked && renderEnd) {
      raw.end(renderEnd());
      renderEnd = null;
    }
  }

  function flushLater(): void {
    if (isFlushDue) {
      return;
    }
    isFlushDue = true;
    queueMicrotask(() => {
      isFlushDue = false;
      if (!raw.destroyed) {
        flush();
      }
    });
  }

  function block(): void {
    isBlocked = true;
    cancelStall = timers.registerTimeout(STALL_TIMEOUT, () => {
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
        flushLater();
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
