/** Seeded random numbers. The source is passed as a parameter so that a run can be reproduced. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** Returns a number in [0, 1). */
  nextFloat(): number;
  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number;
}

/** Creates a deterministic source: the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    nextFloat: () => uniformFloat64(generator),
    nextInt: (bound) => uniformInt(generator, 0, bound - 1),
  };
}

/** Returns `count` random elements without replacement, or all of them if there are fewer. */
export function sampleElements<T>(random: Random, elements: readonly T[], count: number): T[] {
  const pool = [...elements];
  const sampleSize = Math.min(count, pool.length);
  for (let i = 0; i < sampleSize; i++) {
    const j = i + random.nextInt(pool.length - i);
    [pool[i], pool[j]] = [pool[j] as T, pool[i] as T];
  }
  return pool.slice(0, sampleSize);
}

/** Returns `base` plus or minus up to `share` of it, so that many instances do not act at the same time. */
export function jitter(random: Random, base: number, share: number): number {
  return base * (1 + share * (2 * random.nextFloat() - 1));
}
