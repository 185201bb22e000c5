/** `ledger`: where a bad span of time went, from the saved logs of several instances. */
import { writeFileSync } from 'node:fs';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { ExitCode, createCliError } from './CliErrors.js';
import { parseLog, readLog } from './CliLogs.js';
import type { CliContext } from './CliManifest.js';
import { formatTable, printResult } from './CliOutput.js';
import { drawLedger } from './LedgerPlot.js';
import type { LedgerRequest, LogLine } from './LedgerRequests.js';
import { LedgerCause, LedgerEnd, readLedgerRequests } from './LedgerRequests.js';

/** Requests that were lost or late in one way for one cause. */
export interface LedgerRow {
  readonly end: string;
  readonly cause: string;
  readonly requests: number;
  /** Time from their arrival to their end, all together. */
  readonly seconds: number;
  /** Part of all requests. */
  readonly share: number;
}

/** One failure domain in one second. */
export interface LedgerSecond {
  readonly domain: string;
  /** Seconds since the first line. */
  readonly second: number;
  readonly requests: number;
  /** Part of the requests that came in it and were answered on time; null if none came. */
  readonly onTime: number | null;
  /** Whether every layer was held in the domain; null if no line has said so yet. */
  readonly isWhole: boolean | null;
}

export interface Ledger {
  readonly requests: number;
  /** Requests that were not answered on time: the sum of the rows. */
  readonly lost: number;
  readonly rows: readonly LedgerRow[];
  readonly seconds: readonly LedgerSecond[];
}

const UNKNOWN_DOMAIN = 'unknown';

/** Prints the ledger of the files, and draws it if a file for the picture is named. */
export async function showLedger(
  context: CliContext,
  files: readonly string[],
  picture: string | undefined,
): Promise<void> {
  const ledger = createLedger(files.flatMap((file) => parseLog(readLog(file))));
  if (ledger.requests === 0) {
    throw createCliError(ExitCode.Failed, 'no line of these logs concerns a request');
  }
  if (picture !== undefined) {
    writeFileSync(picture, await drawLedger(ledger.seconds));
  }
  printResult(context.output, context.isJson(), ledger, formatLedger);
}

/** Adds up what became of all requests. Those that no route or key allows are left out. */
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
      const time = group.reduce((sum, { startAt, endAt }) => sum + endAt - startAt, 0);
      return first
        ? [
            {
              end: first.end,
              cause: first.cause,
              requests: group.length,
              seconds: time / MILLIS_PER_SECOND,
              share: group.length / total,
            },
          ]
        : [];
    })
    .sort((a, b) => b.requests - a.requests);
}

/** Each domain's seconds, with what its instances said last of its layers. */
function createSeconds(
  lines: readonly LogLine[],
  requests: readonly LedgerRequest[],
): readonly LedgerSecond[] {
  const domains = readDomains(lines);
  // Logs of a busy span hold more requests than a call takes arguments.
  const first = requests.reduce((least, { startAt }) => Math.min(least, startAt), Infinity);
  const last = requests.reduce((most, { startAt }) => Math.max(most, startAt), -Infinity);
  if (requests.length === 0) {
    return [];
  }
  return [...new Set(domains.values())].sort().flatMap((domain) => {
    const own = requests.filter(({ instance }) => domains.get(instance) === domain);
    const said = lines.filter((line) => line.msg === 'layers held' && line.domain === domain);
    const count = Math.floor((last - first) / MILLIS_PER_SECOND) + 1;
    return Array.from({ length: count }, (_, second) => {
      const from = first + second * MILLIS_PER_SECOND;
      const here = own.filter(
        ({ startAt }) => startAt >= from && startAt < from + MILLIS_PER_SECOND,
      );
      const onTime = here.filter(({ end }) => end === LedgerEnd.OnTime).length;
      const latest = said.findLast(({ time }) => Number(time) < from + MILLIS_PER_SECOND);
      return {
        domain,
        second,
        requests: here.length,
        onTime: here.length > 0 ? onTime / here.length : null,
        isWhole: latest ? latest.missing === 0 : null,
      };
    });
  });
}

/** The failure domain of each instance, from its first line. */
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
