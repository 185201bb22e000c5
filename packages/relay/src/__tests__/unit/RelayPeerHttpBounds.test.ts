import { expect } from 'chai';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { ForwardTask } from '../../RelayForwardTypes.js';
import { createPeerHttp } from '../../RelayPeerHttp.js';

const CHUNK = `10000\r\n${'x'.repeat(0x10000)}\r\n`;

/** Writes bytes without end until the other side closes. */
function writeWithoutEnd(socket: Socket): void {
  function fill(): void {
    while (!socket.destroyed && socket.write(CHUNK)) {
      // Goes on until the socket's buffer is full.
    }
  }
  socket.on('drain', fill);
  fill();
}

describe('RelayPeerHttp before a peer that sends bytes without end', () => {
  /** The status line of each answer. */
  let status = '200 OK';
  let address = { host: '127.0.0.1', port: 0 };
  const closed: Promise<unknown>[] = [];
  const server = createServer((socket) => {
    closed.push(
      new Promise((resolve) => {
        socket.once('close', resolve);
      }),
    );
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 ${status}\r\nTransfer-Encoding: chunked\r\n\r\n`);
      writeWithoutEnd(socket);
    });
  });

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  });
  after(() => server.close());

  it('closes the connection when an answer is longer than any valid one', async () => {
    // Guards against a memory that fills within the time limits of an answer.
    const peers = createPeerHttp(createVirtualTimers());
    expect(await peers.ask(address, 0, 1000)).to.deep.equal({ kind: 'silent' });
    await Promise.all(closed);
    await peers.close();
  });

  ['200 OK', '404 Not Found'].forEach((line) => {
    it(`closes the connection of a task that is answered ${line} and then without end`, async () => {
      // Guards against frames that are read on after the task is over, or that never end.
      status = line;
      const peers = createPeerHttp(createVirtualTimers());
      const task: ForwardTask = { kind: 'check', server: 'a' };
      const frames: string[] = [];
      peers.openForward({ id: 'p', domain: 'd', address }, task, {
        onFrame: ({ kind }) => frames.push(kind),
        onClosed: () => frames.push('closed'),
      });
      await once(server, 'connection');
      await Promise.all(closed);
      await peers.close();
      expect(frames).to.deep.equal([line === '200 OK' ? 'closed' : 'refused']);
    });
  });
});
