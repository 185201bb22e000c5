/**
 * Cooperative scheduling of long computations. Validating and splitting 47,000 teams takes about a
 * second. Without interruptions it would block the event loop and stall every stream of the instance
 * that handles the submission.
 */

/** A computation that yields where it may be interrupted. */
export type SlicedWork<T> = Generator<void, T, void>;

/** Number of teams or leaves processed between two interruptions; this takes a few milliseconds. */
export const SLICE_LENGTH = 256;

/** Lets other tasks of the event loop run. */
export type Pause = () => Promise<void>;

/** Runs the computation without interruption. */
export function runSynchronously<T>(work: SlicedWork<T>): T {
  for (;;) {
    const step = work.next();
    if (step.done) {
      return step.value;
    }
  }
}

/** Runs the computation and pauses wherever it yields. */
export async function runInSlices<T>(work: SlicedWork<T>, pause: Pause): Promise<T> {
  for (;;) {
    const step = work.next();
    if (step.done) {
      return step.value;
    }
    await pause();
  }
}

/** Maps elements and yields after each slice. */
export function* mapInSlices<T, R>(
  elements: readonly T[],
  convert: (element: T, i: number) => R,
): SlicedWork<R[]> {
  const results: R[] = [];
  for (const [i, element] of elements.entries()) {
    results.push(convert(element, i));
    if (i % SLICE_LENGTH === SLICE_LENGTH - 1) {
      yield;
    }
  }
  return results;
}
