/** Writes server-sent events no faster than the caller reads them. */
import type { ServerResponse } from 'node:http';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** A caller that reads nothing for this long is taken to be gone. */
const STALL_TIMEOUT: Millis = 30_000;

export interface EventStream {
  /** Writes the event made by `render`, now or once the caller has read enough. */
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

  function flush(): void {
    const taken = waiting;
    let next = 0;
    while (!isBlocked && next < taken.length) {
      const text = (taken[next] as () => string)();
      next += 1;
      if (text !== '' && !raw.write(text)) {
        block();
      }
    }
    waiting = next === taken.length ? [] : taken.slice(next);
    if (!isBlocked && renderEnd) {
      raw.end(renderEnd());
      renderEnd = null;
    }
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
        flush();
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
