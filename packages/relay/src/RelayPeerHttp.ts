/** The peers' port over HTTP: what an instance knows of the store, for those that do not ask the store itself. */
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { pack, unpack } from 'msgpackr';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import type { AskGrant } from './RelayGrants.js';
import type { MirrorChanges } from './RelayMirror.js';
import type { AskNews, NewsAnswer, NewsAsk } from './RelayNews.js';
import type { NewsLevelValue } from './RelaySources.js';
import { NewsLevel } from './RelaySources.js';
import type { BackendEntry } from './RelayTypes.js';
import type { AskPeer, PeerAnswer } from './RelayPeers.js';

const Path = { Changes: '/changes', News: '/news', Grants: '/grants' } as const;
const CONTENT_TYPE = 'application/msgpack';
const Status = { Ok: 200, NotFound: 404, Unavailable: 503 } as const;
/** One for a question that the peer holds, one for a question that is to be answered at once. */
const CONNECTIONS = 2;

/** What peers are told. */
export interface PeerAnswers {
  readonly changes: (since: number) => PeerAnswer;
  readonly news: (ask: NewsAsk) => Promise<NewsAnswer>;
  /** Repeats that are granted at a service. */
  readonly grant: (service: string, wanted: number) => number;
}

export interface PeerHttp {
  readonly ask: AskPeer;
  readonly askNews: AskNews;
  readonly askGrant: AskGrant;
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
    async askGrant({ address }, service, wanted, timeout) {
      const query = new URLSearchParams({ service, wanted: String(wanted) });
      const raw = address && (await get(address, `${Path.Grants}?${query}`, timeout));
      const granted = raw?.status === Status.Ok ? Number(raw.body.toString('utf8')) : 0;
      // More than was asked for is no answer to this question.
      return Number.isSafeInteger(granted) && granted > 0 && granted <= wanted ? granted : 0;
    },
    listen: ({ host, port }, answers) =>
      new Promise((resolve, reject) => {
        const server = createServer((req, res) => {
          const [path = '', query] = (req.url ?? '').split('?');
          const asked = new URLSearchParams(query);
          if (path === Path.Grants) {
            res.end(String(grant(asked, answers)));
          } else {
            void answer(path, asked, answers).then((said) => writeAnswer(res, said));
          }
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

function grant(asked: URLSearchParams, answers: PeerAnswers): number {
  const wanted = Number(asked.get('wanted') ?? NaN);
  const service = asked.get('service') ?? '';
  return Number.isSafeInteger(wanted) && wanted > 0 ? answers.grant(service, wanted) : 0;
}

async function answer(
  path: string,
  asked: URLSearchParams,
  answers: PeerAnswers,
): Promise<PeerAnswer | NewsAnswer> {
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
