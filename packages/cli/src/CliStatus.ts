/** The commands `status` and `explain`: the state of the instances, and their decisions on a request. */
import { callEveryServer, expectOk } from './CliClient.js';
import { ExitCode, createCliError } from './CliErrors.js';
import { formatTable, printResult } from './CliOutput.js';
import type { CliContext } from './CliManifest.js';

const STATUS_OK = 200;

/** The fields of `/v1/status` that the table shows; docs/API.md describes all of them. */
export interface StatusReport {
  readonly instance: string;
  readonly domain: string;
  readonly ready: boolean;
  readonly manifest: { readonly revision: number; readonly source: string };
  readonly running: number;
  readonly queued: number;
  readonly engines: { readonly live: number; readonly known: number };
  readonly members: number;
}

export async function showStatus(context: CliContext): Promise<void> {
  const replies = await callEveryServer(context.target(), { method: 'GET', path: '/v1/status' });
  const reports = replies.map(({ server, reply }) => ({
    server,
    report: reply ? (expectOk(reply) as StatusReport) : null,
  }));
  if (reports.every(({ report }) => report === null)) {
    throw createCliError(ExitCode.Unreachable, 'no instance answered');
  }
  printResult(context.output, context.isJson(), reports, () =>
    formatTable([
      ['INSTANCE', 'DOMAIN', 'READY', 'REVISION', 'FROM', 'RUNNING', 'QUEUED', 'ENGINES', 'PEERS'],
      ...reports.map(({ server, report }) =>
        report
          ? [
              report.instance,
              report.domain,
              report.ready ? 'yes' : 'no',
              String(report.manifest.revision),
              report.manifest.source,
              String(report.running),
              String(report.queued),
              `${report.engines.live}/${report.engines.known}`,
              String(report.members),
            ]
          : [server, '-', 'no answer'],
      ),
    ]),
  );
}

/** A logged decision; the other fields are its inputs. */
interface DecisionRecord {
  readonly at?: string;
  readonly decision: string;
  readonly [field: string]: unknown;
}

export async function explainRequest(context: CliContext, id: string): Promise<void> {
  const path = `/v1/explain/${encodeURIComponent(id)}`;
  const replies = await callEveryServer(context.target(), { method: 'GET', path });
  const found = replies.flatMap(({ server, reply }) =>
    reply?.status === STATUS_OK
      ? [{ server, decisions: (reply.body as { decisions: DecisionRecord[] }).decisions }]
      : [],
  );
  if (found.length === 0) {
    throw createCliError(ExitCode.Failed, `no instance remembers a decision on ${id}`);
  }
  printResult(context.output, context.isJson(), found, () =>
    found.flatMap(({ server, decisions }) => [
      `${server}:`,
      ...decisions.map(
        ({ at, decision, ...rest }) => `  ${at ?? ''} ${decision}  ${JSON.stringify(rest)}`,
      ),
    ]),
  );
}
