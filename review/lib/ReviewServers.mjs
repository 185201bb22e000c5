/** Backend servers of a plain service, and the configuration with their route. */
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { HOST } from './ReviewFleet.mjs';

export const SERVICE = 'accounts-app';
export const CALL = { host: 'accounts.example', path: '/receipts/new', key: 'key-of-branches' };
const TEAM = 'branches';
const HEALTH_PATH = '/healthz';
const NOT_RUN = { 'x-skylarksail-not-executed': '1' };
const WHOLE_BODY = 'r'.repeat(800);

/** Writes a configuration with one route to the service, and with others beside it. */
export function putConfig(store, { kind, routes = [], services = [], limits = {}, version = 1 }) {
  store.put('op/config', {
    version,
    routes: [
      {
        name: 'receipts',
        host: CALL.host,
        prefix: '/receipts/',
        route_kind: kind,
        service: SERVICE,
        timeout_ms: 4000,
        latency_goal_ms: 386,
        priority: 1,
        max_attempts: 3,
      },
      ...routes,
    ],
    services: [{ name: SERVICE, max_conns: 96, health_path: HEALTH_PATH }, ...services],
    tenants: [{ name: TEAM, api_keys: [CALL.key] }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
  });
}

/**
 * Starts a server and registers it. It runs `slots` requests at a time and queues `queue` more. `onRun` receives each
 * request that begins to run, `onRefused` each that is told that it has not; `beforeRun` may write to the connection of
 * a request before it runs.
 */
export async function startServer({ store, id, zone, note, ...options }) {
  const { slots = 6, queue = 4, getWorkTime, onRun, beforeRun } = options;
  const waiting = [];
  const counts = { arrived: 0, ran: 0, refused: 0 };
  let running = 0;

  function answerNotRun(req, res, status) {
    counts.refused += 1;
    const requestId = req.headers['x-skylarksail-request-id'] ?? '';
    const body = 'not run';
    const head = { ...NOT_RUN, 'x-skylarksail-request-id': requestId };
    res.writeHead(status, { ...head, 'content-length': body.length });
    res.end(body);
    options.onRefused?.({ id: requestId, status, socket: req.socket, body });
  }

  function begin(req, res) {
    const requestId = req.headers['x-skylarksail-request-id'];
    if (res.destroyed) {
      next();
      return;
    }
    running += 1;
    counts.ran += 1;
    beforeRun?.({ id: requestId, socket: req.socket });
    onRun?.({ id: requestId, server: id });
    note(`server ${id} runs ${requestId}`);
    const timer = setTimeout(() => {
      running -= 1;
      if (options.writeAnswer) {
        options.writeAnswer({ req, res, id });
      } else {
        writeAnswer(req, res);
      }
      next();
    }, getWorkTime());
    res.once('close', () => {
      if (!res.writableEnded && timer.hasRef()) {
        clearTimeout(timer);
        timer.unref();
        running -= 1;
        next();
      }
    });
  }

  function writeAnswer(req, res) {
    res.writeHead(200, {
      'x-skylarksail-request-id': req.headers['x-skylarksail-request-id'],
      'x-skylarksail-server-stamp': `${id}.stamp`,
      'content-length': WHOLE_BODY.length,
    });
    res.end(WHOLE_BODY);
  }

  function next() {
    const entry = waiting.shift();
    if (entry !== undefined && running < slots) {
      entry();
    }
  }

  async function serve(req, res) {
    for await (const chunk of req) {
      void chunk;
    }
    if (req.url === HEALTH_PATH) {
      res.writeHead(200, { 'x-skylarksail-instance-id': id, 'content-length': 0 }).end();
      return;
    }
    const requestId = req.headers['x-skylarksail-request-id'];
    counts.arrived += 1;
    note(`server ${id} gets ${requestId}`);
    options.onArrival?.({ id: requestId, server: id });
    const expected = req.headers['x-skylarksail-expect-instance'];
    if (expected !== undefined && expected !== id) {
      answerNotRun(req, res, 421);
      return;
    }
    if (running < slots) {
      begin(req, res);
    } else if (waiting.length < queue) {
      waiting.push(() => begin(req, res));
    } else {
      answerNotRun(req, res, 503);
    }
  }

  const server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
    serve(req, res).catch(() => res.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });

  /** Writes the entry; the store has acknowledged it when this returns. */
  function register(state) {
    store.put(`servers/${id}`, {
      id,
      service: SERVICE,
      address: `${HOST}:${server.address().port}`,
      zone,
      version: 1,
      slots,
      state,
      cold_left_ms: 0,
      seq_no: 0,
    });
  }

  register('ready');
  return {
    id,
    counts,
    register,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
