/** The peers' port over HTTP: what instances tell each other. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { pack } from 'msgpackr';
import { collectArrival, startArrival } from '@skylarksail/core/CoreArrival';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import type { AskGrant } from './RelayGrants.js';
import type { AskForUpdates, UpdateAnswer, UpdateQuery } from './RelayUpdates.js';
import type { AnswerFormName, PeerCodec } from './RelayPeerCodec.js';
import { AnswerForm, createPeerCodec } from './RelayPeerCodec.js';
import { readUpdateQuery, readObservedMessage } from './RelayPeerMessages.js';
import type { AskPeer, PeerAnswer } from './RelayPeers.js';

const Path = { Changes: '/changes', News: '/news', Grants: '/grants' } as const;
const CONTENT_TYPE = { 'content-type': 'application/msgpack' };
const Status = { Ok: 200, NotFound: 404, Unavailable: 503 } as const;
/** One for a question that the peer holds, one for a question that is to be answered at once. */
const CONNECTIONS = 2;
/** Far more than the work of an instance on all engines of a domain takes. */
const MOST_BODY_BYTES = 262_144;
/**
 * Limits of an answer that has begun. Its whole is half of the two seconds in which a change is to be in force, so that
 * there is time to ask another where a peer's link is too slow.
 */
export const PEER_ANSWER_LIMITS = { gap: 300, whole: 1000 } as const;
/** A header of each question; an instance of an earlier version passes over it. */
const FORM_HEADER = 'answer-form';
/** What the status of an answer says before its body is read. */
const ANSWER_STATUS = {
  news: Status.Ok,
  deaf: Status.Unavailable,
  silent: Status.NotFound,
} as const;
const SILENT = { kind: 'silent' } as const;

/** What peers are told. */
export interface PeerHandlers {
  readonly changes: (since: number, takesWhole: boolean) => PeerAnswer;
  readonly updates: (ask: UpdateQuery) => Promise<UpdateAnswer>;
  /** Repeats that are granted at a service. */
  readonly grant: (service: string, wanted: number) => number;
}

export interface PeerHttp {
  readonly ask: AskPeer;
  readonly askForUpdates: AskForUpdates;
  readonly askGrant: AskGrant;
  /** Serves peers. Resolves to the port, drawn if it was 0. */
  listen(address: HostPort, answers: PeerHandlers): Promise<number>;
  close(): Promise<void>;
}

/** An answer as it came. */
interface RawAnswer {
  readonly status: number;
  readonly body: Buffer;
}

export function createPeerHttp(timers: TimerService): PeerHttp {
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  const codec = createPeerCodec();
  let stop = (): void => undefined;

  /** Null whatever went wrong on the way: this peer has told nothing, and the next one is asked. */
  async function send(
    { host, port }: HostPort,
    path: string,
    timeout: Millis,
    body: Buffer | null = null,
  ): Promise<RawAnswer | null> {
    const arrival = startArrival(timers, { begin: timeout, ...PEER_ANSWER_LIMITS });
    try {
      const res = await agent.request({
        origin: `http://${host}:${port}`,
        path,
        method: body === null ? 'GET' : 'POST',
        headers: { [FORM_HEADER]: AnswerForm.Deflated },
        body,
        signal: arrival.signal,
      });
      return { status: res.statusCode, body: await collectArrival(arrival, res.body) };
    } catch {
      return null;
    } finally {
      arrival.end();
    }
  }

  return {
    async ask(address, since, timeout) {
      const raw = await send(address, `${Path.Changes}?since=${since}`, timeout);
      return readAnswer(raw, (got) => readPeerAnswer(got, codec));
    },
    async askForUpdates({ address }, ask, timeout) {
      const raw = address && (await send(address, Path.News, timeout, pack(ask)));
      return readAnswer(raw, (got) => readNewsAnswer(got, codec));
    },
    async askGrant({ address }, service, wanted, timeout) {
      const query = new URLSearchParams({ service, wanted: String(wanted) });
      const raw = address && (await send(address, `${Path.Grants}?${query}`, timeout));
      const granted = raw?.status === Status.Ok ? Number(raw.body.toString('utf8')) : 0;
      // More than was asked for is no answer to this question.
      return Number.isSafeInteger(granted) && granted > 0 && granted <= wanted ? granted : 0;
    },
    listen: ({ host, port }, answers) =>
      new Promise((resolve, reject) => {
        const server = createServer((req, res) => {
          void readBody(req).then((body) => serve(req, body, { answers, codec }, res));
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

/** Empty if the peer broke off, or sent more than any question holds. */
async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.byteLength;
      if (bytes > MOST_BODY_BYTES) {
        return Buffer.alloc(0);
      }
      chunks.push(chunk);
    }
  } catch {
    return Buffer.alloc(0);
  }
  return Buffer.concat(chunks);
}

async function serve(
  { url = '', headers }: IncomingMessage,
  body: Buffer,
  { answers, codec }: { readonly answers: PeerHandlers; readonly codec: PeerCodec },
  res: ServerResponse,
): Promise<void> {
  const [path, query] = url.split('?');
  const asked = new URLSearchParams(query);
  const isNew = headers[FORM_HEADER] === AnswerForm.Deflated;
  const form = isNew ? AnswerForm.Deflated : AnswerForm.Plain;
  switch (path) {
    case Path.Changes:
      writeChanges(res, answerChanges(asked, answers, isNew), codec, form);
      break;
    case Path.News:
      writeNews(res, await answerNews(body, answers), codec, form);
      break;
    case Path.Grants:
      res.end(String(answerGrant(asked, answers)));
      break;
    default:
      res.writeHead(Status.NotFound).end();
  }
}

function answerChanges(
  asked: URLSearchParams,
  answers: PeerHandlers,
  takesWhole: boolean,
): PeerAnswer {
  const since = Number(asked.get('since') ?? NaN);
  return Number.isFinite(since) ? answers.changes(since, takesWhole) : SILENT;
}

async function answerNews(body: Buffer, answers: PeerHandlers): Promise<UpdateAnswer> {
  const ask = readUpdateQuery(body);
  return ask === null ? SILENT : answers.updates(ask);
}

function answerGrant(asked: URLSearchParams, answers: PeerHandlers): number {
  const wanted = Number(asked.get('wanted') ?? NaN);
  const service = asked.get('service') ?? '';
  return Number.isSafeInteger(wanted) && wanted > 0 ? answers.grant(service, wanted) : 0;
}

function writeChanges(
  res: ServerResponse,
  said: PeerAnswer,
  codec: PeerCodec,
  form: AnswerFormName,
): void {
  writeAnswer(res, said, codec.packPeerAnswer(said, form));
}

function writeNews(
  res: ServerResponse,
  said: UpdateAnswer,
  codec: PeerCodec,
  form: AnswerFormName,
): void {
  writeAnswer(res, said, said.kind === 'news' ? codec.packUpdates(said, form) : null);
}

function writeAnswer(
  res: ServerResponse,
  { kind }: Pick<PeerAnswer | UpdateAnswer, 'kind'>,
  body: Buffer | null,
): void {
  res.writeHead(ANSWER_STATUS[kind], body === null ? {} : CONTENT_TYPE);
  res.end(body);
}

/** A peer whose answer cannot be read has told nothing, as one that does not answer. */
function readAnswer<T>(raw: RawAnswer | null, read: (raw: RawAnswer) => T): T | typeof SILENT {
  try {
    return raw === null ? SILENT : read(raw);
  } catch {
    return SILENT;
  }
}

function readPeerAnswer({ status, body }: RawAnswer, codec: PeerCodec): PeerAnswer {
  switch (status) {
    case Status.Ok:
      return { kind: 'news', ...codec.readPeerUpdates(body) };
    case Status.Unavailable:
      return { kind: 'deaf', observed: readObservedMessage(body) };
    default:
      return SILENT;
  }
}

function readNewsAnswer({ status, body }: RawAnswer, codec: PeerCodec): UpdateAnswer {
  switch (status) {
    case Status.Ok:
      return { kind: 'news', ...codec.readUpdates(body) };
    case Status.Unavailable:
      return { kind: 'deaf' };
    default:
      return SILENT;
  }
}
