/** Seeded random numbers, passed to whatever draws them so that a run can be repeated. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  nextFloat(): number;
  /** A whole number in [0, bound). */
  nextInt(bound: number): number;
}

/** A repeatable source: the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    nextFloat: () => uniformFloat64(generator),
    nextInt: (bound) => uniformInt(generator, 0, bound - 1),
  };
}

/** `count` different elements, or all of them if there are fewer. */
export function sampleElements<T>(random: Random, elements: readonly T[], count: number): T[] {
  const rest = [...elements];
  const taken = Math.min(count, rest.length);
  for (let i = 0; i < taken; i++) {
    const j = i + random.nextInt(rest.length - i);
    [rest[i], rest[j]] = [rest[j] as T, rest[i] as T];
  }
  return rest.slice(0, taken);
}

/** `base` moved by up to `share` of itself either way, so that many instances do not act at once. */
export function jitter(random: Random, base: number, share: number): number {
  return base * (1 + share * (2 * random.nextFloat() - 1));
}
