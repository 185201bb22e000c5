/** The base of every error of ours, and the check for what must hold. */
import ModernError from 'modern-errors';

/** Root of our error classes; each package derives its own. */
export const SkylarkError = ModernError.subclass('SkylarkError');

/** A condition that must hold does not: a mistake in our code, never an outside failure. */
export const InvariantError = SkylarkError.subclass('InvariantError');

/** The default of a switch over all cases: the compiler refuses it while one of them is missing. */
export function failUnreachable(value: never): never {
  throw new InvariantError(`invariant broken: no case for ${JSON.stringify(value)}`);
}

/** Throws an InvariantError with `message` unless `cond` holds. */
export function invariant(cond: unknown, message: string): asserts cond {
  if (!cond) {
    throw new InvariantError(`invariant broken: ${message}`);
  }
}
