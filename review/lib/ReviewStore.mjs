/** Stand-in of the platform's store: keys with revisions, watches, writes under conditions, and leases. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const HOST = '127.0.0.1';
const EXPIRY_PERIOD_MS = 50;
const MAX_WAIT_MS = 30_000;
const ANSWER_TIME_MS = 4;
/** Keys that the system may not write. */
const FOREIGN_KEY = /^(op|servers)\//;

/** Creates an empty store; `put` and `remove` are the writes of the operator and of servers. */
export function createStore() {
  const items = new Map();
  const events = [];
  const leases = new Map();
  const waiters = new Set();
  /** Number of waiting watches, by owner. */
  const watching = new Map();
  const servers = [];
  const watchListeners = [];
  let revision = 1;
  let lastLease = 0;

  function apply(writes, removals) {
    revision += 1;
    for (const { key, value, lease = 0 } of writes) {
      const created = items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      items.set(key, item);
      events.push(item);
    }
    for (const key of removals.filter((one) => items.has(one))) {
      items.delete(key);
      events.push({ key, revision, tombstone: true });
    }
    [...waiters].forEach((wake) => wake());
  }

  function put(key, json) {
    apply([{ key, value: Buffer.from(JSON.stringify(json)).toString('base64') }], []);
  }

  function endLease(id) {
    const isKnown = leases.delete(id);
    const keys = [...items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length > 0) {
      apply([], keys);
    }
    return isKnown;
  }

  function extendLease(id, ttl) {
    leases.set(id, { ttl, endsAt: performance.now() + ttl });
  }

  function listRange(prefix) {
    return [...items.values()].filter(({ key }) => key.startsWith(prefix));
  }

  function listEvents(prefix, after) {
    return events.filter((event) => event.key.startsWith(prefix) && event.revision > after);
  }

  function waitForChange(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(wake, ms);
      function wake() {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      }
      waiters.add(wake);
    });
  }

  async function watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endsAt = performance.now() + Math.min(MAX_WAIT_MS, Number(query.get('wait_ms')));
    while (listEvents(prefix, after).length === 0 && performance.now() < endsAt) {
      await waitForChange(endsAt - performance.now());
    }
    return [200, { events: listEvents(prefix, after), current_rev: revision }];
  }

  function write({ expected = [], set_keys: writes = [], remove = [] }) {
    const isForeign = [...writes.map(({ key }) => key), ...remove].some((key) =>
      FOREIGN_KEY.test(key),
    );
    if (isForeign) {
      return [403, {}];
    }
    if (expected.some((one) => (items.get(one.key)?.revision ?? 0) !== one.revision)) {
      const current = expected.flatMap(({ key }) => items.get(key) ?? []);
      return [412, { items: current }];
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
      return [404, {}];
    }
    apply(writes, remove);
    return [200, { revision }];
  }

  function answer(method, { pathname, searchParams }, body) {
    const lease = Number(pathname.slice(pathname.lastIndexOf('/') + 1));
    if (pathname === '/v1/kv-range') {
      const found = listRange(searchParams.get('prefix') ?? '');
      return [200, { items: found, more_pages: false, current_rev: revision }];
    }
    if (pathname === '/v1/kv-key') {
      const item = items.get(searchParams.get('key'));
      return item ? [200, { ...item, current_rev: revision }] : [404, { current_rev: revision }];
    }
    if (pathname === '/v1/kv-watch') {
      return watch(searchParams);
    }
    if (pathname === '/v1/kv-txn') {
      return write(JSON.parse(body));
    }
    if (pathname === '/v1/kv-lease') {
      const { ttl_ms: ttl } = JSON.parse(body);
      lastLease += 1;
      extendLease(lastLease, ttl);
      return [200, { lease: lastLease, ttl_ms: ttl }];
    }
    const known = leases.get(lease);
    if (pathname.startsWith('/v1/kv-keep/') && known) {
      extendLease(lease, known.ttl);
      return [200, {}];
    }
    if (method === 'DELETE' && pathname.startsWith('/v1/kv-lease-end/') && endLease(lease)) {
      return [200, {}];
    }
    return [404, {}];
  }

  async function serve(owner, req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const url = new URL(req.url, `http://${HOST}`);
    const body = Buffer.concat(chunks).toString('utf8');
    const isWatch = url.pathname === '/v1/kv-watch';
    if (isWatch) {
      watching.set(owner, (watching.get(owner) ?? 0) + 1);
      watchListeners.splice(0).forEach((resolve) => resolve(owner));
    }
    const [status, json] = await answer(req.method, url, body);
    if (isWatch) {
      watching.set(owner, watching.get(owner) - 1);
    }
    setTimeout(() => {
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(json));
    }, ANSWER_TIME_MS);
  }

  const expiry = setInterval(() => {
    const now = performance.now();
    [...leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => endLease(id));
  }, EXPIRY_PERIOD_MS);
  return {
    /** Opens an address for one process, by which its calls are known. */
    async open(owner) {
      const server = createServer((req, res) => {
        serve(owner, req, res).catch(() => res.destroy());
      });
      servers.push(server);
      await new Promise((resolve) => {
        server.listen(0, HOST, resolve);
      });
      return `${HOST}:${server.address().port}`;
    },
    /** Resolves to the process whose watch begins next. */
    waitForWatch: () =>
      new Promise((resolve) => {
        watchListeners.push(resolve);
      }),
    /** Processes that have a watch waiting now. */
    listWatching: () => [...watching].filter(([, count]) => count > 0).map(([owner]) => owner),
    put,
    remove: (key) => apply([], [key]),
    close() {
      clearInterval(expiry);
      servers.forEach((server) => {
        server.closeAllConnections();
        server.close();
      });
    },
  };
}
