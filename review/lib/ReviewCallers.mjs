/** Callers: each sends one request at a time on a connection that it keeps. */
import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';
import { HOST } from './ReviewFleet.mjs';

let lastId = 0;

/** A request id that no other request has. */
export function createRequestId(prefix) {
  lastId += 1;
  return `${prefix}${String(lastId).padStart(6, '0')}`;
}

/** A caller that keeps one connection to an instance. */
export function createCaller(instance) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  return {
    instance,
    send: (call) => send(instance, agent, call),
    close: () => agent.destroy(),
  };
}

/** Sends a request; resolves to its status, headers and body, or to `status: null` if no complete answer came. */
function send({ port }, agent, { id, method = 'POST', path, host, key, deadline, headers, body }) {
  const text = body ?? '';
  return new Promise((resolve) => {
    const req = request(
      {
        host: HOST,
        port,
        agent,
        method,
        path,
        headers: {
          host,
          'content-length': Buffer.byteLength(text),
          'x-skylarksail-request-id': id,
          'x-skylarksail-deadline-ms': String(deadline),
          ...(key === undefined ? {} : { authorization: `Token ${key}` }),
          ...headers,
        },
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => undefined);
        res.on('close', () => {
          const received = Buffer.concat(chunks).toString('latin1');
          resolve(
            res.complete
              ? { status: res.statusCode, headers: res.headers, body: received }
              : { status: null, failure: 'cut', body: received },
          );
        });
      },
    );
    req.on('error', (err) => resolve({ status: null, failure: err.code ?? err.message }));
    req.setTimeout(deadline + 1500, () => req.destroy(new Error('deadline')));
    req.end(text);
  });
}
