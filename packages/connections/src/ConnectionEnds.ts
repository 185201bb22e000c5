/**
 * Tells how connections to servers end. The HTTP client treats any end as the regular one of a response without a length, so
 * that the truncated response of a crashed server looks complete.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Servers ignore one before a request. */
const EMPTY_LINE = '\r\n';

export interface EndWatch {
  /** Opens the connections that are watched. */
  readonly connect: buildConnector.connector;
  /** Whether the response that ends now ends with a reset of its connection; valid within the event of its end. */
  readonly isEndedByReset: () => boolean;
}

/** `timeout` is that of connecting. */
export function createEndWatch(timeout: Millis): EndWatch {
  // With half-open connections, one whose peer has closed it can still be written to, which `wasReset` does.
  const openConnection = buildConnector({ timeout, allowHalfOpen: true });
  let isResetInProgress = false;
  let endingSocket: Socket | null = null;

  /** The client's own listeners run after these, within the same event. */
  function watch(socket: Socket): void {
    socket.on('error', () => {
      isResetInProgress = true;
      process.nextTick(() => {
        isResetInProgress = false;
      });
    });
    socket.on('end', () => {
      endingSocket = socket;
      process.nextTick(() => {
        endingSocket = null;
      });
    });
  }

  return {
    connect(target, done) {
      openConnection(target, (...outcome) => {
        const [, socket] = outcome;
        if (socket) {
          watch(socket);
        }
        done(...outcome);
      });
    },
    isEndedByReset: () => isResetInProgress || (endingSocket !== null && wasReset(endingSocket)),
  };
}

/**
 * Whether a connection whose end was read has been reset. If the reset arrives together with the last bytes, Node.js
 * reports a regular end. A connection that was reset has no peer any more; the system is asked for its address here for the
 * first time. The write tells where it still names one, but not while a request is being sent: it would only be queued.
 * Nothing else may be sent on the connection.
 */
function wasReset(socket: Socket): boolean {
  if (socket.remoteAddress === undefined) {
    return true;
  }
  socket.write(EMPTY_LINE);
  return socket.errored !== null;
}
