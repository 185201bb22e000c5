/** Clients on a thread of their own, so that they go on while the event loop of the test stands still. */
import { request } from 'node:http';
import { Worker } from 'node:worker_threads';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { afterReading } from '../DaemonTimers.js';

const MAX_BLOCK: Millis = 10_000;

/** Sends the same bytes on each of its connections and closes it once they are written. */
const CLIENTS = `
  const { workerData } = require('node:worker_threads');
  const { connect } = require('node:net');
  const { port, text, count, shared } = workerData;
  let closed = 0;
  for (let i = 0; i < count; i += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.on('close', () => {
      closed += 1;
      if (closed === count) {
        Atomics.store(shared, 0, 1);
        Atomics.notify(shared, 0);
      }
    });
    socket.end(Buffer.from(text, 'latin1'), () => socket.destroy());
  }`;

/**
 * Blocks the event loop until clients have sent a whole request each to a port and closed their connections. `text` has one
 * character for each byte.
 */
export function blockWhileClientsLeave(port: number, text: string, count: number): void {
  const shared = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  const worker = new Worker(CLIENTS, { eval: true, workerData: { port, text, count, shared } });
  const outcome = Atomics.wait(shared, 0, 0, MAX_BLOCK);
  void worker.terminate();
  if (outcome === 'timed-out') {
    throw new Error('the clients did not end');
  }
}

/** Waits until an HTTP server has read all that came to its port before this call. */
export async function waitUntilRead(port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const req = request({ host: '127.0.0.1', port, agent: false }, (res) => {
      res.resume();
      res.on('end', resolve);
    });
    req.on('error', reject);
    req.end();
  });
  await new Promise<void>((resolve) => {
    afterReading(resolve);
  });
}
