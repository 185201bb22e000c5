/** The peers' port over HTTP: what an instance knows of the store, for one that the store turns away. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { pack, unpack } from 'msgpackr';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { MirrorChanges } from './RelayMirror.js';
import type { AskPeer } from './RelayPeers.js';

const PATH = '/changes?since=';
const CONTENT_TYPE = 'application/msgpack';
const Status = { Ok: 200, NotFound: 404, Unavailable: 503 } as const;

export interface PeerHttp {
  readonly ask: AskPeer;
  /** Serves peers; `answer` gives null while there are no news. Gives the port, drawn if it was 0. */
  listen(address: HostPort, answer: (since: number) => MirrorChanges | null): Promise<number>;
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
        return res.statusCode === Status.Ok ? (unpack(body) as MirrorChanges) : null;
      } catch {
        // Whatever went wrong on the way, this peer has told nothing; the next one is asked.
        return null;
      }
    },
    listen: ({ host, port }, answer) =>
      new Promise((resolve, reject) => {
        const server = createServer((req, res) => {
          const since = Number(req.url?.startsWith(PATH) ? req.url.slice(PATH.length) : NaN);
          const changes = Number.isFinite(since) ? answer(since) : null;
          if (changes === null) {
            res.writeHead(Number.isFinite(since) ? Status.Unavailable : Status.NotFound).end();
            return;
          }
          res.writeHead(Status.Ok, { 'content-type': CONTENT_TYPE }).end(pack(changes));
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
