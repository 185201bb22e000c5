/** Starts instances with the command of the deploy file, on loopback addresses, and ends them by their process ids. */
import { performance } from 'node:perf_hooks';
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

/** Each instance has a loopback address of its own. */
const NETWORK = '127.0.1';
const PORT_TRIES = 50;
const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** The command of `deploy/system.toml`. */
const COMMAND = ['--max-old-space-size=220', '--max-semi-space-size=1', 'target/skylarksail.mjs'];
const READY_TIMEOUT_MS = 20_000;

/** The grace period and bounds of a small deployment. */
const SETTINGS = {
  storeLeaseLeastMs: 1000,
  changeTimeMs: 2000,
  shutdownGraceSeconds: 8,
  retryShare: 0.2,
  retrySlack: 196,
  retryWindowSeconds: 10,
  mostCopies: 8,
  shareMemory: 'auto',
  metricsPort: null,
  logLevel: 'info',
};

/** A port that is free on an address, from `first` on. It is below those that the system gives to connections. */
async function findFreePort(host, first) {
  for (let port = first; port < first + PORT_TRIES; port += 1) {
    if (await isFree(host, port)) {
      return port;
    }
  }
  throw new Error(`no free port on ${host}`);
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Creates a fleet; its settings and logs are in a temporary folder, which `end` removes. */
export function createFleet({ domains, store }) {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-case-'));
  const live = new Set();
  let count = 0;

  function run(instance) {
    const log = openSync(instance.logPath, 'a');
    const child = spawn(process.execPath, COMMAND, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SKYLARKSAIL_BOOT: instance.settingsPath,
      },
    });
    closeSync(log);
    const ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal, at: performance.now() }));
    });
    Object.assign(instance, { child, ended });
    live.add(child);
    void ended.then(() => live.delete(child));
  }

  async function start(domain) {
    count += 1;
    const name = `edge-${domain}-${count}`;
    const host = `${NETWORK}.${count}`;
    const readiness = await findFreePort(host, 18_220);
    const callers = await findFreePort(host, 18_320);
    const peers = await findFreePort(host, 18_420);
    const settingsPath = path.join(folder, `${name}.json`);
    const settings = {
      ...SETTINGS,
      instance: name,
      domain,
      domains: Object.fromEntries(domains.map((one) => [one, 'region-1'])),
      callers: `${host}:${callers}`,
      readiness: `${host}:${readiness}`,
      peers: { host, firstPort: peers, lastPort: peers },
      store: store.address,
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    const logPath = path.join(folder, `${name}.log`);
    const instance = { name, domain, host, callers, readiness, peers, settingsPath, logPath };
    run(instance);
    return instance;
  }

  return {
    start,
    /** Ends all processes that were started, by their ids. */
    end() {
      live.forEach((child) => {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      });
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Resolves when the instance answers its readiness check with 200. */
export async function waitUntilReady({ host, readiness }) {
  const endAt = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endAt) {
    if ((await readStatus(host, readiness)) === 200) {
      return;
    }
    await sleep(50);
  }
  throw new Error('the instance is not ready in time');
}

function readStatus(host, port) {
  return new Promise((resolve) => {
    const req = request({ host, port, path: '/v1/readyz', agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('error', () => resolve(null));
    req.end();
  });
}
