/**
 * Long work in slices. Checking and cutting 47,000 teams takes about a second; done in one go on the one
 * loop, it would show as a gap in every stream of the instance that takes a submission.
 */

/** Work that yields where it may be interrupted. */
export type SlicedWork<T> = Generator<void, T, void>;

/** Teams, or leaves, that are worked on between two interruptions: a few milliseconds. */
export const SLICE_LENGTH = 256;

/** Lets other work of the loop run. */
export type Pause = () => Promise<void>;

/** Does the work in one go. */
export function runSynchronously<T>(work: SlicedWork<T>): T {
  for (;;) {
    const step = work.next();
    if (step.done) {
      return step.value;
    }
  }
}

/** Does the work with a pause wherever it yields. */
export async function runInSlices<T>(work: SlicedWork<T>, pause: Pause): Promise<T> {
  for (;;) {
    const step = work.next();
    if (step.done) {
      return step.value;
    }
    await pause();
  }
}

/** Maps elements, yielding after each slice. */
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
