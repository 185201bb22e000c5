/** Instances that are in touch must apply a change in time while the few that watch the store for them do not answer. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { createCaller, createRequestId } from '../lib/ReviewCallers.mjs';
import { runCase } from '../lib/ReviewCase.mjs';
import { HOST, ZONES } from '../lib/ReviewFleet.mjs';

const INSTANCES_PER_ZONE = 5;
/** Bounds of the site. */
const BOUNDS = { config_ms: 3000, stable_window_ms: 4000, drain_ms: 3000, retry_budget_slack: 304 };
const WATCHERS = 3;
const SETTLE_MS = 8000;
const ROUNDS = 2;
const ROUND_MS = 7000;
const CALL_GAP_MS = 40;
const DEADLINE_MS = 1000;
const ROUTE = { host: 'filings.example', prefix: '/filings/' };
const KEY = 'key-of-clerks';
const SERVICES = ['registry-old', 'registry-new'];

await runCase(import.meta.url, async ({ store, fleet, note, hasTrouble, onEnd }) => {
  let version = 0;

  /** Writes a configuration that sends the route to a service; the store has acknowledged it when this returns. */
  function putRoute(service) {
    version += 1;
    store.put('op/config', {
      version,
      routes: [
        {
          name: 'filings',
          ...ROUTE,
          route_kind: 'safe',
          service,
          timeout_ms: 4000,
          latency_goal_ms: 244,
          priority: 1,
          max_attempts: 2,
        },
      ],
      services: SERVICES.map((name) => ({ name, max_conns: 420, health_path: '/healthz' })),
      tenants: [{ name: 'clerks', api_keys: [KEY] }],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
      },
    });
    note(`version ${version} is acknowledged: the route goes to ${service}`);
    return performance.now();
  }

  /** A server that answers each request with the name of its service. */
  async function startNamedServer(service) {
    const id = `i-${service}`;
    const server = createServer((req, res) => {
      req.resume();
      res.writeHead(200, {
        'x-skylarksail-instance-id': id,
        'x-skylarksail-request-id': req.headers['x-skylarksail-request-id'] ?? '',
        'x-skylarksail-server-stamp': `${id}.stamp`,
        'content-length': Buffer.byteLength(service),
      });
      res.end(service);
    });
    await new Promise((resolve) => {
      server.listen(0, HOST, resolve);
    });
    onEnd(() => {
      server.closeAllConnections();
      server.close();
    });
    store.put(`servers/${id}`, {
      id,
      service,
      address: `${HOST}:${server.address().port}`,
      zone: 'port-hall',
      version: 1,
      slots: 60,
      state: 'ready',
      cold_left_ms: 0,
      seq_no: 0,
    });
  }

  for (const service of SERVICES) {
    await startNamedServer(service);
  }
  putRoute(SERVICES[0]);
  const zones = Object.keys(ZONES);
  const instances = [];
  for (let i = 0; i < zones.length * INSTANCES_PER_ZONE; i += 1) {
    instances.push(await fleet.add(`edge-${i + 1}`, zones[i % zones.length], BOUNDS));
  }
  await fleet.waitUntilReady(instances);
  await sleep(SETTLE_MS);
  const callers = new Map(instances.map((instance) => [instance, createCaller(instance)]));
  callers.forEach((caller) => onEnd(caller.close));
  const late = [];
  let served = 0;

  async function call(instance, ackAt, service, endsAt) {
    while (performance.now() < endsAt) {
      const sentAfter = performance.now() - ackAt;
      const id = createRequestId('filing');
      const { status, body } = await callers.get(instance).send({
        ...ROUTE,
        method: 'GET',
        path: `${ROUTE.prefix}${id}`,
        key: KEY,
        id,
        deadline: DEADLINE_MS,
      });
      served += status === 200 ? 1 : 0;
      if (status === 200 && body !== service) {
        note(`${instance.name}: ${id}, sent ${Math.round(sentAfter)} ms after, ran at ${body}`);
      }
      if (status === 200 && body !== service && sentAfter > BOUNDS.config_ms) {
        late.push({ instance, sentAfter });
      }
      await sleep(CALL_GAP_MS);
    }
  }

  for (let round = 1; round <= ROUNDS; round += 1) {
    const names = store.listWatching();
    if (names.length !== WATCHERS) {
      throw new Error(`${names.length} instances watch the store`);
    }
    const cut = hasTrouble ? instances.filter(({ name }) => names.includes(name)) : [];
    cut.forEach(({ name, child }) => {
      child.kill('SIGSTOP');
      note(`${name} does not answer from now on`);
    });
    const service = SERVICES[round % SERVICES.length];
    const ackAt = putRoute(service);
    const calm = instances.filter((instance) => !cut.includes(instance));
    await Promise.all(calm.map((instance) => call(instance, ackAt, service, ackAt + ROUND_MS)));
    cut.forEach(({ child }) => child.kill('SIGCONT'));
    await sleep(SETTLE_MS);
  }

  const names = new Set(late.map(({ instance }) => instance.name));
  const latest = Math.max(0, ...late.map(({ sentAfter }) => Math.round(sentAfter)));
  return {
    isBroken: late.length > 0,
    isPlayed: served > 0,
    summary: `${late.length} requests ran at the old service too late, at ${names.size} instances; the last was sent ${latest} ms after the acknowledgement`,
  };
});
