/** A server on loopback for tests: it writes whatever a test wants in place of an answer. */
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { HostPort } from '@skylarksail/core/CoreTypes';

export interface FakeAnswerServer {
  readonly address: HostPort;
  /** Number of connections on which a request has begun. */
  countRequests(): number;
  close(): Promise<void>;
}

/** Calls `answer` with each connection on which a request has begun; the rest of the request is not read. */
export async function startFakeAnswerServer(
  answer: (socket: Socket) => void,
): Promise<FakeAnswerServer> {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => {
      requests += 1;
      socket.pause();
      answer(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: { host: '127.0.0.1', port },
    countRequests: () => requests,
    close: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
}
