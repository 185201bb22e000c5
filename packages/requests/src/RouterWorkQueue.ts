/** Runs posted work in order, one piece at a time, so that no state is stepped inside its own step. */

/** Posts a piece of work; it runs at once unless another piece is running. */
export type PostWork = (work: () => void) => void;

/** Creates an empty queue of work. */
export function createWorkQueue(): PostWork {
  const queue: (() => void)[] = [];
  let isRunning = false;
  return (work) => {
    queue.push(work);
    if (isRunning) {
      return;
    }
    isRunning = true;
    try {
      for (let next = queue.shift(); next; next = queue.shift()) {
        next();
      }
    } finally {
      isRunning = false;
    }
  };
}
