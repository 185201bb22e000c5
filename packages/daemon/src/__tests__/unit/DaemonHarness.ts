/**
 * Test harness: runs daemons and stand-ins in one process and connects them over loopback sockets.
 */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { StandInEngine } from '@skylarksail/stand-ins/StandInEngine';
import { startStandInEngine } from '@skylarksail/stand-ins/StandInEngine';
import { startStandInPlatform } from '@skylarksail/stand-ins/StandInPlatform';
import type { StandInService } from '@skylarksail/stand-ins/StandInService';
import { startStandInService } from '@skylarksail/stand-ins/StandInService';
import type { DaemonApp } from '../../DaemonApp.js';
import { startDaemon } from '../../DaemonApp.js';
import type { DaemonLogger } from '../../DaemonLog.js';
import { settingsSchema } from '../../DaemonSettings.js';

const HOST = '127.0.0.1';
const DOMAIN = 'domain-a';
const POLL_MS = 20;
const MAX_POLLS = 2500;
const OPERATOR_TOKEN = 'test-operator';
export const PEER_SECRET = 'test-peer';
export const TEAM_KEY = 'key-one';
export const OTHER_TEAM_KEY = 'key-two';

export interface HarnessDaemon {
  readonly callers: string;
  readonly admin: string;
  readonly peers: HostPort;
  readonly app: DaemonApp;
}

export interface HarnessOptions {
  /** Receives the log lines of the daemons; without it they are silent. */
  readonly logger?: DaemonLogger;
  /** How long a stopping daemon still serves new requests. */
  readonly balancerLagMs?: number;
}

export interface Harness {
  readonly daemons: readonly HarnessDaemon[];
  readonly engines: readonly StandInEngine[];
  readonly service: StandInService;
  readonly platform: string;
  setFault(address: HostPort | string, fault: Readonly<Record<string, unknown>>): Promise<void>;
  callAdmin(path: string, body?: unknown): Promise<Response>;
  stop(): Promise<void>;
}

/** Returns a port of the loopback interface that is free at the moment. */
export async function findPort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, 'close');
  return port;
}

export function formatUrl({ host, port }: HostPort): string {
  return `http://${host}:${port}`;
}

/** Polls until the condition holds. Throws if it does not within MAX_POLLS polls. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (await condition()) {
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  throw new Error('condition not met in time');
}

/** Creates the test manifest, in which model `letters` is served in `version`. */
export function createManifest(version = 'v1'): unknown {
  const hash = (key: string): string => `sha256:${createHash('sha256').update(key).digest('hex')}`;
  return {
    schema: 1,
    models: [
      {
        id: 'letters',
        layers: 4,
        versions: [
          { id: 'v1', layerBytes: 1000 },
          { id: 'v2', layerBytes: 1000 },
        ],
        serve: version,
        adapters: ['monthly'],
      },
      { id: 'hidden', layers: 4, versions: [{ id: 'v1', layerBytes: 1000 }], serve: 'v1' },
    ],
    teams: [
      {
        id: 'one',
        keyHashes: [hash(TEAM_KEY)],
        models: ['letters'],
        services: ['accounts'],
        maxPriority: 'normal',
      },
      { id: 'two', keyHashes: [hash(OTHER_TEAM_KEY)], models: ['letters'], services: ['accounts'] },
    ],
    services: [
      { id: 'accounts', routes: [{ method: 'POST', path: '/receipts', idempotent: false }] },
    ],
    domains: [{ id: DOMAIN, serves: [{ model: 'letters', minTokensPerSecond: 10_000 }] }],
    accelerators: [
      {
        id: 'fast',
        decodeLayerTokensPerSecond: 100_000,
        prefillLayerTokensPerSecond: 1_000_000,
        weightBytes: 1e9,
        kvLayerTokens: 1_000_000,
        checksFencing: true,
      },
    ],
  };
}

function startEngine(i: number): Promise<StandInEngine> {
  const stage = i % 2;
  return startStandInEngine({
    facts: {
      id: `engine-${i}`,
      domain: DOMAIN,
      rack: `rack-${i}`,
      accelerator: 'fast',
      decodeLayerTokensPerSecond: 100_000,
      prefillLayerTokensPerSecond: 1_000_000,
      weightBytes: 1e9,
      kvLayerTokens: 1_000_000,
      maxBatch: 64,
    },
    host: HOST,
    port: 0,
    holding: {
      model: 'letters',
      version: 'v1',
      adapters: ['monthly'],
      layers: { first: stage * 2, end: stage * 2 + 2 },
      duty: 'mixed',
    },
    checksFencing: true,
    stepMsPerLayer: 1,
    loadMsPerLayer: 1,
  });
}

/**
 * Starts `daemonCount` daemons, and four engines, two for each of two stages, all in one domain.
 */
export async function startHarness(
  daemonCount = 1,
  { logger, balancerLagMs = 50 }: HarnessOptions = {},
): Promise<Harness> {
  process.env.TEST_PEER_SECRET = PEER_SECRET;
  process.env.TEST_OPERATOR_TOKEN = OPERATOR_TOKEN;
  const platform = await startStandInPlatform({ host: HOST, port: 0, listLagMs: 0 });
  const platformUrl = formatUrl(platform.server.address);
  const engines = await Promise.all([0, 1, 2, 3].map(startEngine));
  const service = await startStandInService({ id: 'accounts', host: HOST, port: 0, workMs: 1 });

  async function register(id: string, role: string, address: HostPort, peerPort = 0) {
    await postJson(`${platformUrl}/v1/instances`, {
      id,
      role,
      domain: DOMAIN,
      rack: id,
      address,
      peerPort,
      state: 'live',
    });
  }
  await Promise.all(
    engines.map(({ server }, i) => register(`engine-${i}`, 'engine', server.address)),
  );
  await register('accounts', 'service', service.server.address);

  async function startOne(i: number): Promise<HarnessDaemon> {
    const [callers = 0, admin = 0, peers = 0] = await Promise.all([
      findPort(),
      findPort(),
      findPort(),
    ]);
    await register(`entry-${i}`, 'entry', { host: HOST, port: callers }, peers);
    const app = await startDaemon(
      settingsSchema.parse({
        instance: `entry-${i}`,
        domain: DOMAIN,
        callers: { host: HOST, port: callers },
        admin: { host: HOST, port: admin },
        peers: { host: HOST, port: peers },
        platform: platform.server.address,
        secrets: { peer: { env: 'TEST_PEER_SECRET' }, operator: { env: 'TEST_OPERATOR_TOKEN' } },
        limits: { bodyBytes: 20_000, receiveTimeoutMs: 1000 },
        weightStore: { burstMs: 100 },
        shutdown: { balancerLagMs, graceMs: Math.max(10_000, 2 * balancerLagMs) },
        log: { level: 'silent' },
      }),
      logger,
    );
    return {
      callers: formatUrl({ host: HOST, port: callers }),
      admin: formatUrl({ host: HOST, port: admin }),
      peers: { host: HOST, port: peers },
      app,
    };
  }
  const daemons: HarnessDaemon[] = [];
  for (let i = 0; i < daemonCount; i++) {
    daemons.push(await startOne(i));
  }

  function callAdmin(path: string, body?: unknown): Promise<Response> {
    const url = `${daemons[0]?.admin}${path}`;
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    return body === undefined ? fetch(url, { headers }) : postJson(url, body, headers);
  }

  const harness: Harness = {
    daemons,
    engines,
    service,
    platform: platformUrl,
    setFault: async (address, fault) => {
      const base = typeof address === 'string' ? address : formatUrl(address);
      await postJson(`${base}/faults`, fault);
    },
    callAdmin,
    async stop() {
      await Promise.all(daemons.map(({ app }) => app.stop()));
      await Promise.all([...engines, service, platform].map(({ server }) => server.close()));
    },
  };
  await callAdmin('/v1/manifest', { manifest: createManifest(), submission_id: 'first' });
  await waitUntil(async () => {
    const answers = await Promise.all(daemons.map(({ admin }) => fetch(`${admin}/readyz`)));
    return answers.every(({ status }) => status === 200);
  });
  await waitUntil(async () => {
    const statuses = await Promise.all(
      daemons.map(async ({ admin }) => {
        const res = await fetch(`${admin}/v1/status`, {
          headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        });
        return (await res.json()) as { engines: { known: number }; members: number };
      }),
    );
    return statuses.every(
      ({ engines: { known }, members }) => known === engines.length && members === daemonCount,
    );
  });
  return harness;
}

export function postJson(
  url: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
  return fetch(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });
}
