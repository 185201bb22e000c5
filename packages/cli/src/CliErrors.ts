/** Errors of the command-line tool, each with the exit code that a build pipeline reads. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Meaning of each exit code. */
export const ExitCode = {
  Ok: 0,
  Failed: 1,
  Usage: 2,
  ManifestInvalid: 3,
  Conflict: 4,
  NotInForce: 5,
  Unreachable: 6,
  Unauthorized: 7,
} as const;

export type ExitCodeNumber = (typeof ExitCode)[keyof typeof ExitCode];

/** A failure that ends the command. */
export const CliError = SkylarkError.subclass('CliError');

/** Creates the error that ends the command with `exitCode`. */
export function createCliError(exitCode: ExitCodeNumber, message: string): Error {
  return new CliError(message, { props: { exitCode } });
}

export function getExitCode(err: unknown): ExitCodeNumber {
  const { exitCode } = (err ?? {}) as { exitCode?: ExitCodeNumber };
  return err instanceof CliError && exitCode !== undefined ? exitCode : ExitCode.Failed;
}
