/** Runs posted work items in order, one at a time, so that no state machine is re-entered during its own step. */

/** Posts a work item; it runs at once unless another item is running. */
export type PostWork = (work: () => void) => void;

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
