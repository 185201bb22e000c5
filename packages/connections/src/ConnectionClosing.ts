/**
 * Closes the connections of clients in a planned stop: the last answer of each says so. Whether an answer is the last one is
 * decided as its head is written, as more requests may come on its connection until then. None is taken after that: its
 * answer could not be sent.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

export interface ConnectionClosing {
  /**
   * Takes a request that was just read; false if an answer before it has said that its connection closes. Such a request
   * must not be served, and gets no answer.
   */
  take(req: IncomingMessage, res: ServerResponse): boolean;
  /** Whether no request behind that of a response was taken from its connection. */
  isLast(res: ServerResponse): boolean;
  /** From now on, the last answer of each connection says that it closes. */
  start(): void;
}

export function createConnectionClosing(): ConnectionClosing {
  const lastResponses = new WeakMap<object, ServerResponse>();
  const closing = new WeakSet<object>();
  let isStarted = false;

  function isLast(res: ServerResponse): boolean {
    return lastResponses.get(res.req.socket) === res;
  }

  function decide(res: ServerResponse): void {
    const { socket } = res.req;
    if (!isLast(res)) {
      res.shouldKeepAlive = true;
    } else if (isStarted) {
      res.shouldKeepAlive = false;
    }
    if (!res.shouldKeepAlive) {
      closing.add(socket);
    }
  }

  /** The head of every response is written by this method, whichever is called to send it. */
  function decideWithHead(res: ServerResponse): void {
    const { writeHead } = res;
    res.writeHead = (...args: unknown[]) => {
      decide(res);
      return Reflect.apply(writeHead, res, args) as typeof res;
    };
  }

  return {
    take({ socket }, res) {
      if (closing.has(socket)) {
        return false;
      }
      lastResponses.set(socket, res);
      decideWithHead(res);
      return true;
    },
    isLast,
    start() {
      isStarted = true;
    },
  };
}
