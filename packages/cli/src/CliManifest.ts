/** The `manifest` commands: validate, submit, wait, show, diff and history. */
import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { checkManifest } from '@skylarksail/manifest/ManifestCheck';
import type { ManifestFault } from '@skylarksail/manifest/ManifestCheck';
import type { ManifestChange } from '@skylarksail/manifest/ManifestDiff';
import { formatDiff } from '@skylarksail/manifest/ManifestDiff';
import type { CliTarget } from './CliClient.js';
import { callAnyServer, expectOk } from './CliClient.js';
import { ExitCode, createCliError } from './CliErrors.js';
import type { CliOutput } from './CliOutput.js';
import { formatTable, printResult } from './CliOutput.js';

const WAIT_POLL_MS = 250;
const STATUS_CONFLICT = 409;
const STATUS_INVALID = 422;

/** Passed to every command: the values of the global options and the destination of the output. */
export interface CliContext {
  readonly target: () => CliTarget;
  readonly output: CliOutput;
  readonly isJson: () => boolean;
}

/** An instance's report on where a revision is in force, by failure domain. */
export interface InForceReport {
  readonly revision: number;
  readonly accepted: boolean;
  readonly in_force: boolean;
  readonly domains: readonly {
    readonly domain: string;
    readonly confirmed: number;
    readonly total: number;
    readonly missing: readonly string[];
  }[];
}

export function readManifestFile(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path === '-' ? 0 : path, 'utf8'));
  } catch (err) {
    throw createCliError(ExitCode.ManifestInvalid, `${path}: ${(err as Error).message}`);
  }
}

export function validateManifest(context: CliContext, path: string): void {
  const checked = checkManifest(readManifestFile(path));
  if (!checked.ok) {
    throw createFaultsError(checked.error);
  }
  const { teams, models, services, domains } = checked.value;
  const counts = {
    valid: true,
    teams: teams.length,
    models: models.length,
    services: services.length,
    domains: domains.length,
  };
  printResult(context.output, context.isJson(), counts, () => [
    `valid: ${counts.models} models, ${counts.teams} teams, ${counts.services} services, ${counts.domains} domains`,
  ]);
}

function createFaultsError(faults: readonly ManifestFault[]): Error {
  const lines = faults.map(({ path, message }) => `  ${path || '(top)'}: ${message}`);
  return createCliError(ExitCode.ManifestInvalid, `manifest refused:\n${lines.join('\n')}`);
}

/** Submits a manifest. A repeated submission with the same id has no effect and gets the result of the first. */
export async function submitManifest(
  context: CliContext,
  path: string,
  options: { readonly id?: string; readonly expect?: number; readonly wait?: boolean },
): Promise<void> {
  const reply = await callAnyServer(context.target(), {
    method: 'POST',
    path: '/v1/manifest',
    body: {
      manifest: readManifestFile(path),
      submission_id: options.id ?? randomUUID(),
      ...(options.expect === undefined ? {} : { expected_revision: options.expect }),
    },
  });
  if (reply.status === STATUS_INVALID) {
    throw createFaultsError((reply.body as { faults: ManifestFault[] }).faults);
  }
  if (reply.status === STATUS_CONFLICT) {
    const { winning_revision: winningRevision } = reply.body as { winning_revision: number };
    throw createCliError(
      ExitCode.Conflict,
      `another submission was accepted first, as revision ${winningRevision}; ` +
        'look at it (skylarksail manifest show), then submit again',
    );
  }
  const accepted = expectOk(reply) as { revision: number; submission_id: string };
  printResult(context.output, context.isJson(), accepted, () => [
    `accepted as revision ${accepted.revision}`,
  ]);
  if (options.wait) {
    await waitForRevision(context, accepted.revision, { timeout: 60 });
  }
}

/** Polls until a revision is in force on every known instance; throws after the timeout. */
export async function waitForRevision(
  context: CliContext,
  revision: number,
  options: { readonly timeout: number },
): Promise<void> {
  const deadline = performance.now() + options.timeout * 1000;
  for (;;) {
    const report = expectOk(
      await callAnyServer(context.target(), {
        method: 'GET',
        path: `/v1/manifest/in-force?revision=${revision}`,
      }),
    ) as InForceReport;
    showProgress(context, report);
    if (report.in_force) {
      printResult(context.output, context.isJson(), report, formatInForce);
      return;
    }
    if (performance.now() > deadline) {
      printResult(context.output, context.isJson(), report, formatInForce);
      throw createCliError(ExitCode.NotInForce, `revision ${revision} is not in force everywhere`);
    }
    await sleep(WAIT_POLL_MS);
  }
}

function showProgress(context: CliContext, report: InForceReport): void {
  if (!context.output.isTerminal || context.isJson()) {
    return;
  }
  const parts = report.domains.map(
    ({ domain, confirmed, total }) => `${domain} ${confirmed}/${total}`,
  );
  context.output.writeError(
    `\r${report.accepted ? 'accepted' : 'not accepted'}  ${parts.join('  ')}`,
  );
}

function formatInForce(report: InForceReport): readonly string[] {
  const rows = report.domains.map(({ domain, confirmed, total, missing }) => [
    domain,
    `${confirmed}/${total}`,
    missing.length === 0 ? '' : `not confirmed: ${missing.join(', ')}`,
  ]);
  const state = report.in_force ? 'in force everywhere' : 'not in force everywhere';
  const accepted = report.accepted ? 'accepted' : 'not accepted';
  return [`revision ${report.revision}: ${accepted}, ${state}`, ...formatTable(rows)];
}

export async function showManifest(context: CliContext): Promise<void> {
  const current = expectOk(
    await callAnyServer(context.target(), { method: 'GET', path: '/v1/manifest' }),
  ) as { revision: number; manifest: unknown };
  printResult(context.output, context.isJson(), current, () => [
    JSON.stringify(current.manifest, null, 2),
  ]);
}

export async function diffManifest(context: CliContext, path: string): Promise<void> {
  const reply = await callAnyServer(context.target(), {
    method: 'POST',
    path: '/v1/manifest/diff',
    body: { manifest: readManifestFile(path) },
  });
  if (reply.status === STATUS_INVALID) {
    throw createFaultsError((reply.body as { faults: ManifestFault[] }).faults);
  }
  const { changes } = expectOk(reply) as { changes: ManifestChange[] };
  printResult(context.output, context.isJson(), { changes }, () =>
    changes.length === 0 ? ['no difference'] : formatDiff(changes),
  );
}

export async function showHistory(context: CliContext): Promise<void> {
  const { revisions } = expectOk(
    await callAnyServer(context.target(), { method: 'GET', path: '/v1/manifest/history' }),
  ) as { revisions: { revision: number; submission: string }[] };
  printResult(context.output, context.isJson(), { revisions }, () =>
    formatTable([
      ['REVISION', 'SUBMISSION'],
      ...revisions.map(({ revision, submission }) => [String(revision), submission]),
    ]),
  );
}
