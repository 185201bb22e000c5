/** The `ledger` command: counts lost and late requests by end and cause, from the saved logs of several instances. */
import { writeFileSync } from 'node:fs';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { ExitCode, createCliError } from './CliErrors.js';
import { parseLog, readLog } from './CliLogs.js';
import type { CliContext } from './CliManifest.js';
import { formatTable, printResult } from './CliOutput.js';
import { drawLedger } from './LedgerPlot.js';
import type { LedgerRequest, LogLine } from './LedgerRequests.js';
import { LedgerCause, LedgerEnd, readLedgerRequests } from './LedgerRequests.js';

/** The lost or late requests with the same end and cause. */
export interface LedgerRow {
  readonly end: string;
  readonly cause: string;
  readonly requests: number;
  /** Sum of the times from arrival to end. */
  readonly seconds: number;
  /** Share of all requests. */
  readonly share: number;
}

/** The requests and layer coverage of a failure domain in one second. */
export interface LedgerSecond {
  readonly domain: string;
  /** Seconds since the first request. */
  readonly second: number;
  readonly requests: number;
  /** Of the requests that arrived in this second, the share answered on time; null if none arrived. */
  readonly onTime: number | null;
  /** Whether every layer was held in the domain; null before the first log line about its coverage. */
  readonly isWhole: boolean | null;
}

export interface Ledger {
  readonly requests: number;
  /** Number of requests that were not answered on time, the sum over all rows. */
  readonly lost: number;
  readonly rows: readonly LedgerRow[];
  readonly seconds: readonly LedgerSecond[];
}

const UNKNOWN_DOMAIN = 'unknown';

/** Prints the ledger of the log files, and draws it into `svgFile` if that is given. */
export async function showLedger(
  context: CliContext,
  files: readonly string[],
  svgFile: string | undefined,
): Promise<void> {
  const ledger = createLedger(files.flatMap((file) => parseLog(readLog(file))));
  if (ledger.requests === 0) {
    throw createCliError(ExitCode.Failed, 'no line of these logs concerns a request');
  }
  if (svgFile !== undefined) {
    writeFileSync(svgFile, await drawLedger(ledger.seconds));
  }
  printResult(context.output, context.isJson(), ledger, formatLedger);
}

/** Counts the requests by end and cause. Requests rejected as invalid, unauthorized or not found are left out. */
export function createLedger(unsorted: readonly LogLine[]): Ledger {
  const lines = [...unsorted].sort((a, b) => Number(a.time) - Number(b.time));
  const requests = readLedgerRequests(lines).filter(({ cause }) => cause !== LedgerCause.Rejected);
  const lost = requests.filter(({ end }) => end !== LedgerEnd.OnTime);
  return {
    requests: requests.length,
    lost: lost.length,
    rows: createRows(lost, requests.length),
    seconds: createSeconds(lines, requests),
  };
}

function createRows(lost: readonly LedgerRequest[], total: number): readonly LedgerRow[] {
  const groups = new Map<string, LedgerRequest[]>();
  for (const request of lost) {
    const key = `${request.end}/${request.cause}`;
    const group = groups.get(key) ?? [];
    group.push(request);
    groups.set(key, group);
  }
  return [...groups.values()]
    .flatMap((group) => {
      const [first] = group;
      const totalMs = group.reduce((sum, { startAt, endAt }) => sum + endAt - startAt, 0);
      return first
        ? [
            {
              end: first.end,
              cause: first.cause,
              requests: group.length,
              seconds: totalMs / MILLIS_PER_SECOND,
              share: group.length / total,
            },
          ]
        : [];
    })
    .sort((a, b) => b.requests - a.requests);
}

/** Creates an entry for each second of each domain, with the last coverage that the domain's instances logged. */
function createSeconds(
  lines: readonly LogLine[],
  requests: readonly LedgerRequest[],
): readonly LedgerSecond[] {
  const domains = readDomains(lines);
  // `Math.min(...times)` fails here: busy logs hold more requests than a function call accepts arguments.
  const first = requests.reduce((min, { startAt }) => Math.min(min, startAt), Infinity);
  const last = requests.reduce((max, { startAt }) => Math.max(max, startAt), -Infinity);
  if (requests.length === 0) {
    return [];
  }
  return [...new Set(domains.values())].sort().flatMap((domain) => {
    const own = requests.filter(({ instance }) => domains.get(instance) === domain);
    const coverageLines = lines.filter(
      (line) => line.msg === 'layers held' && line.domain === domain,
    );
    const count = Math.floor((last - first) / MILLIS_PER_SECOND) + 1;
    return Array.from({ length: count }, (_, second) => {
      const from = first + second * MILLIS_PER_SECOND;
      const arrivals = own.filter(
        ({ startAt }) => startAt >= from && startAt < from + MILLIS_PER_SECOND,
      );
      const onTime = arrivals.filter(({ end }) => end === LedgerEnd.OnTime).length;
      const lastCoverage = coverageLines.findLast(
        ({ time }) => Number(time) < from + MILLIS_PER_SECOND,
      );
      return {
        domain,
        second,
        requests: arrivals.length,
        onTime: arrivals.length > 0 ? onTime / arrivals.length : null,
        isWhole: lastCoverage ? lastCoverage.missing === 0 : null,
      };
    });
  });
}

/** Returns the failure domain of each instance, which its `started` line contains. */
function readDomains(lines: readonly LogLine[]): ReadonlyMap<string, string> {
  const domains = new Map<string, string>();
  for (const { instance, msg, settings } of lines) {
    if (typeof instance === 'string') {
      const isStart = msg === 'started' && typeof settings === 'object' && settings !== null;
      const { domain } = isStart ? (settings as LogLine) : {};
      if (typeof domain === 'string') {
        domains.set(instance, domain);
      } else if (!domains.has(instance)) {
        domains.set(instance, UNKNOWN_DOMAIN);
      }
    }
  }
  return domains;
}

function formatLedger({ requests, lost, rows }: Ledger): readonly string[] {
  const table = rows.map(({ end, cause, requests: count, seconds, share }) => [
    String(count),
    `${(share * 100).toFixed(1)}%`,
    seconds.toFixed(1),
    end,
    cause,
  ]);
  return [
    `${requests} requests, ${lost} not answered on time`,
    ...formatTable([['requests', 'share', 'seconds', 'end', 'cause'], ...table]),
  ];
}
