import { expect } from 'chai';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { ConnectionGuard } from '../../ConnectionGuard.js';
import { registerConnectionGuard } from '../../ConnectionGuard.js';
import type { CloseReasonName, ConnectionLimits } from '../../ConnectionLimits.js';

const HOST = '127.0.0.1';
const MIB = 2 ** 20;
const LIMITS: ConnectionLimits = {
  connections: 10,
  heldBytes: MIB,
  requestsAhead: 10,
  requestsEach: 4,
};

describe('ConnectionGuard', () => {
  const timers = createVirtualTimers();
  const closed: CloseReasonName[] = [];
  let server: Server;
  let guard: ConnectionGuard;
  let answer: (req: IncomingMessage, res: ServerResponse) => void;

  beforeEach(async () => {
    closed.splice(0);
    server = createServer((req, res) => answer(req, res));
    guard = registerConnectionGuard(server, {
      limits: LIMITS,
      timers,
      laterTurn: setImmediate,
      getMaxBodyBytes: () => 100_000,
      getStandstillTime: () => 1000,
      onClosed: (reason) => closed.push(reason),
    });
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
    guard.stop();
  });

  function open(): Socket {
    const socket = connect((server.address() as AddressInfo).port, HOST);
    socket.on('error', () => undefined);
    return socket;
  }

  it('answers all requests of a connection in their order, however many came ahead', async () => {
    // Guards against requests ahead that are held back and never read on.
    const count = 500;
    let most = 0;
    answer = (req, res) => {
      most = Math.max(most, guard.countRequestsAhead());
      setImmediate(() => res.end(req.url));
    };
    const socket = open();
    for (let i = 0; i < count; i += 1) {
      const last = i === count - 1 ? 'Connection: close\r\n' : '';
      socket.write(`GET /${i} HTTP/1.1\r\nHost: h\r\n${last}\r\n`);
    }
    let text = '';
    for await (const chunk of socket) {
      text += String(chunk);
    }
    const told = [...text.matchAll(/\r\n\r\n(?:[\da-f]+\r\n)?\/(\d+)/g)].map(([, i]) => Number(i));
    expect(told).to.deep.equal(Array.from({ length: count }, (_, i) => i));
    // A slice of 2 KB holds some sixty of these requests.
    expect(most).to.be.lessThan(100);
    expect(closed).to.deep.equal([]);
  });

  it('answers all requests of many connections while too many wait in all', async () => {
    // Guards against a connection that is held back while it waits for its turn, and is never read again.
    const [connections, count] = [8, 300];
    answer = (req, res) => {
      setImmediate(() => res.end(req.url));
    };
    const told = await Promise.all(
      Array.from({ length: connections }, async () => {
        const socket = open();
        const last = 'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
        socket.write(`${'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(count - 1)}${last}`);
        let text = '';
        for await (const chunk of socket) {
          text += String(chunk);
        }
        return text.split('HTTP/1.1 200').length - 1;
      }),
    );
    expect(told).to.deep.equal(Array.from({ length: connections }, () => count));
  });

  it('counts the bodies of all requests of a connection until each is answered', async () => {
    // Guards against requests ahead whose bodies are kept and not counted.
    const answers: ServerResponse[] = [];
    let whole: () => void = () => undefined;
    const allWhole = new Promise<void>((resolve) => {
      whole = resolve;
    });
    answer = (req, res) => {
      void guard.readBody(req, null).then(() => {
        answers.push(res);
        if (answers.length === 2) {
          whole();
        }
      });
    };
    const socket = open();
    const body = 'x'.repeat(50_000);
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n${body}`.repeat(2));
    await allWhole;
    expect(guard.getHeldBytes()).to.equal(100_000);
    answers.forEach((res) => res.end());
    await once(answers[1] as ServerResponse, 'close');
    expect(guard.getHeldBytes()).to.equal(0);
    socket.destroy();
  });

  it('lets go of a body whose caller leaves while its last bytes wait for their turn', async () => {
    // Guards against bytes that stay counted for good, for which all later callers are refused.
    const ends: string[] = [];
    const left = new Promise<void>((resolve) => {
      answer = (req, res) => {
        void guard.readBody(req, null).then(({ end }) => {
          ends.push(end);
          res.destroy();
          resolve();
        });
      };
    });
    const socket = open();
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
    socket.end(`${(90_000).toString(16)}\r\n${'x'.repeat(90_000)}\r\n`);
    await left;
    expect(ends).to.deep.equal(['malformed']);
    expect(guard.getHeldBytes()).to.equal(0);
  });

  it('closes the connection whose answer stands unread, once all hold too much', async () => {
    // Guards against answers that nobody reads and that the process keeps.
    answer = (_req, res) => res.end(Buffer.alloc(64 * MIB));
    const socket = open();
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await once(server, 'request');
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(closed).to.deep.equal(['held_bytes']);
    expect(guard.getHeldBytes()).to.equal(0);
    socket.destroy();
  });

  it('gives up a body that its caller no longer waits for', async () => {
    // Guards against bodies that nothing ever ends.
    let end = '';
    const begun = new Promise<void>((resolve) => {
      answer = (req, res) => {
        void guard.readBody(req, 700).then((body) => {
          end = body.end;
          res.writeHead(408).end();
        });
        resolve();
      };
    });
    const socket = open();
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx');
    await begun;
    timers.advanceTo(timers.now() + 600);
    expect(closed).to.deep.equal([]);
    timers.advanceTo(timers.now() + 1000);
    const [head] = (await once(socket, 'data')) as [Buffer];
    expect(String(head)).to.match(/^HTTP\/1\.1 408 [^]*\r\nConnection: close\r\n/);
    expect([end, ...closed]).to.deep.equal(['late', 'slow_body']);
    socket.destroy();
  });
});
