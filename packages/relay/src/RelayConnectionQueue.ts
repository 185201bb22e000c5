/**
 * Bounds the exchanges that are open to a server at once to the number of its connections. A request whose connection is
 * still in use waits here and not in the HTTP client, which would send it
 * later with the headers that it was given, and so with a deadline that has moved.
 */

export interface ConnectionQueue {
  /** Calls `start` when an exchange to the address may be opened; the returned function withdraws it while it waits. */
  enter(address: string, start: () => void): () => void;
  /** An exchange that was started has ended. */
  leave(address: string): void;
}

/** `getMaxOpen`: number of connections to an address. */
export function createConnectionQueue(getMaxOpen: (address: string) => number): ConnectionQueue {
  /** Number of open exchanges, by address. */
  const open = new Map<string, number>();
  const waiting = new Map<string, Set<() => void>>();

  function addOpen(address: string, change: number): void {
    const count = (open.get(address) ?? 0) + change;
    if (count > 0) {
      open.set(address, count);
    } else {
      open.delete(address);
    }
  }

  function withdraw(address: string, start: () => void): void {
    const starts = waiting.get(address);
    starts?.delete(start);
    if (starts?.size === 0) {
      waiting.delete(address);
    }
  }

  function startNext(address: string): void {
    const max = getMaxOpen(address);
    for (const start of waiting.get(address) ?? []) {
      if ((open.get(address) ?? 0) >= max) {
        return;
      }
      withdraw(address, start);
      addOpen(address, 1);
      start();
    }
  }

  return {
    enter(address, start) {
      // Two requests may share a function.
      const entry = (): void => start();
      waiting.set(address, (waiting.get(address) ?? new Set()).add(entry));
      startNext(address);
      return () => withdraw(address, entry);
    },
    leave(address) {
      addOpen(address, -1);
      startNext(address);
    },
  };
}
