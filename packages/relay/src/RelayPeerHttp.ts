/** The peers' port over HTTP: what an instance knows of the store, for those that do not ask the store itself. */
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { pack, unpack } from 'msgpackr';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import type { MirrorChanges } from './RelayMirror.js';
import type { AskNews, NewsAnswer, NewsAsk } from './RelayNews.js';
import type { NewsLevelValue } from './RelaySources.js';
import { NewsLevel } from './RelaySources.js';
import type { BackendEntry } from './RelayTypes.js';
import type { AskPeer, PeerAnswer } from './RelayPeers.js';

const Path = { Changes: '/changes', News: '/news' } as const;
const CONTENT_TYPE = 'application/msgpack';
const Status = { Ok: 200, NotFound: 404, Unavailable: 503 } as const;
/** One for a question that the peer holds, one for a question that is to be answered at once. */
const CONNECTIONS = 2;

/** What peers are told. */
export interface PeerAnswers {
  readonly changes: (since: number) => PeerAnswer;
  readonly news: (ask: NewsAsk) => Promise<NewsAnswer>;
}

export interface PeerHttp {
  readonly ask: AskPeer;
  readonly askNews: AskNews;
  /** Serves peers. Resolves to the port, drawn if it was 0. */
  listen(address: HostPort, answers: PeerAnswers): Promise<number>;
  close(): Promise<void>;
}

type Silent = Extract<NewsAnswer, { kind: 'silent' }>;

const SILENT: Silent = { kind: 'silent' };

/** An answer as it came. */
interface RawAnswer {
  readonly status: number;
  readonly body: Buffer;
}

export function createPeerHttp(): PeerHttp {
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  let stop = (): void => undefined;

  /** Null whatever went wrong on the way: this peer has told nothing, and the next one is asked. */
  async function get(
    { host, port }: HostPort,
    path: string,
    timeout: Millis,
  ): Promise<RawAnswer | null> {
    try {
      const res = await agent.request({
        origin: `http://${host}:${port}`,
        path,
        method: 'GET',
        signal: AbortSignal.timeout(timeout),
      });
      return { status: res.statusCode, body: Buffer.from(await res.body.arrayBuffer()) };
    } catch {
      return null;
    }
  }

  return {
    async ask(address, since, timeout) {
      const raw = await get(address, `${Path.Changes}?since=${since}`, timeout);
      return readAnswer(raw, readPeerAnswer);
    },
    async askNews({ address }, { since, hold, level }, timeout) {
      const path = `${Path.News}?since=${since}&hold=${Math.round(hold)}&level=${level}`;
      const raw = address && (await get(address, path, timeout));
      return readAnswer(raw, readNewsAnswer);
    },
    listen: ({ host, port }, answers) =>
      new Promise((resolve, reject) => {
        const server = createServer((req, res) => {
          void answer(req.url ?? '', answers).then((said) => writeAnswer(res, said));
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

async function answer(url: string, answers: PeerAnswers): Promise<PeerAnswer | NewsAnswer> {
  const [path, query] = url.split('?');
  const asked = new URLSearchParams(query);
  const since = Number(asked.get('since') ?? NaN);
  const hold = Number(asked.get('hold') ?? 0);
  if (!Number.isFinite(since) || !Number.isFinite(hold)) {
    return { kind: 'silent' };
  }
  switch (path) {
    case Path.Changes:
      return answers.changes(since);
    case Path.News:
      return answers.news({ since, hold, level: readLevel(asked.get('level')) });
    default:
      return { kind: 'silent' };
  }
}

/** A level that is not known is that of those who are answered by nobody. */
function readLevel(text: string | null): NewsLevelValue {
  const level = Object.values(NewsLevel).find((known) => String(known) === text);
  return level ?? NewsLevel.Watcher;
}

function writeAnswer(res: ServerResponse, said: PeerAnswer | NewsAnswer): void {
  switch (said.kind) {
    case 'news':
      res.writeHead(Status.Ok, { 'content-type': CONTENT_TYPE }).end(pack(said.changes));
      break;
    case 'deaf':
      res
        .writeHead(Status.Unavailable, { 'content-type': CONTENT_TYPE })
        .end(pack('seen' in said ? said.seen : null));
      break;
    default:
      res.writeHead(Status.NotFound).end();
  }
}

/** A peer whose answer cannot be read has told nothing, as one that does not answer. */
function readAnswer<T>(raw: RawAnswer | null, read: (raw: RawAnswer) => T): T | Silent {
  try {
    return raw === null ? SILENT : read(raw);
  } catch {
    return SILENT;
  }
}

function readPeerAnswer({ status, body }: RawAnswer): PeerAnswer {
  switch (status) {
    case Status.Ok:
      return { kind: 'news', changes: unpack(body) as MirrorChanges };
    case Status.Unavailable:
      return { kind: 'deaf', seen: unpack(body) as readonly BackendEntry[] };
    default:
      return { kind: 'silent' };
  }
}

function readNewsAnswer({ status, body }: RawAnswer): NewsAnswer {
  switch (status) {
    case Status.Ok:
      return { kind: 'news', changes: unpack(body) as MirrorChanges };
    case Status.Unavailable:
      return { kind: 'deaf' };
    default:
      return { kind: 'silent' };
  }
}
