/** Starts and ends the project's own processes with the command and the settings template of the deploy file. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { performance } from 'node:perf_hooks';
import { fileURLToPath, URL } from 'node:url';

export const HOST = '127.0.0.1';
const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const DEPLOY_FILE = 'deploy/system.toml';
const PASSED_VARIABLES = ['PATH', 'HOME', 'LANG'];
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 100;

/** Bounds of a small deployment, as its sheet gives them. */
export const BOUNDS = {
  stable_window_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_ms: 2000,
  rollback_slack_ms: 250,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 196,
};
export const ZONES = { 'port-hall': 'tt-north', 'arima-hall': 'tt-north', 'chag-hall': 'tt-north' };

/** Below the ports that the system gives to outgoing connections, which could take one before its process starts. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

async function isFree(port) {
  const server = createServer();
  server.listen(port, HOST);
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  await once(server.close(), 'close');
  return true;
}

/** Finds ports that are free at the time of the call, and that `taken` does not hold yet. */
async function findFreePorts(count, taken) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!taken.has(port) && (await isFree(port))) {
      taken.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function readDeployValue(name) {
  const text = readFileSync(join(ROOT, DEPLOY_FILE), 'utf8');
  const match = new RegExp(`^${name} = "(.*)"$`, 'm').exec(text);
  if (!match) {
    throw new Error(`${DEPLOY_FILE} has no ${name}`);
  }
  return match[1];
}

/** Fills in the project's settings template; it has only placeholders of the form `{{a.b|json}}`. */
function fillTemplate(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path) => {
    const value = path.split('.').reduce((object, name) => object?.[name], fields);
    return JSON.stringify(value);
  });
}

/** `note` records starts and ends. All processes and files are gone after `close`. */
export function createFleet({ store, note }) {
  const folder = mkdtempSync(join(tmpdir(), 'skylarksail-review-'));
  const [program, ...args] = readDeployValue('run').split(' ');
  const template = readFileSync(join(ROOT, readDeployValue('template')), 'utf8');
  const running = new Set();
  const taken = new Set();

  function createSettings({ name, zone, bounds, storeAddress }, [front, ready, peers, metrics]) {
    const text = fillTemplate(template, {
      node_name: name,
      zone,
      zones: ZONES,
      ip: HOST,
      listen: { front: `${HOST}:${front}`, ready: `${HOST}:${ready}` },
      internal_ports: [peers, peers],
      platform: { address: storeAddress, ttl_min_ms: 1000 },
      bounds: { ...BOUNDS, ...bounds },
    });
    // All machines share one address here, so each needs a port of its own for its metrics.
    return JSON.stringify({ ...JSON.parse(text), metricsPort: metrics });
  }

  function isReady(port) {
    return new Promise((resolve) => {
      const req = get({ host: HOST, port, path: '/v1/readyz' }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.once('error', () => resolve(false));
    });
  }

  /** Starts a process; `start` of an instance that has ended starts it again with the same settings. */
  async function add(name, zone, bounds = {}) {
    const ports = await findFreePorts(4, taken);
    const storeAddress = await store.open(name);
    const settings = join(folder, `${name}.json`);
    writeFileSync(settings, createSettings({ name, zone, bounds, storeAddress }, ports));
    const instance = { name, zone, port: ports[0], readyPort: ports[1], child: null, log: '' };
    instance.log = join(folder, `${name}.log`);
    instance.start = () => start(instance, settings);
    start(instance, settings);
    return instance;
  }

  function start(instance, settings) {
    const log = openSync(instance.log, 'a');
    const env = { SKYLARKSAIL_BOOT: settings };
    for (const variable of PASSED_VARIABLES.filter((key) => process.env[key] !== undefined)) {
      env[variable] = process.env[variable];
    }
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', log, log] });
    closeSync(log);
    Object.assign(instance, { child, end: null });
    running.add(child);
    note(`process ${instance.name} started`);
    child.once('exit', (code, signal) => {
      running.delete(child);
      Object.assign(instance, { end: signal ?? `status ${code}` });
      note(`process ${instance.name} ended: ${instance.end}`);
    });
  }

  async function waitUntilReady(instances) {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    for (const { name, readyPort } of instances) {
      while (!(await isReady(readyPort))) {
        if (performance.now() > endsAt) {
          throw new Error(`${name} is not ready`);
        }
        await sleep(READY_POLL_MS);
      }
    }
  }

  return {
    add,
    waitUntilReady,
    readLog: ({ log }) => readFileSync(log, 'utf8'),
    async close() {
      const ended = [...running].map((child) => once(child, 'exit'));
      running.forEach((child) => child.kill('SIGKILL'));
      await Promise.all(ended);
      if (process.env.KEEP_LOGS === undefined) {
        rmSync(folder, { recursive: true, force: true });
      }
    },
    folder,
  };
}
