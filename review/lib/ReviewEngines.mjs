/** Model engines that hold layers as they are ordered; they answer reports, health checks and orders only. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
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

/** Starts an engine without layers and registers it. */
export async function startEngine({ store, id, zone, kind, note }) {
  const server = createServer(serve);
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const address = `${HOST}:${server.address().port}`;
  let layers = null;
  let orders = 0;

  function register() {
    const entry = createEngineEntry({ id, address, zone, kind, layers, orders });
    store.put(`servers/${id}`, entry);
  }

  function order({ operation, from, target, expected }) {
    if (operation !== 'place') {
      return [400, {}];
    }
    if (expected !== undefined && expected !== orders) {
      return [409, {}];
    }
    orders += 1;
    layers = { from, target, version: 1 };
    note(`engine ${id} is ordered to hold ${from}-${target}`);
    register();
    return [202, {}];
  }

  function answer(url, body) {
    if (url === '/v1/report') {
      return [200, { stage: 'both', models: [], busy: false, seq_no: orders, layers }];
    }
    return url === '/v1/order' ? order(JSON.parse(body)) : [404, {}];
  }

  function serve(req, res) {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      if (req.url === HEALTH_PATH) {
        res.writeHead(200, { 'x-skylarksail-instance-id': id, 'content-length': 0 }).end();
        return;
      }
      const [status, json] = answer(req.url, Buffer.concat(chunks).toString('utf8'));
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(json));
    });
  }

  register();
  return {
    getLayers: () => layers,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
