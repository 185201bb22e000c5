/** Launches a stack on loopback: stand-ins, daemons, and a first manifest submitted through the CLI. */
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { StackSize } from './StackPlan.js';
import { listDomains, planEngines, planManifest, planServices, STACK_HOST } from './StackPlan.js';
import type { StackMachine, StackProcess } from './StackProcesses.js';
import {
  findFreePorts,
  formatUrl,
  runCliProcess,
  startDaemonProcess,
  startStandIns,
} from './StackProcesses.js';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
const PLATFORM_LIST_LAG_MS = 500;
const PORTS_PER_DAEMON = 3;

/** A daemon of the stack. */
export interface StackDaemon {
  readonly id: string;
  readonly domain: string;
  /** Base URL of the listener for callers. */
  readonly callers: string;
  /** Base URL of the listener for operators. */
  readonly admin: string;
  readonly process: StackProcess;
  /** Reads the daemon's `/v1/status`. */
  readStatus(): Promise<unknown>;
}

/** A backend server of the stack. */
export interface StackServer {
  readonly id: string;
  readonly domain: string;
  readonly url: string;
}

export interface Stack {
  readonly daemons: readonly StackDaemon[];
  readonly engines: readonly StackServer[];
  readonly services: readonly StackServer[];
  /** Base URL of the stand-in platform. */
  readonly platform: string;
  /** Runs the command-line tool against all daemons. */
  runCli(args: readonly string[]): Promise<{ readonly code: number; readonly output: string }>;
  /** Directory of the daemons' logs and settings. */
  readonly folder: string;
  /** Starts another daemon in a domain and waits until it answers health checks. */
  startDaemon(id: string, domain: string): Promise<StackDaemon>;
  /** Kills all processes; the folder is kept if `keepsFolder` is set. */
  stop(keepsFolder?: boolean): Promise<void>;
}

const SECRETS = {
  SKYLARKSAIL_PEER_SECRET: 'stack-peer-secret',
  SKYLARKSAIL_OPERATOR_TOKEN: 'stack-operator-token',
} as const;

/**
 * Launches a stack and waits until every daemon is ready and has reports of all engines. `machine` limits what each daemon
 * may use.
 */
export async function launchStack(
  size: StackSize,
  machine: StackMachine | null = null,
): Promise<Stack> {
  const folder = mkdtempSync(join(tmpdir(), 'skylarksail-stack-'));
  const processes: StackProcess[] = [];
  const daemons: StackDaemon[] = [];

  const platform = await startStandIns('platform', {
    host: STACK_HOST,
    port: 0,
    listLagMs: PLATFORM_LIST_LAG_MS,
  });
  processes.push(platform.process);
  const platformAddress = platform.ready.addresses[0]?.address as HostPort;
  const platformUrl = formatUrl(platformAddress);

  const engines = (
    await Promise.all(
      listDomains(size).flatMap((domain) =>
        Array.from({ length: size.engineProcesses ?? 1 }, (_, i) => startEngines(domain, i)),
      ),
    )
  ).flat();
  const services = await startServices();

  async function startEngines(domain: string, part: number): Promise<readonly StackServer[]> {
    const parts = size.engineProcesses ?? 1;
    const planned = planEngines(size, domain).filter((_, i) => i % parts === part);
    const started = await startStandIns('engines', planned);
    processes.push(started.process);
    await Promise.all(
      started.ready.addresses.map(({ id, address }, i) => {
        const rack = planned[i]?.facts.rack ?? '';
        return register({ id, role: 'engine', domain, rack, address, peerPort: 0 });
      }),
    );
    return started.ready.addresses.map(({ id, address }) => ({
      id,
      domain,
      url: formatUrl(address),
    }));
  }

  async function startServices(): Promise<readonly StackServer[]> {
    const started = await startStandIns('services', planServices(size));
    processes.push(started.process);
    const domains = listDomains(size);
    return Promise.all(
      started.ready.addresses.map(async ({ id, address }, i) => {
        const domain = domains[i] ?? '';
        await register({ id, role: 'service', domain, rack: domain, address, peerPort: 0 });
        return { id, domain, url: formatUrl(address) };
      }),
    );
  }

  /** Adds an entry to the stand-in platform's instance list; a real platform maintains that list itself. */
  async function register(record: {
    readonly id: string;
    readonly role: 'entry' | 'engine' | 'service';
    readonly domain: string;
    readonly rack: string;
    readonly address: HostPort;
    readonly peerPort: number;
  }): Promise<void> {
    const res = await request(`${platformUrl}/v1/instances`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...record, state: 'live' }),
    });
    await res.body.dump();
  }

  async function startDaemon(id: string, domain: string): Promise<StackDaemon> {
    const [callers = 0, admin = 0, peers = 0] = await findFreePorts(PORTS_PER_DAEMON);
    const settingsPath = join(folder, `${id}.json`);
    writeFileSync(
      settingsPath,
      JSON.stringify({
        instance: id,
        domain,
        callers: { host: STACK_HOST, port: callers },
        admin: { host: STACK_HOST, port: admin },
        peers: { host: STACK_HOST, port: peers },
        platform: platformAddress,
        secrets: {
          peer: { env: 'SKYLARKSAIL_PEER_SECRET' },
          operator: { env: 'SKYLARKSAIL_OPERATOR_TOKEN' },
        },
        shutdown: { balancerLagMs: 500, graceMs: 20_000 },
      }),
    );
    const started = startDaemonProcess(
      settingsPath,
      SECRETS,
      openSync(join(folder, `${id}.log`), 'a'),
      machine,
    );
    processes.push(started);
    await register({
      id,
      role: 'entry',
      domain,
      rack: domain,
      address: { host: STACK_HOST, port: callers },
      peerPort: peers,
    });
    const daemon = {
      id,
      domain,
      callers: formatUrl({ host: STACK_HOST, port: callers }),
      admin: formatUrl({ host: STACK_HOST, port: admin }),
      process: started,
      readStatus: () => readStatus(formatUrl({ host: STACK_HOST, port: admin })),
    };
    await waitFor(() => isAnswering(`${daemon.admin}/healthz`), `${id} to listen`);
    daemons.push(daemon);
    return daemon;
  }

  function runCli(args: readonly string[]) {
    const servers = daemons.map(({ admin }) => admin).join(',');
    return runCliProcess(['--server', servers, ...args], SECRETS);
  }

  async function stop(keepsFolder = false): Promise<void> {
    await Promise.all(processes.map(({ kill }) => kill()));
    if (!keepsFolder) {
      rmSync(folder, { recursive: true, force: true });
    }
  }

  try {
    await Promise.all(
      listDomains(size).flatMap((domain) =>
        Array.from({ length: size.daemonsPerDomain }, (_, i) =>
          startDaemon(`${domain}-entry-${i}`, domain),
        ),
      ),
    );
    const manifestPath = join(folder, 'manifest.json');
    writeFileSync(manifestPath, JSON.stringify(planManifest(size), null, 2));
    const submitted = await runCli(['manifest', 'submit', manifestPath, '--id', 'first']);
    if (submitted.code !== 0) {
      throw new Error(`the first manifest was not accepted:\n${submitted.output}`);
    }
    await Promise.all(
      daemons.map(({ id, admin }) =>
        waitFor(() => isReady(admin, engines.length), `${id} to be ready`),
      ),
    );
  } catch (err) {
    await stop();
    throw err;
  }
  return {
    daemons,
    engines,
    services,
    platform: platformUrl,
    runCli,
    folder,
    startDaemon,
    stop,
  };
}

async function isAnswering(url: string): Promise<boolean> {
  try {
    const res = await request(url);
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

async function readStatus(admin: string): Promise<unknown> {
  const res = await request(`${admin}/v1/status`, {
    headers: { authorization: `Bearer ${SECRETS.SKYLARKSAIL_OPERATOR_TOKEN}` },
  });
  return res.body.json();
}

async function isReady(admin: string, engineCount: number): Promise<boolean> {
  if (!(await isAnswering(`${admin}/readyz`))) {
    return false;
  }
  const status = (await readStatus(admin)) as { engines: { known: number } };
  return status.engines.known >= engineCount;
}

/** Polls a condition until it is met; throws after `READY_TIMEOUT_MS`. */
export async function waitFor(isMet: () => Promise<boolean>, what: string): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (!(await isMet())) {
    if (performance.now() > deadline) {
      throw new Error(`waited too long for ${what}`);
    }
    await sleep(READY_POLL_MS);
  }
}
