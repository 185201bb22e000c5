/** The `explain --logs` command: shows the decisions on one request, from the saved logs of several instances. */
import { readFileSync } from 'node:fs';
import { createCliError, ExitCode } from './CliErrors.js';
import type { CliContext } from './CliManifest.js';
import { printResult } from './CliOutput.js';
import type { LogLine } from './LedgerRequests.js';

/** A log line about a decision on a request. */
export interface LogDecision {
  readonly time: number;
  readonly instance: string;
  readonly request: string;
  readonly decision: string;
  readonly [field: string]: unknown;
}

/** The content of saved logs about one request id. */
export interface RequestLog {
  /** Oldest first. */
  readonly lines: readonly LogDecision[];
  /** Requests without a line about their end, each as `REQUEST at INSTANCE`. */
  readonly unended: readonly string[];
  /** Number of dropped log lines: the highest total that one of the instances in `lines` has logged. */
  readonly dropped: number;
}

/** Decisions that end a request at an instance; each request gets at least one of them. */
const END_DECISIONS: ReadonlySet<string> = new Set([
  'answered',
  'broken-off',
  'refused',
  'complete',
]);
const DROPPED_LINES_MESSAGE = 'log lines dropped';

/** Collects the lines about the request with the id that its caller sent. */
export function readRequestLog(texts: readonly string[], id: string): RequestLog {
  const logLines = texts.flatMap(parseLog);
  const lines = logLines
    .filter((line): line is LogDecision => isDecisionOnRequest(line, id))
    .sort((a, b) => a.time - b.time);
  const attempts = [...new Set(lines.map(formatRequestKey))];
  const ended = new Set(
    lines.filter(({ decision }) => END_DECISIONS.has(decision)).map(formatRequestKey),
  );
  const instances = new Set(lines.map(({ instance }) => instance));
  const dropped = logLines
    .filter(({ msg, instance }) => msg === DROPPED_LINES_MESSAGE && instances.has(String(instance)))
    .reduce((max, line) => Math.max(max, Number(line.ordinary) + Number(line.unusual)), 0);
  return { lines, unended: attempts.filter((attempt) => !ended.has(attempt)), dropped };
}

/** Prints what the log files contain about a request; throws if they contain nothing. */
export function explainFromLogs(context: CliContext, id: string, files: readonly string[]): void {
  const requestLog = readRequestLog(files.map(readLog), id);
  if (requestLog.lines.length === 0) {
    throw createCliError(ExitCode.Failed, `no line of these logs concerns ${id}`);
  }
  printResult(context.output, context.isJson(), requestLog, () => formatRequestLog(requestLog));
}

function formatRequestLog({ lines, unended, dropped }: RequestLog): readonly string[] {
  const start = lines[0]?.time ?? 0;
  return [
    ...lines.map(({ time, instance, decision, request, level, msg, at, ...rest }) => {
      const elapsed = String(Math.round(time - start)).padStart(6);
      return `${elapsed} ms  ${instance}  ${decision}  ${JSON.stringify(rest)}`;
    }),
    ...unended.map(
      (attempt) => `no line says how ${attempt} ended: the process did, or lines are missing`,
    ),
    ...(dropped > 0 ? [`up to ${dropped} lines of these instances were dropped`] : []),
  ];
}

/** Reads a file, or standard input for `-`. */
export function readLog(file: string): string {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch (err) {
    throw createCliError(ExitCode.Usage, `--logs: ${(err as Error).message}`);
  }
}

/** Parses the lines of a log; lines that cannot be parsed are left out. */
export function parseLog(text: string): readonly LogLine[] {
  return text.split('\n').flatMap(parseLine);
}

/** Parses the JSON object in a line, after any prefix of a log collector; returns no element if there is none. */
function parseLine(text: string): readonly LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) {
    return [];
  }
  try {
    return [JSON.parse(text.slice(start)) as LogLine];
  } catch {
    // The line was cut off when its process ended, and the rest cannot be recovered.
    return [];
  }
}

/** The id in a log line is the caller's id, which may be followed by a slash and a sequence number. */
function isDecisionOnRequest({ request, time, instance, decision }: LogLine, id: string): boolean {
  return (
    typeof request === 'string' &&
    typeof time === 'number' &&
    typeof instance === 'string' &&
    typeof decision === 'string' &&
    (request === id || request.startsWith(`${id}/`))
  );
}

function formatRequestKey({ instance, request }: LogDecision): string {
  return `${request} at ${instance}`;
}
