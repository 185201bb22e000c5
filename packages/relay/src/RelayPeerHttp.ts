/** The peers' port over HTTP: what an instance knows of the store, for one that the store turns away. */
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { pack, unpack } from 'msgpackr';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { MirrorChanges } from './RelayMirror.js';
import type { BackendEntry } from './RelayTypes.js';
import type { AskPeer, PeerAnswer } from './RelayPeers.js';

const PATH = '/changes?since=';
const CONTENT_TYPE = 'application/msgpack';
const Status = { Ok: 200, NotFound: 404, Unavailable: 503 } as const;

export interface PeerHttp {
  readonly ask: AskPeer;
  /** Serves peers with what `answer` gives. Resolves to the port, drawn if it was 0. */
  listen(address: HostPort, answer: (since: number) => PeerAnswer): Promise<number>;
  close(): Promise<void>;
}

export function createPeerHttp(): PeerHttp {
  const agent = new Agent({ connections: 1, pipelining: 1 });
  let stop = (): void => undefined;

  return {
    async ask({ host, port }, since, timeout) {
      try {
        const res = await agent.request({
          origin: `http://${host}:${port}`,
          path: `${PATH}${since}`,
          method: 'GET',
          signal: AbortSignal.timeout(timeout),
        });
        const body = Buffer.from(await res.body.arrayBuffer());
        return readAnswer(res.statusCode, body);
      } catch {
        // Whatever went wrong on the way, this peer has told nothing; the next one is asked.
        return { kind: 'silent' };
      }
    },
    listen: ({ host, port }, answer) =>
      new Promise((resolve, reject) => {
        const server = createServer((req, res) => {
          const since = Number(req.url?.startsWith(PATH) ? req.url.slice(PATH.length) : NaN);
          const said: PeerAnswer = Number.isFinite(since) ? answer(since) : { kind: 'silent' };
          writeAnswer(res, said);
        });
        stop = () => {
          server.close();
          server.closeAllConnections();
        };
        server.once('error', reject);
        server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
      }),
    async close() {
      stop();
      await agent.destroy();
    },
  };
}

function writeAnswer(res: ServerResponse, said: PeerAnswer): void {
  switch (said.kind) {
    case 'news':
      res.writeHead(Status.Ok, { 'content-type': CONTENT_TYPE }).end(pack(said.changes));
      break;
    case 'deaf':
      res.writeHead(Status.Unavailable, { 'content-type': CONTENT_TYPE }).end(pack(said.seen));
      break;
    default:
      res.writeHead(Status.NotFound).end();
  }
}

function readAnswer(status: number, body: Buffer): PeerAnswer {
  switch (status) {
    case Status.Ok:
      return { kind: 'news', changes: unpack(body) as MirrorChanges };
    case Status.Unavailable:
      return { kind: 'deaf', seen: unpack(body) as readonly BackendEntry[] };
    default:
      return { kind: 'silent' };
  }
}
