/** `explain` from saved logs: the lines that concern one request, of all instances, in order. */
import { readFileSync } from 'node:fs';
import { createCliError, ExitCode } from './CliErrors.js';
import type { CliContext } from './CliManifest.js';
import { printResult } from './CliOutput.js';
import type { LogLine } from './LedgerRequests.js';

/** A log line that concerns a request. */
export interface LogDecision {
  readonly time: number;
  readonly instance: string;
  readonly request: string;
  readonly decision: string;
  readonly [field: string]: unknown;
}

/** What saved logs tell of a request. */
export interface RequestLog {
  readonly lines: readonly LogDecision[];
  /** Attempts of which no line says how they ended, each as instance and request. */
  readonly unended: readonly string[];
  /** Lines that the instances concerned have dropped, as far as they say. */
  readonly dropped: number;
}

/** Decisions that end an attempt: each attempt has one of them. */
const ENDINGS: ReadonlySet<string> = new Set(['answered', 'broken-off', 'refused', 'complete']);
const DROPPED = 'log lines dropped';

/** Reads the story of the request whose id the caller sent from the text of logs. */
export function readRequestLog(texts: readonly string[], id: string): RequestLog {
  const parsed = texts.flatMap(parseLog);
  const lines = parsed
    .filter((line): line is LogDecision => isAbout(line, id))
    .sort((a, b) => a.time - b.time);
  const attempts = [...new Set(lines.map(getAttempt))];
  const ended = new Set(lines.filter(({ decision }) => ENDINGS.has(decision)).map(getAttempt));
  const instances = new Set(lines.map(({ instance }) => instance));
  const dropped = parsed
    .filter(({ msg, instance }) => msg === DROPPED && instances.has(String(instance)))
    .reduce((most, line) => Math.max(most, Number(line.ordinary) + Number(line.unusual)), 0);
  return { lines, unended: attempts.filter((attempt) => !ended.has(attempt)), dropped };
}

/** Prints what the files tell of a request; throws if they tell nothing. */
export function explainFromLogs(context: CliContext, id: string, files: readonly string[]): void {
  const story = readRequestLog(files.map(readLog), id);
  if (story.lines.length === 0) {
    throw createCliError(ExitCode.Failed, `no line of these logs concerns ${id}`);
  }
  printResult(context.output, context.isJson(), story, () => formatStory(story));
}

function formatStory({ lines, unended, dropped }: RequestLog): readonly string[] {
  const start = lines[0]?.time ?? 0;
  return [
    ...lines.map(({ time, instance, decision, request, level, msg, at, ...rest }) => {
      const after = String(Math.round(time - start)).padStart(6);
      return `${after} ms  ${instance}  ${decision}  ${JSON.stringify(rest)}`;
    }),
    ...unended.map(
      (attempt) => `no line says how ${attempt} ended: the process did, or lines are missing`,
    ),
    ...(dropped > 0 ? [`up to ${dropped} lines of these instances were dropped`] : []),
  ];
}

/** The text of a file, or of standard input for `-`. */
export function readLog(file: string): string {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch (err) {
    throw createCliError(ExitCode.Usage, `--logs: ${(err as Error).message}`);
  }
}

/** The lines of a log that can be read. */
export function parseLog(text: string): readonly LogLine[] {
  return text.split('\n').flatMap(parseLine);
}

/** A line's JSON object, whatever a collector has put before it; none if there is none. */
function parseLine(text: string): readonly LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) {
    return [];
  }
  try {
    return [JSON.parse(text.slice(start)) as LogLine];
  } catch {
    // A line that was cut when its process ended; what it began to say cannot be known.
    return [];
  }
}

/** An attempt's id is the caller's, a slash and a count. */
function isAbout({ request, time, instance, decision }: LogLine, id: string): boolean {
  return (
    typeof request === 'string' &&
    typeof time === 'number' &&
    typeof instance === 'string' &&
    typeof decision === 'string' &&
    (request === id || request.startsWith(`${id}/`))
  );
}

function getAttempt({ instance, request }: LogDecision): string {
  return `${request} at ${instance}`;
}
