/** Stand-in of the platform's store: keys with leases, transactions and watches, as the pages describe them. */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer } from 'node:http';

const HOST = '127.0.0.1';
const EXPIRY_PERIOD_MS = 50;
const MAX_EVENTS = 100_000;

/** Starts a store; `put` and `remove` write to it as the operator and the servers do. */
export async function startStore() {
  const items = new Map();
  const leases = new Map();
  const events = [];
  const listeners = new Set();
  const open = new Set();
  let revision = 10;
  let lastLease = 100;

  function note(event) {
    events.push(event);
    if (events.length > MAX_EVENTS) {
      events.shift();
    }
  }

  function wake() {
    [...listeners].forEach((listener) => listener());
  }

  function write(writes, removals) {
    revision += 1;
    writes.forEach(({ key, value, lease = 0 }) => {
      const created = items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      items.set(key, item);
      note(item);
    });
    removals
      .filter((key) => items.delete(key))
      .forEach((key) => note({ key, revision, tombstone: true }));
    wake();
    return revision;
  }

  function endLease(id) {
    leases.delete(id);
    const bound = [...items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
    if (bound.length > 0) {
      write([], bound);
    }
  }

  const expiry = setInterval(() => {
    const now = performance.now();
    [...leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => endLease(id));
  }, EXPIRY_PERIOD_MS);

  function listEvents(prefix, after) {
    return events.filter((event) => event.revision > after && event.key.startsWith(prefix));
  }

  function waitForEvents(prefix, after, waitMs, res) {
    return new Promise((resolve) => {
      let timer = null;
      function end() {
        clearTimeout(timer);
        listeners.delete(check);
        resolve();
      }
      function check() {
        if (listEvents(prefix, after).length > 0) {
          end();
        }
      }
      timer = setTimeout(end, waitMs);
      listeners.add(check);
      res.once('close', end);
      check();
    });
  }

  async function answer(req, res, body) {
    const url = new URL(req.url, `http://${HOST}`);
    const query = url.searchParams;
    const prefix = query.get('prefix') ?? '';
    if (url.pathname === '/v1/kv-key') {
      const item = items.get(query.get('key'));
      return item ? [200, item] : [404, {}];
    }
    if (url.pathname === '/v1/kv-range') {
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, { items: found, more_pages: false, current_rev: revision }];
    }
    if (url.pathname === '/v1/kv-watch') {
      const after = Number(query.get('after'));
      await waitForEvents(prefix, after, Number(query.get('wait_ms')), res);
      return [200, { events: listEvents(prefix, after), current_rev: revision }];
    }
    if (url.pathname === '/v1/kv-txn') {
      const { expected = [], set_keys: writes = [], remove = [] } = JSON.parse(body);
      const failed = expected.filter(
        ({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted,
      );
      if (failed.length > 0) {
        return [412, { items: failed.flatMap(({ key }) => items.get(key) ?? []) }];
      }
      if (writes.some(({ lease }) => lease && !leases.has(lease))) {
        return [404, {}];
      }
      return [200, { revision: write(writes, remove) }];
    }
    return answerLease(url.pathname, body);
  }

  function answerLease(pathname, body) {
    if (pathname === '/v1/kv-lease') {
      const { ttl_ms: ttl } = JSON.parse(body);
      lastLease += 1;
      leases.set(lastLease, { ttl, endsAt: performance.now() + ttl });
      return [200, { lease: lastLease, ttl_ms: ttl }];
    }
    const id = Number(pathname.split('/').at(-1));
    const lease = leases.get(id);
    if (!lease) {
      return [404, {}];
    }
    if (pathname.startsWith('/v1/kv-keep/')) {
      lease.endsAt = performance.now() + lease.ttl;
    } else {
      endLease(id);
    }
    return [200, {}];
  }

  async function serve(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const [status, json] = await answer(req, res, Buffer.concat(chunks).toString('utf8'));
    if (!res.destroyed) {
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(json));
    }
  }

  const server = createServer((req, res) => {
    serve(req, res).catch(() => res.destroy());
  });
  server.on('connection', (socket) => {
    open.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => open.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });

  return {
    address: `${HOST}:${server.address().port}`,
    put(key, json) {
      return write([{ key, value: Buffer.from(JSON.stringify(json)).toString('base64') }], []);
    },
    remove: (key) => write([], [key]),
    close() {
      clearInterval(expiry);
      open.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
