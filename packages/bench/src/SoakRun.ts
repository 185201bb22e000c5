/** Runs one soak: real processes on loopback, callers, and faults injected from outside the daemons. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleepFor } from 'node:timers/promises';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LayerPass, ServiceEffect } from '@skylarksail/stand-ins/StandInLedger';
import { request } from 'undici';
import { runSoakCaller } from './SoakCallers.js';
import type { SoakDaemons } from './SoakDaemons.js';
import { createSoakDaemons } from './SoakDaemons.js';
import type { SoakEvidence, SoakRecord, SoakRevisions } from './SoakChecker.js';
import { checkSoak, SoakOutcome } from './SoakChecker.js';
import type { SoakFault, SoakOptions, SoakPlan } from './SoakPlan.js';
import type { GrantEvidence, GrantReport } from './SoakGrants.js';
import { reportGrants } from './SoakGrants.js';
import { LeaseFaultKind, planSoak, SoakFaultKind } from './SoakPlan.js';
import type { Stack } from './StackLauncher.js';
import { launchStack } from './StackLauncher.js';
import { planManifest } from './StackPlan.js';

/** Output line of one seed. */
export interface SoakReport {
  readonly seed: number;
  /** Daemon processes, restarts included. */
  readonly processes: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  /** Requests whose connection closed before the answer was complete. */
  readonly ended: number;
  readonly faults: number;
  /** Manifest changes that were accepted. */
  readonly changes: number;
  /** Leases of stopped daemons. */
  readonly grants: GrantReport;
  /** Violations found. */
  readonly broken: readonly string[];
  /** Directory of the daemons' logs; set only if there are violations. */
  readonly logs?: string;
}

/** Time for daemons to settle after the last request and fault, before the final checks and the stop. */
const SETTLE_TIME: Millis = 6000;
const REVISION_POLL_PERIOD: Millis = 500;
const STOP_GRACE: Millis = 20_000;
const ENGINE_SLOW_FACTOR = 8;
const PLATFORM_CALL_DELAY: Millis = 300;
const QUEUE_LIMIT = 256;
const MAX_LOST_CALLS = 6;

type PlatformLedger = Pick<GrantEvidence, 'grants' | 'leaseCalls'>;

async function sleep(time: Millis): Promise<void> {
  await sleepFor(time);
}

/** Runs the soak of a seed. Logs are kept if there are violations or the run fails. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const plan = planSoak(options);
  const stack = await launchStack(plan.size);
  let broken: readonly string[] = ['did not run to the end'];
  try {
    const evidence = await collectEvidence(stack, plan, options);
    const grants = reportGrants(evidence);
    broken = [...checkSoak(evidence), ...grants.broken];
    return createReport(options, plan, evidence, grants, broken, stack.folder);
  } finally {
    await stack.stop(broken.length > 0);
  }
}

/** Runs callers and faults, waits for the daemons to settle, reads all ledgers and stops the daemons. */
async function collectEvidence(
  stack: Stack,
  plan: SoakPlan,
  options: SoakOptions,
): Promise<SoakEvidence & GrantEvidence> {
  const start = performance.now();
  const now = (): Millis => performance.now() - start;
  const daemons = createSoakDaemons(stack, now, sleep);
  const changes = createManifestChanges(stack, plan.size);
  const records: SoakRecord[] = [];
  const told: SoakRevisions['told'][number][] = [];
  let isPolling = true;

  async function pollRevisions(): Promise<void> {
    while (isPolling) {
      told.push(...(await daemons.readRevisions()));
      await sleep(REVISION_POLL_PERIOD);
    }
  }

  const polling = pollRevisions();
  const callers = Array.from({ length: plan.callers }, (_, i) =>
    runSoakCaller({
      name: `caller-${i}`,
      random: createRandom(options.seed * 1000 + i),
      listLive: daemons.listLive,
      now,
      sleep,
      isOver: () => now() >= options.time,
      onRecord: (record) => records.push(record),
    }),
  );
  const faults = plan.faults.map(async (fault) => {
    await sleep(Math.max(0, fault.at - now()));
    await injectFault(stack, daemons, changes.submit, fault);
  });
  await Promise.all([...callers, ...faults]);
  await sleep(SETTLE_TIME);
  isPolling = false;
  await polling;
  const last = await daemons.readRevisions();
  const effects = await readLedgers<ServiceEffect>(stack.services);
  const passes = await readLedgers<LayerPass>(stack.engines);
  await daemons.stopAll();
  const { grants, leaseCalls } = await readLedger<PlatformLedger>(stack.platform);
  return {
    records,
    processes: daemons.listProcesses(),
    effects,
    passes,
    layers: plan.size.layers,
    revisions: { told, last, accepted: changes.getNewest() },
    grace: STOP_GRACE,
    grants,
    leaseCalls,
    startedAt: performance.timeOrigin + start,
    down: listOutages(plan),
  };
}

/** A new outage takes the place of one that lasts. */
function listOutages({ faults }: SoakPlan): GrantEvidence['down'] {
  const outages = faults
    .filter(({ kind }) => kind === SoakFaultKind.PlatformOutage)
    .sort((a, b) => a.at - b.at);
  return outages.map(({ at, time }, i) => ({
    from: at,
    to: Math.min(at + time, outages[i + 1]?.at ?? Infinity),
  }));
}

function createReport(
  { seed }: SoakOptions,
  plan: SoakPlan,
  { records, processes, revisions }: SoakEvidence,
  grants: GrantReport,
  broken: readonly string[],
  folder: string,
): SoakReport {
  const count = (outcome: string): number =>
    records.filter((record) => record.outcome === outcome).length;
  return {
    seed,
    processes: processes.length,
    requests: records.length,
    answered: count(SoakOutcome.Answered),
    refused: count(SoakOutcome.Refused),
    ended: count(SoakOutcome.Cut) + count(SoakOutcome.Unanswered),
    faults: plan.faults.length,
    changes: revisions.accepted - 1,
    grants,
    broken,
    ...(broken.length > 0 && { logs: folder }),
  };
}

/** Submits manifests that differ only in the teams' queue limit. */
function createManifestChanges(stack: Stack, size: Parameters<typeof planManifest>[0]) {
  let submitted = 0;
  let newest = 1;
  return {
    getNewest: () => newest,
    async submit(): Promise<void> {
      submitted += 1;
      const manifest = planManifest(size);
      const teams = manifest.teams?.map((team) => ({
        ...team,
        queueLimit: QUEUE_LIMIT + submitted,
      }));
      const path = join(stack.folder, `change-${submitted}.json`);
      writeFileSync(path, JSON.stringify({ ...manifest, teams }));
      const { output } = await stack.runCli(['manifest', 'submit', path]);
      const [, revision = '0'] = /accepted as revision (\d+)/.exec(output) ?? [];
      newest = Math.max(newest, Number(revision));
    },
  };
}

async function injectFault(
  stack: Stack,
  daemons: SoakDaemons,
  submitChange: () => Promise<void>,
  { kind, time: ms, target }: SoakFault,
): Promise<void> {
  const engine = stack.engines[target % stack.engines.length]?.url ?? '';
  const service = stack.services[target % stack.services.length]?.url ?? '';
  switch (kind) {
    case SoakFaultKind.EngineCrash:
      return setFault(engine, { kind: 'crash', ms });
    case SoakFaultKind.EngineHang:
      return setFault(engine, { kind: 'hang', ms });
    case SoakFaultKind.EngineSlow:
      return setFault(engine, { kind: 'slow', ms, factor: ENGINE_SLOW_FACTOR });
    case SoakFaultKind.ServiceLost:
      return setFault(service, { kind: 'drop-answer', ms, count: 1 + (target % 3) });
    case SoakFaultKind.PlatformOutage:
      return setFault(stack.platform, { kind: 'outage', ms });
    case SoakFaultKind.PlatformSlow:
      return setFault(stack.platform, { kind: 'slow', ms, factor: PLATFORM_CALL_DELAY });
    case SoakFaultKind.PlatformLost:
      return setFault(stack.platform, { kind: 'drop-answer', ms, count: 1 + (target % 3) });
    case LeaseFaultKind.LeaseCut:
    case LeaseFaultKind.LeaseSilence:
    case LeaseFaultKind.LeaseRefuse:
    case LeaseFaultKind.LeaseDropAnswer:
      return setFault(stack.platform, { kind, ms, count: 1 + (target % MAX_LOST_CALLS) });
    case SoakFaultKind.DaemonPause:
      return daemons.pause(target, ms);
    case SoakFaultKind.DaemonStop:
      return daemons.restart(target, 'SIGTERM', ms);
    case SoakFaultKind.DaemonKill:
      return daemons.restart(target, 'SIGKILL', ms);
    default:
      return submitChange();
  }
}

async function setFault(url: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
  const res = await request(`${url}/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(fault),
  });
  await res.body.dump();
}

async function readLedger<T>(url: string): Promise<T> {
  const res = await request(`${url}/ledger`);
  return (await res.body.json()) as T;
}

async function readLedgers<T>(servers: readonly { readonly url: string }[]): Promise<readonly T[]> {
  const ledgers = await Promise.all(
    servers.map(async ({ url }) => (await readLedger<{ readonly entries: T[] }>(url)).entries),
  );
  return ledgers.flat();
}
