/** Errors of the command-line tool, each with an exit code for build pipelines. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Exit codes; the help text explains each of them. */
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

/** An error that ends the command; its property `exitCode` is the exit code of the process. */
export const CliError = SkylarkError.subclass('CliError');

export function createCliError(exitCode: ExitCodeNumber, message: string): Error {
  return new CliError(message, { props: { exitCode } });
}

/** Returns the exit code for any thrown value; `Failed` if it is not a `CliError`. */
export function getExitCode(err: unknown): ExitCodeNumber {
  const { exitCode } = (err ?? {}) as { exitCode?: ExitCodeNumber };
  return err instanceof CliError && exitCode !== undefined ? exitCode : ExitCode.Failed;
}
