/** Model engines: they hold layers as they are ordered, and stream answers over chains. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { HOST } from './ReviewFleet.mjs';

export const MODEL_SERVICE = 'lm-pool';
const HEALTH_PATH = '/healthz';

/** The service as a configuration describes it, with the facts of its deployment's sheet. */
export const MODEL_SERVICE_CONFIG = {
  name: MODEL_SERVICE,
  max_conns: 968,
  health_path: HEALTH_PATH,
  engine: {
    layers: 80,
    layer_mb: 1750,
    kv_token_bytes: 1_000_000,
    act_bytes: 8000,
    kinds: [
      { name: 'h100', size_mb: 72_000, pace: 1.4, read_factor: 1 },
      { name: 'a100s', size_mb: 36_000, pace: 3.1, read_factor: 3.2 },
      { name: 'l4', size_mb: 22_000, pace: 16, read_factor: 8.2 },
      { name: 't4', size_mb: 14_000, pace: 15, read_factor: 15 },
    ],
    step_ms: 0.85,
    per_seq_ms: 0.01,
    context_per_k: 0.01,
    read_per_s: 196_000,
    slots: 134,
    models: [{ name: 'letters', version: 1, load_s: 5 }],
    pipe_mbps: 11_000,
    usual: { prompt: 760, answer: 172 },
  },
};

/** The entry of an engine that holds `layers`. */
export function createEngineEntry({ id, address, zone, kind, layers = null, orders = 0 }) {
  return {
    id,
    service: MODEL_SERVICE,
    address,
    zone,
    version: 1,
    slots: 134,
    state: 'ready',
    cold_left_ms: 0,
    seq_no: orders,
    route_kind: kind,
    layers,
  };
}

/** Host, path and headers of a call for a stream; `events` is its number of events. */
export const STREAM_ROUTE = { host: 'letters.example', prefix: '/letters/' };

/** The route of streams that may not be resumed. */
export const STREAM_ROUTE_CONFIG = {
  name: 'letters',
  ...STREAM_ROUTE,
  route_kind: 'stream',
  sticky: true,
  service: MODEL_SERVICE,
  timeout_ms: 20_000,
  latency_goal_ms: 500,
  gap_goal_ms: 200,
  priority: 1,
  max_attempts: 3,
};
export const STREAM_HEADERS = {
  'x-skylarksail-model': 'letters',
  'x-skylarksail-token-count': '800,172',
  'x-skylarksail-prompt-prefix': '5c1e07a2:40,91bd3f06:760',
};
export const EVENTS = 86;
const EVENT_GAP_MS = 20;
const LOAD_MS = 300;

/** Reads the parts of a chain: engines with the layers that each of them is to run. */
function readChain(header) {
  return header.split(',').map((part) => {
    const [address, layers] = part.split('=');
    const [from, target] = layers.split('-').map(Number);
    return { address, from, target };
  });
}

/** Engines of one deployment; each knows the others by their addresses, as a chain names them. */
export function createEngines({ store, note }) {
  const byAddress = new Map();

  /** Starts an engine without layers and registers it; `isUnframed`: its answers have no length. */
  async function start({ id, zone, kind, isUnframed = false }) {
    const engine = { id, layers: null };
    const server = createServer(serve);
    let orders = 0;
    await new Promise((resolve) => {
      server.listen(0, HOST, resolve);
    });
    const address = `${HOST}:${server.address().port}`;

    function register() {
      const { layers } = engine;
      store.put(`servers/${id}`, createEngineEntry({ id, address, zone, kind, layers, orders }));
    }

    function order({ operation, from, target, expected }) {
      if (operation !== 'place') {
        return [400, {}];
      }
      if (expected !== undefined && expected !== orders) {
        return [409, {}];
      }
      orders += 1;
      note(`engine ${id} is ordered to hold ${from}-${target}`);
      setTimeout(() => {
        engine.layers = { from, target, version: 1 };
        register();
      }, LOAD_MS);
      return [202, {}];
    }

    function answer(url, body) {
      if (url === '/v1/report') {
        const { layers } = engine;
        return [200, { stage: 'both', models: [], busy: false, seq_no: orders, layers }];
      }
      return url === '/v1/order' ? order(JSON.parse(body)) : [404, {}];
    }

    function answerNotRun(req, res, status, faulty) {
      res.writeHead(status, {
        'x-skylarksail-request-id': req.headers['x-skylarksail-request-id'],
        'x-skylarksail-not-executed': '1',
        'at-server': faulty,
        'content-length': 0,
      });
      res.end();
    }

    /** Why an engine of a chain can't run its part: 503 if it is not there, 421 if it lacks layers. */
    function findFault({ address: part, from, target }) {
      const other = byAddress.get(part);
      if (!other) {
        return 503;
      }
      const { layers } = other;
      return layers === null || layers.from > from || layers.target < target ? 421 : null;
    }

    function stream(req, res) {
      const requestId = req.headers['x-skylarksail-request-id'];
      note(`engine ${id} gets ${requestId}`);
      if (req.headers['x-skylarksail-expect-instance'] !== id) {
        answerNotRun(req, res, 421, address);
        return;
      }
      const chain = readChain(req.headers['x-skylarksail-hop-count'] ?? `${address}=0-80`);
      const bad = chain.find((part) => findFault(part) !== null);
      if (bad) {
        answerNotRun(req, res, findFault(bad), bad.address);
        return;
      }
      if (isUnframed) {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
      }
      res.writeHead(200, {
        'x-skylarksail-request-id': requestId,
        'x-skylarksail-server-stamp': `${id}.stamp`,
        'content-type': 'text/event-stream',
      });
      let sent = Number(req.headers['last-event-id'] ?? 0);
      const timer = setInterval(() => {
        sent += 1;
        res.write(`id: ${sent}\ndata: event ${sent}\n\n`);
        if (sent === EVENTS) {
          clearInterval(timer);
          res.end();
        }
      }, EVENT_GAP_MS);
      res.once('close', () => {
        clearInterval(timer);
      });
    }

    function serve(req, res) {
      const chunks = [];
      req.on('data', (chunk) => chunks.push(chunk));
      req.on('end', () => {
        if (req.url === HEALTH_PATH) {
          res.writeHead(200, { 'x-skylarksail-instance-id': id, 'content-length': 0 }).end();
        } else if (req.url.startsWith(STREAM_ROUTE.prefix)) {
          stream(req, res);
        } else {
          const [status, json] = answer(req.url, Buffer.concat(chunks).toString('utf8'));
          res.writeHead(status, { 'content-type': 'application/json' });
          res.end(JSON.stringify(json));
        }
      });
    }

    Object.assign(engine, {
      close() {
        server.closeAllConnections();
        server.close();
      },
    });
    byAddress.set(address, engine);
    register();
    return engine;
  }

  return { start };
}
