/** HTTP client and server for messages between instances. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { pack } from 'msgpackr';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import {
  collectBody,
  collectResponseBody,
  MAX_LARGE_RESPONSE_BYTES,
  startResponseTimeout,
} from '@skylarksail/core/CoreResponseTimeout';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import { afterReading } from '@skylarksail/daemon/DaemonTimers';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { SendCrashReports } from '@skylarksail/requests/RouterCrashExchange';
import type { AskForPermits, PermitAnswer, PermitQuery } from './RelayLimits.js';
import type { AskGrant } from './RelayGrants.js';
import type { AskForUpdates, UpdateAnswer, UpdateQuery } from './RelayUpdates.js';
import type { AnswerFormName, PeerCodec } from './RelayPeerCodec.js';
import { AnswerForm, createPeerCodec } from './RelayPeerCodec.js';
import {
  packUpdateQuery,
  readCrashReports,
  readObservedMessage,
  readPermitAnswer,
  readPermitQuery,
  readUpdateQuery,
} from './RelayPeerMessages.js';
import { parseRevision, splitRevision } from './RelayPeerRevisions.js';
import { createForwardHttp, FORWARD_PATH, serveTask } from './RelayForwardHttp.js';
import { MAX_TASK_BYTES } from './RelayForwardMessages.js';
import type { OpenForward, ServeForward } from './RelayForwardTypes.js';
import type { AskForTrial } from './RelayTrials.js';
import type { AskPeer, PeerAnswer } from './RelayPeers.js';
import type { InstanceEntry } from './RelayTypes.js';

const Path = {
  Changes: '/changes',
  Updates: '/news',
  Grants: '/grants',
  Crashes: '/crashes',
  Permits: '/permits',
  Trials: '/trials',
} as const;
const CONTENT_TYPE = { 'content-type': 'application/msgpack' };
const Status = { Ok: 200, NotFound: 404, Unavailable: 503 } as const;
/** One for a long poll, one for queries that are answered at once, to avoid head-of-line blocking. */
const CONNECTIONS_PER_PEER = 2;
/** Far more than an instance's work on all engines of a domain needs. */
const MAX_BODY_BYTES = 262_144;
/**
 * Time limits of an answer that has begun. `whole` is half of the two seconds in which a change must be in force, so
 * that time remains to ask another peer if this one's link is too slow.
 */
export const PEER_ANSWER_LIMITS = { gap: 300, whole: 1000 } as const;
/** Header of each query; instances of an earlier version ignore it. */
const FORM_HEADER = 'answer-form';
/** HTTP status of each kind of answer. */
const ANSWER_STATUS = {
  news: Status.Ok,
  deaf: Status.Unavailable,
  silent: Status.NotFound,
} as const;
const TRIAL_GRANTED = '1';
const TRIAL_DENIED = '0';
const SILENT = { kind: 'silent' } as const;

/** Handlers of the peers' queries. */
export interface PeerHandlers {
  readonly changes: (since: number, takesWhole: boolean) => PeerAnswer;
  readonly updates: (ask: UpdateQuery) => Promise<UpdateAnswer>;
  /** Number of retries granted for a service. */
  readonly grant: (service: string, wanted: number) => number;
  readonly crashes: (digest: PoisonDigest) => void;
  readonly permits: (query: PermitQuery) => PermitAnswer;
  /** Whether a trial of the request is granted. */
  readonly trial: (fingerprint: string) => boolean;
  readonly forward: ServeForward;
  /** Maximum time for which something that is read now may have waited unread. */
  readonly getUnreadTime: () => Millis;
  /** A query ended with an error of our own; its connection is closed, so that the peer asks another. */
  readonly onError: (err: unknown) => void;
}

export interface PeerHttp {
  readonly ask: AskPeer;
  readonly askForUpdates: AskForUpdates;
  readonly askGrant: AskGrant;
  readonly sendCrashReports: SendCrashReports<InstanceEntry>;
  readonly askForPermits: AskForPermits;
  readonly askForTrial: AskForTrial;
  readonly openForward: OpenForward;
  /** Serves peers. Resolves to the port, which the system chooses if it was 0. */
  listen(address: HostPort, answers: PeerHandlers): Promise<number>;
  close(): Promise<void>;
}

interface RawAnswer {
  readonly status: number;
  readonly body: Buffer;
}

export function createPeerHttp(timers: TimerService): PeerHttp {
  const checks = createAnswerChecks();
  const agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    connect: checks.connect,
  });
  const checkedAgent = agent.compose(checks.intercept);
  const codec = createPeerCodec();
  const forwarding = createForwardHttp();
  let stop = (): void => undefined;

  /** Sends a query; null on any failure, after which the caller asks the next peer. */
  async function send(
    { host, port }: HostPort,
    path: string,
    timeout: Millis,
    body: Buffer | null = null,
  ): Promise<RawAnswer | null> {
    const arrival = startResponseTimeout(timers, { begin: timeout, ...PEER_ANSWER_LIMITS });
    try {
      const res = await checkedAgent.request({
        origin: `http://${host}:${port}`,
        path,
        method: body === null ? 'GET' : 'POST',
        headers: { [FORM_HEADER]: AnswerForm.Deflated },
        body,
        signal: arrival.signal,
      });
      return {
        status: res.statusCode,
        body: await collectResponseBody(arrival, res.body, MAX_LARGE_RESPONSE_BYTES),
      };
    } catch {
      return null;
    } finally {
      arrival.end();
    }
  }

  return {
    async ask(address, since, timeout) {
      const { revision, era = 0 } = splitRevision(since);
      const query = new URLSearchParams({ since: String(revision), era: String(era) });
      const raw = await send(address, `${Path.Changes}?${query}`, timeout);
      return readAnswer(raw, (got) => readPeerAnswer(got, codec));
    },
    async askForUpdates({ address }, ask, timeout) {
      const raw = address && (await send(address, Path.Updates, timeout, packUpdateQuery(ask)));
      return readAnswer(raw, (got) => readUpdateAnswer(got, codec));
    },
    async askGrant({ address }, service, wanted, timeout) {
      const query = new URLSearchParams({ service, wanted: String(wanted) });
      const raw = address && (await send(address, `${Path.Grants}?${query}`, timeout));
      const granted = raw?.status === Status.Ok ? Number(raw.body.toString('utf8')) : 0;
      // A grant of more than was requested is invalid.
      return Number.isSafeInteger(granted) && granted > 0 && granted <= wanted ? granted : 0;
    },
    async sendCrashReports({ address }, digest, timeout) {
      const raw = address && (await send(address, Path.Crashes, timeout, pack(digest)));
      return raw?.status === Status.Ok;
    },
    async askForTrial({ address }, fingerprint, timeout) {
      const query = new URLSearchParams({ fingerprint });
      const raw = address && (await send(address, `${Path.Trials}?${query}`, timeout));
      return raw?.status === Status.Ok ? raw.body.toString('utf8') === TRIAL_GRANTED : null;
    },
    async askForPermits({ address }, query, timeout) {
      const raw = address && (await send(address, Path.Permits, timeout, pack(query)));
      const answer = raw?.status === Status.Ok ? readPermitAnswer(raw.body) : null;
      // An answer with more than was requested is invalid.
      return answer && answer.count <= query.wanted ? answer : null;
    },
    openForward: forwarding.open,
    listen: ({ host, port }, answers) =>
      new Promise((resolve, reject) => {
        const server = createServer((req, res) => {
          const isTask = req.url === FORWARD_PATH;
          const sentAt = timers.now() - answers.getUnreadTime();
          const fail = (err: unknown): void => {
            answers.onError(err);
            res.destroy();
          };
          const serveTaskLater = (body: Buffer): void => {
            // The close of an asker that has left waits right behind its task.
            afterReading(() => {
              try {
                serveTask(body, req, res, answers.forward, timers.now() - sentAt);
              } catch (err) {
                fail(err);
              }
            });
          };
          readBody(req, isTask ? MAX_TASK_BYTES : MAX_BODY_BYTES)
            .then((body) =>
              isTask ? serveTaskLater(body) : serve(req, body, { answers, codec }, res),
            )
            .catch(fail);
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
      await Promise.all([agent.destroy(), forwarding.close()]);
    },
  };
}

/** Empty if the peer aborted, or sent more than any valid query. */
function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  return collectBody(req as AsyncIterable<Buffer>, maxBytes).catch(() => Buffer.alloc(0));
}

async function serve(
  { url = '', headers }: IncomingMessage,
  body: Buffer,
  { answers, codec }: { readonly answers: PeerHandlers; readonly codec: PeerCodec },
  res: ServerResponse,
): Promise<void> {
  const [path, query] = url.split('?');
  const asked = new URLSearchParams(query);
  const acceptsDeflated = headers[FORM_HEADER] === AnswerForm.Deflated;
  const form = acceptsDeflated ? AnswerForm.Deflated : AnswerForm.Plain;
  switch (path) {
    case Path.Changes:
      writeChanges(res, answerChanges(asked, answers, acceptsDeflated), codec, form);
      break;
    case Path.Updates:
      writeUpdates(res, await answerUpdateQuery(body, answers), codec, form);
      break;
    case Path.Grants:
      res.end(String(answerGrant(asked, answers)));
      break;
    case Path.Crashes:
      res.writeHead(takeCrashReports(body, answers)).end();
      break;
    case Path.Trials:
      res.end(answers.trial(asked.get('fingerprint') ?? '') ? TRIAL_GRANTED : TRIAL_DENIED);
      break;
    case Path.Permits:
      writePermits(res, readPermitQuery(body), answers);
      break;
    default:
      res.writeHead(Status.NotFound).end();
  }
}

function writePermits(
  res: ServerResponse,
  query: PermitQuery | null,
  handlers: PeerHandlers,
): void {
  if (query === null) {
    res.writeHead(Status.NotFound).end();
  } else {
    res.writeHead(Status.Ok, CONTENT_TYPE).end(pack(handlers.permits(query)));
  }
}

/** Merges a peer's crash reports; returns the HTTP status that confirms or refuses them. */
function takeCrashReports(body: Buffer, handlers: PeerHandlers): number {
  const digest = readCrashReports(body);
  if (digest === null) {
    return Status.NotFound;
  }
  handlers.crashes(digest);
  return Status.Ok;
}

function answerChanges(
  asked: URLSearchParams,
  handlers: PeerHandlers,
  takesWhole: boolean,
): PeerAnswer {
  const since = parseRevision({
    revision: Number(asked.get('since') ?? NaN),
    era: Number(asked.get('era') ?? 0),
  });
  return since === null ? SILENT : handlers.changes(since, takesWhole);
}

async function answerUpdateQuery(body: Buffer, handlers: PeerHandlers): Promise<UpdateAnswer> {
  const query = readUpdateQuery(body);
  return query === null ? SILENT : handlers.updates(query);
}

function answerGrant(asked: URLSearchParams, handlers: PeerHandlers): number {
  const wanted = Number(asked.get('wanted') ?? NaN);
  const service = asked.get('service') ?? '';
  return Number.isSafeInteger(wanted) && wanted > 0 ? handlers.grant(service, wanted) : 0;
}

function writeChanges(
  res: ServerResponse,
  answer: PeerAnswer,
  codec: PeerCodec,
  form: AnswerFormName,
): void {
  writeAnswer(res, answer, codec.packPeerAnswer(answer, form));
}

function writeUpdates(
  res: ServerResponse,
  answer: UpdateAnswer,
  codec: PeerCodec,
  form: AnswerFormName,
): void {
  writeAnswer(res, answer, answer.kind === 'news' ? codec.packUpdates(answer, form) : null);
}

function writeAnswer(
  res: ServerResponse,
  { kind }: Pick<PeerAnswer | UpdateAnswer, 'kind'>,
  body: Buffer | null,
): void {
  res.writeHead(ANSWER_STATUS[kind], body === null ? {} : CONTENT_TYPE);
  res.end(body);
}

/** An unreadable answer counts as no answer. */
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

function readUpdateAnswer({ status, body }: RawAnswer, codec: PeerCodec): UpdateAnswer {
  switch (status) {
    case Status.Ok:
      return { kind: 'news', ...codec.readUpdates(body) };
    case Status.Unavailable:
      return { kind: 'deaf' };
    default:
      return SILENT;
  }
}
