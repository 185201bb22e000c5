/** Two services that answer with their names, and a route that a configuration sends to one of them. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { createRequestId } from './ReviewCallers.mjs';
import { HOST } from './ReviewFleet.mjs';

export const SERVICES = ['registry-old', 'registry-new'];
const ROUTE = { host: 'filings.example', prefix: '/filings/' };
const KEY = 'key-of-clerks';
const DEADLINE_MS = 1000;

/** Starts the servers of both services and sends the route to the first. */
export async function createMovedRoute({ store, note, onEnd }) {
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
  return { putRoute };
}

/** Sends a request on the route; resolves to its id, its status and the service that ran it. */
export async function callRoute(caller) {
  const id = createRequestId('filing');
  const { status, body } = await caller.send({
    ...ROUTE,
    method: 'GET',
    path: `${ROUTE.prefix}${id}`,
    key: KEY,
    id,
    deadline: DEADLINE_MS,
  });
  return { id, status, service: status === 200 ? body : null };
}
