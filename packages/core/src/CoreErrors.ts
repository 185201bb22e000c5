/** Base class of all errors of this project, and invariant checks. */
import ModernError from 'modern-errors';

/** Root of the error classes; each package derives its own. */
export const SkylarkError = ModernError.subclass('SkylarkError');

/** An invariant is violated: a bug in this code, never an external failure. */
export const InvariantError = SkylarkError.subclass('InvariantError');

/** For the default case of an exhaustive switch: it fails to compile while a case is missing. */
export function failUnreachable(value: never): never {
  throw new InvariantError(`invariant broken: no case for ${JSON.stringify(value)}`);
}

/** Throws an InvariantError with `message` unless `cond` is truthy. */
export function invariant(cond: unknown, message: string): asserts cond {
  if (!cond) {
    throw new InvariantError(`invariant broken: ${message}`);
  }
}
