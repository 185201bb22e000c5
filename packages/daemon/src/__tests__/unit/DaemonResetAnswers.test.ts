import type { Socket } from 'node:net';
import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import {
  createAnswerMemory,
  DEFAULT_ANSWER_BYTES,
} from '@skylarksail/connections/ConnectionAnswerMemory';
import type { FakeAnswerServer } from '@skylarksail/connections/FakeAnswerServer';
import { startFakeAnswerServer } from '@skylarksail/connections/FakeAnswerServer';
import type { AttemptFailure, ServiceAnswer } from '@skylarksail/requests/RequestPorts';
import { createOrderHttp } from '../../DaemonOrderHttp.js';
import { createPlatformHttp } from '../../DaemonPlatformHttp.js';
import { createServiceHttp } from '../../DaemonServiceHttp.js';

const CALLS = 20;
const MEGABYTE = 1024 * 1024;
const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

/** How the server ends an answer that has neither a length nor chunks. */
const RESETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'at once': (socket) => socket.resetAndDestroy(),
  soon: (socket) => setTimeout(() => socket.resetAndDestroy(), 2),
};

describe('Answers to the daemon that are reset', () => {
  let server: FakeAnswerServer;

  async function serve(text: string, end: (socket: Socket) => void): Promise<void> {
    server = await startFakeAnswerServer((socket) => {
      socket.write(text, () => end(socket));
    });
  }

  afterEach(() => server.close());

  async function callService(body: Buffer): Promise<ServiceAnswer | AttemptFailure> {
    const http = createServiceHttp(
      () => server.address,
      createAnswerMemory({ maxBytes: DEFAULT_ANSWER_BYTES, onGivenUp: () => undefined }),
    );
    try {
      return await new Promise((resolve) => {
        http.open(
          {
            request: 'r',
            attempt: 1,
            service: 's',
            server: 'a',
            team: 't',
            priority: 'normal',
            method: 'POST',
            path: '/x',
            headers: {},
            body,
            timeLeft: 5000,
          },
          { onAnswer: resolve, onFailure: resolve },
        );
      });
    } finally {
      await http.close();
    }
  }

  Object.entries(RESETS).forEach(([when, endNow]) => {
    [0, 6 * MEGABYTE].forEach((uploadBytes) => {
      [4, MEGABYTE].forEach((partBytes) => {
        it(`are no answers of a plain service: ${uploadBytes} bytes sent, ${partBytes} got, reset ${when}`, async () => {
          // Guards against a part of an answer that counts as whole, and against a process that ends as a reset meets a slow reader.
          await serve(HEAD + 'x'.repeat(partBytes), endNow);
          const upload = Buffer.alloc(uploadBytes);
          const outcomes = await Promise.all(
            Array.from({ length: CALLS }, () => callService(upload)),
          );
          expect(outcomes.filter((outcome) => 'body' in outcome)).to.have.length(0);
          expect(server.countRequests()).to.equal(CALLS);
        });
      });
    });

    it(`are no answers to an order, reset ${when}`, async () => {
      // Guards against an order that counts as done by an answer of which only a part came.
      await serve(`${HEAD}{"holding":null}`, endNow);
      const http = createOrderHttp(() => server.address);
      const order = { number: 1, verb: 'drop' } as unknown as Parameters<typeof http.send>[1];
      expect(await http.send('a', order)).to.deep.equal({ kind: 'unknown' });
      expect(server.countRequests()).to.equal(1);
      await http.close();
    });

    it(`are no answers of the store, reset ${when}`, async () => {
      // Guards against a revision of which only the first digits came.
      await serve(`${HEAD}{"revision":12}`, endNow);
      const http = createPlatformHttp(server.address, createVirtualTimers());
      expect(await http.swap('k', 0, 'v', { timeout: 1000 })).to.deep.equal({ kind: 'unknown' });
      expect(server.countRequests()).to.equal(1);
      await http.close();
    });
  });
});
