/** Stand-ins of backend servers of plain services, and the configuration that names them. */
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { createServer } from 'node:http';

const HOST = '127.0.0.1';
export const HEALTH_PATH = '/healthz';
const HEARTBEAT_MS = 1200;
export const ROUTE_HOST = 'front.example';
export const KEY = 'key-1';
export const TENANT = 'team-1';

/**
 * Starts a server and registers it. `handle(req, res, body)` answers requests; health checks are answered here. `runs` lists the
 * ids of the requests that ran.
 */
export async function startServer({ store, id, service, zone, handle }) {
  const runs = [];
  let beats = 0;
  const server = createServer(async (req, res) => {
    const chunks = [];
    try {
      for await (const chunk of req) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const expected = req.headers['x-skylarksail-expect-instance'];
    if (expected !== undefined && expected !== id) {
      res.writeHead(421).end();
    } else if (req.url === HEALTH_PATH) {
      res.writeHead(200, { 'x-skylarksail-instance-id': id }).end();
    } else {
      runs.push(req.headers['x-skylarksail-request-id']);
      handle(req, res, Buffer.concat(chunks));
    }
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const address = `${HOST}:${server.address().port}`;

  function register() {
    beats += 1;
    store.put(`servers/${id}`, {
      service,
      address,
      zone,
      version: 1,
      slots: 64,
      state: 'ready',
      cold_left_ms: 0,
      seq_no: beats,
    });
  }

  const heartbeat = setInterval(register, HEARTBEAT_MS);
  register();
  return {
    id,
    address,
    runs,
    close() {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Headers of a server's own answer. */
export function createAnswerHeaders(req, id) {
  return {
    'x-skylarksail-request-id': req.headers['x-skylarksail-request-id'],
    'x-skylarksail-server-stamp': `${id}.stamp`,
  };
}

/** A configuration with plain services and one route of a kind to the first of them. */
export function createConfig({ version = 1, kind, route = {}, services = ['accounts'] }) {
  return {
    version,
    routes: [
      {
        name: 'statements',
        host: ROUTE_HOST,
        prefix: '/statements/',
        route_kind: kind,
        service: services[0],
        timeout_ms: 20_000,
        latency_goal_ms: 2000,
        priority: 1,
        max_attempts: 2,
        ...route,
      },
    ],
    services: services.map((name) => ({ name, max_conns: 96, health_path: HEALTH_PATH })),
    tenants: [{ name: TENANT, api_keys: [KEY] }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** The head of a request without a body, as a caller sends it. */
export function createHead({ method, path, id, deadline }) {
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${ROUTE_HOST}`,
    `X-Skylarksail-Request-Id: ${id}`,
    `X-Skylarksail-Deadline-Ms: ${deadline}`,
    `Authorization: Token ${KEY}`,
    '\r\n',
  ].join('\r\n');
}
