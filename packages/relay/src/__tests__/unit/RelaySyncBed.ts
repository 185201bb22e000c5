/** A fleet of instances that sync with a store over rate-limited links, for tests of large configurations. */
import { pino } from 'pino';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RouteConfig } from '@skylarksail/routes/RouteTypes';
import type { FakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import { createCatalogue } from '../../RelayCatalogue.js';
import type { RelaySync } from '../../RelaySync.js';
import { startRelaySync } from '../../RelaySync.js';
import { createRelayLease } from '../../RelayLease.js';
import type { RelayLease } from '../../RelayLease.js';
import type { UpdateAnswer } from '../../RelayUpdates.js';
import { PEER_ANSWER_LIMITS } from '../../RelayPeerHttp.js';
import type { PeerCodec } from '../../RelayPeerCodec.js';
import { AnswerForm, createPeerCodec } from '../../RelayPeerCodec.js';
import type { PeerAnswer } from '../../RelayPeers.js';
import type { FanoutRole } from '../../RelayFanout.js';
import { selectFanoutRole } from '../../RelayFanout.js';
import type { StoreContent } from '../../RelayTypes.js';
import { createConfig, createRoute } from './RelayFixtures.js';
import type { FakeLinks, LinkRate } from './RelayLinks.js';
import { createFakeLinks, createLinkedPort } from './RelayLinks.js';

export const CONFIG_KEY = 'config';
export const STORE = 'store';
/** The tightest bound of the deployments. */
const CHANGE_TIME: Millis = 2000;
const ANSWER_BYTES = 120;
const DOMAINS = 3;
const NAME_RANGE = 36 ** 6;
const NO_WORK = { running: [], lost: [] };

/** One instance with the configurations that came into force at it. */
export interface SyncMember {
  readonly id: string;
  /** Its current fan-out role. */
  readonly getRole: () => FanoutRole;
  readonly sync: RelaySync;
  readonly lease: RelayLease;
  /** Time at which each version came into force. */
  readonly inForceAt: Map<number, Millis>;
}

export interface SyncBedOptions {
  readonly instances: number;
  /** Link rate of an instance or, for `STORE`, of the store. */
  readonly getRate: (place: string) => LinkRate;
}

export interface SyncBed {
  readonly timers: VirtualTimers;
  readonly store: FakeRangeStore;
  readonly links: FakeLinks;
  readonly members: readonly SyncMember[];
  /** Cuts some instances off from the store; their calls time out. */
  setCut(isCut: (id: string) => boolean): void;
  /** Makes some instances answer no peer. */
  setMute(isMute: (id: string) => boolean): void;
  /** Instances at which a version, or a later one, came into force no later than a time. */
  listUpToDate(version: number, by: Millis): readonly string[];
}

/** Text of a configuration with the given number of routes, of the size that operators' configurations have. */
export function writeConfig(version: number, routes: number, seed = 1): string {
  const random = createRandom(seed);
  return JSON.stringify({
    version,
    routes: Array.from({ length: routes }, () => ({
      name: `r-${drawName(random)}`,
      host: `${drawName(random)}.example`,
      prefix: `/${drawName(random)}/`,
      route_kind: 'safe',
      timeout_ms: 2000 + version,
      latency_goal_ms: 305,
      priority: 2,
      service: 'accounts',
      max_attempts: 2,
      public: false,
      sticky: false,
      resumable: false,
    })),
  });
}

function drawName(random: Random): string {
  return random.nextInt(NAME_RANGE).toString(36);
}

/** Parses each text once, since many instances read the same values. */
function createReader(): (item: { key: string; value: string }) => StoreContent {
  const read = new Map<string, RouteConfig>();
  return ({ key, value }) => {
    if (key !== CONFIG_KEY) {
      return { kind: 'other' };
    }
    const known = read.get(value) ?? parseConfig(value);
    read.set(value, known);
    return { kind: 'config', config: known };
  };
}

function parseConfig(value: string): RouteConfig {
  const { version, routes } = JSON.parse(value) as {
    version: number;
    routes: readonly { name: string; host: string; prefix: string }[];
  };
  return createConfig({
    version,
    routes: routes.map(({ name, host, prefix }) => createRoute({ name, host, prefix })),
  });
}

/** Size of an answer on the wire. */
function countAnswerBytes(answer: PeerAnswer | UpdateAnswer, codec: PeerCodec): number {
  if (answer.kind !== 'news') {
    return ANSWER_BYTES;
  }
  const body =
    'others' in answer
      ? codec.packUpdates(answer, AnswerForm.Deflated)
      : codec.packPeerAnswer(answer, AnswerForm.Deflated);
  return ANSWER_BYTES + (body?.byteLength ?? 0);
}

export function createSyncBed({ instances, getRate }: SyncBedOptions): SyncBed {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const links = createFakeLinks(timers, getRate);
  const codec = createPeerCodec();
  const readContent = createReader();
  const members: SyncMember[] = [];
  let isCut: (id: string) => boolean = () => false;
  let isMute: (id: string) => boolean = () => false;

  function sleep(time: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(time, resolve);
    });
  }

  /** Resolves to a peer's answer if it arrives in time. */
  async function transferAnswer<T>(
    from: string,
    to: string,
    bytes: number,
    until: Millis,
    answer: T,
  ): Promise<T | { readonly kind: 'silent' }> {
    const begunAt = timers.now();
    if (isMute(from)) {
      await sleep(until - begunAt);
      return { kind: 'silent' };
    }
    const hasArrived = await links.transfer(from, to, bytes, {
      timeLeft: until - begunAt,
      whole: PEER_ANSWER_LIMITS.whole,
    });
    return hasArrived ? answer : { kind: 'silent' };
  }

  function createPort(id: string): StoreRangePort {
    const port = createLinkedPort(links, timers, id, store);
    const timeOut = async (timeout: Millis): Promise<{ kind: 'unknown' }> => {
      await sleep(timeout);
      return { kind: 'unknown' };
    };
    return {
      ...port,
      readRange: (prefix, after, options) =>
        isCut(id) ? timeOut(options.timeout) : port.readRange(prefix, after, options),
      watchRange: async (prefix, since, wait, options) => {
        const endsAt = timers.now() + options.timeout;
        const changes = isCut(id) ? null : await port.watchRange(prefix, since, wait, options);
        return changes === null || isCut(id) ? timeOut(endsAt - timers.now()) : changes;
      },
    };
  }

  function start(index: number): SyncMember {
    const id = `i${index}`;
    const self = {
      id,
      domain: `d${index % DOMAINS}`,
      address: { host: '127.0.0.1', port: index + 1 },
    };
    const random = createRandom(index + 1);
    const port = createPort(id);
    const inForceAt = new Map<number, Millis>();
    const lease = createRelayLease({
      port,
      timers,
      random,
      self,
      minLeaseTime: 1000,
      listDomains: () => [],
      onError: () => undefined,
    });
    const knowledge = startRelaySync({
      changeTime: CHANGE_TIME,
      self,
      timers,
      random,
      store: port,
      readContent,
      readBackendKey: () => null,
      askPeer: async ({ port: to }, since, timeout) => {
        const until = timers.now() + timeout;
        const peer = members[to - 1];
        const answer = peer?.sync.peers.answer(since, true) ?? { kind: 'silent' as const };
        return transferAnswer(`i${to - 1}`, id, countAnswerBytes(answer, codec), until, answer);
      },
      askForUpdates: async ({ id: peer }, ask, timeout) => {
        const until = timers.now() + timeout;
        const source = members.find((member) => member.id === peer);
        const sourceAnswer = await source?.sync.updates.answer(ask);
        const answer = sourceAnswer ?? { kind: 'silent' as const };
        return transferAnswer(peer, id, countAnswerBytes(answer, codec), until, answer);
      },
      readOwnWork: () => NO_WORK,
      rooms: { list: () => [], record: () => undefined, selectWork: (_, work) => work },
      isCrowded: () => false,
      onOthersWork: () => undefined,
      onLost: () => undefined,
      catalogue: createCatalogue(timers),
      lease,
      logger: pino({ level: 'silent' }),
      onUnreadable: () => undefined,
      onTable: ({ config }) => inForceAt.set(config.version, timers.now()),
    });
    lease.start();
    const getPart = (): FanoutRole => selectFanoutRole(self, lease.listInstances());
    return { id, getRole: getPart, sync: knowledge, lease, inForceAt };
  }

  store.put(CONFIG_KEY, writeConfig(1, 1));
  Array.from({ length: instances }, (_, index) => members.push(start(index)));
  return {
    timers,
    store,
    links,
    members,
    setCut(next) {
      isCut = next;
    },
    setMute(next) {
      isMute = next;
    },
    listUpToDate: (version, by) =>
      members
        .filter(({ inForceAt }) =>
          [...inForceAt].some(([known, at]) => known >= version && at <= by),
        )
        .map(({ id }) => id),
  };
}
