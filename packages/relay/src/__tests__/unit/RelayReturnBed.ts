/** A fleet of instances that sync with a store that comes back from a copy, in virtual time. */
import { pino } from 'pino';
import { LifeState } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { FakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createHistoryPort } from '@skylarksail/store/StoreEras';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';
import type { Catalogue } from '../../RelayCatalogue.js';
import { createCatalogue } from '../../RelayCatalogue.js';
import type { RelayLease } from '../../RelayLease.js';
import { createRelayLease } from '../../RelayLease.js';
import { AnswerForm, createPeerCodec } from '../../RelayPeerCodec.js';
import { packUpdateQuery, readUpdateQuery } from '../../RelayPeerMessages.js';
import type { RelaySync } from '../../RelaySync.js';
import { startRelaySync } from '../../RelaySync.js';
import type { StoreContent } from '../../RelayTypes.js';
import { createBackend, createConfig } from './RelayFixtures.js';

const CONFIG_KEY = 'config';
const SERVER_PREFIX = 'backends/';
const CHANGE_TIME: Millis = 2000;
const NO_WORK = { running: [], lost: [] };

/** One instance. */
export interface ReturnMember {
  readonly id: string;
  readonly domain: string;
  readonly sync: RelaySync;
  readonly lease: RelayLease;
  readonly catalogue: Catalogue;
  /** Version in force now, and each that came into force. */
  readonly versions: number[];
  isCut: boolean;
  isStopped: boolean;
}

/** Shares of the calls whose answer is lost, and of those that the store carries out seconds later, unanswered. */
export interface CallFaults {
  readonly lost: number;
  readonly late: number;
}

const NO_FAULTS: CallFaults = { lost: 0, late: 0 };
const MIN_LATE: Millis = 1000;
const MAX_LATE: Millis = 6000;

export interface ReturnBed {
  readonly timers: VirtualTimers;
  readonly store: FakeRangeStore;
  readonly members: readonly ReturnMember[];
  readonly domains: readonly string[];
  start(): ReturnMember;
  /** Ends a member's process: it calls nobody and answers nobody any more. */
  kill(member: ReturnMember): void;
  /** Loses answers of the store, and delays calls, from now on. */
  setFaults(next: CallFaults): void;
  putVersion(version: number): void;
  putServer(id: string, state: 'live' | 'leaving'): void;
  removeServer(id: string): void;
  advance(time: Millis): Promise<void>;
  /** Members that are running. */
  listRunning(): readonly ReturnMember[];
  /** Running members at which the version in force is not this one. */
  listOutdated(version: number): readonly string[];
  /** Running members that list a server as one that takes requests. */
  listUsers(server: string): readonly string[];
  /** Running members that hold the placement of a domain. */
  listHolders(domain: string): readonly string[];
}

function readContent({ key, value }: StoreItem): StoreContent {
  if (key === CONFIG_KEY) {
    return { kind: 'config', config: createConfig({ version: Number(value) }) };
  }
  if (key.startsWith(SERVER_PREFIX)) {
    const state = value === LifeState.Leaving ? LifeState.Leaving : LifeState.Live;
    return { kind: 'backend', entry: createBackend(key.slice(SERVER_PREFIX.length), { state }) };
  }
  return { kind: 'other' };
}

/** Starts a fleet whose store names its era and holds version 1; instances are spread evenly over the domains. */
export function createReturnBed(instances: number, domainCount = 3): ReturnBed {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers, { namesEra: true });
  const codec = createPeerCodec();
  const domains = Array.from({ length: domainCount }, (_, i) => `d${i}`);
  const members: ReturnMember[] = [];
  const fateRandom = createRandom(instances);
  let faults = NO_FAULTS;

  function sleep(time: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(time, resolve);
    });
  }

  /** Calls of a member that is cut off from the store are not answered; a call that waits is cut with it. */
  function createCutPort(member: () => ReturnMember | undefined): StoreRangePort {
    const isCut = (): boolean => member()?.isCut === true || member()?.isStopped === true;
    async function cut<T>(
      timeout: Millis,
      call: () => Promise<StoreOutcome<T>>,
    ): Promise<StoreOutcome<T>> {
      const draw = fateRandom.nextFloat();
      if (draw < faults.late && !isCut()) {
        const delay = MIN_LATE + fateRandom.nextFloat() * (MAX_LATE - MIN_LATE);
        timers.registerTimeout(delay, () => {
          call().catch(() => undefined);
        });
      }
      const isArriving = !isCut() && draw >= faults.late;
      const outcome = isArriving ? await call() : null;
      const isLost = draw < faults.late + faults.lost;
      if (outcome === null || isLost || isCut()) {
        await sleep(timeout);
        return { kind: 'unknown' };
      }
      return outcome;
    }
    return {
      readRange: (...args) => cut(args[2].timeout, () => store.readRange(...args)),
      watchRange: (...args) => cut(args[3].timeout, () => store.watchRange(...args)),
      write: (...args) => cut(args[3].timeout, () => store.write(...args)),
      grantLease: (...args) => cut(args[1].timeout, () => store.grantLease(...args)),
      renewLease: (...args) => cut(args[1].timeout, () => store.renewLease(...args)),
      revokeLease: (...args) => cut(args[1].timeout, () => store.revokeLease(...args)),
    };
  }

  function findPeer(id: string): ReturnMember | undefined {
    return members.find((member) => member.id === id && !member.isStopped);
  }

  function start(): ReturnMember {
    const index = members.length;
    const id = `i${index}`;
    const domain = domains[index % domainCount] ?? '';
    const self = { id, domain, address: { host: '127.0.0.1', port: index + 1 } };
    const random = createRandom(index + 1);
    const port = createHistoryPort(
      createCutPort(() => members[index]),
      () => undefined,
    );
    const catalogue = createCatalogue(timers);
    const versions: number[] = [];
    const lease = createRelayLease({
      port,
      timers,
      random,
      self,
      minLeaseTime: 1000,
      listDomains: () => domains,
      onError: () => undefined,
    });
    const sync = startRelaySync({
      changeTime: CHANGE_TIME,
      self,
      timers,
      random,
      store: port,
      readContent,
      readBackendKey: (key) =>
        key.startsWith(SERVER_PREFIX) ? key.slice(SERVER_PREFIX.length) : null,
      askPeer: (address, since) => {
        const answer = findPeer(`i${address.port - 1}`)?.sync.peers.answer(since, true);
        const body = answer?.kind === 'news' && codec.packPeerAnswer(answer, AnswerForm.Deflated);
        return Promise.resolve(
          body ? { kind: 'news', ...codec.readPeerUpdates(body) } : (answer ?? { kind: 'silent' }),
        );
      },
      askForUpdates: async (peer, ask) => {
        const query = readUpdateQuery(packUpdateQuery(ask));
        const answer = query && (await findPeer(peer.id)?.sync.updates.answer(query));
        return answer?.kind === 'news'
          ? { kind: 'news', ...codec.readUpdates(codec.packUpdates(answer, AnswerForm.Deflated)) }
          : (answer ?? { kind: 'silent' });
      },
      readOwnWork: () => NO_WORK,
      rooms: { list: () => [], record: () => undefined, selectWork: (_, work) => work },
      isCrowded: () => false,
      onOthersWork: () => undefined,
      onLost: () => undefined,
      catalogue,
      lease,
      logger: pino({ level: 'silent' }),
      onUnreadable: () => undefined,
      onTable: ({ config }) => versions.push(config.version),
    });
    const member = {
      id,
      domain,
      sync,
      lease,
      catalogue,
      versions,
      isCut: false,
      isStopped: false,
    };
    members.push(member);
    lease.start();
    return member;
  }

  function listRunning(): readonly ReturnMember[] {
    return members.filter(({ isStopped }) => !isStopped);
  }

  store.put(CONFIG_KEY, '1');
  Array.from({ length: instances }, start);
  return {
    timers,
    store,
    members,
    domains,
    start,
    kill(member) {
      Object.assign(member, { isStopped: true });
      member.sync.stop();
    },
    setFaults(next) {
      faults = next;
    },
    putVersion: (version) => store.put(CONFIG_KEY, String(version)),
    putServer: (id, state) => store.put(`${SERVER_PREFIX}${id}`, state),
    removeServer: (id) => store.remove(`${SERVER_PREFIX}${id}`),
    advance: (time) => timers.advanceToAsync(timers.now() + time),
    listRunning,
    listOutdated: (version) =>
      listRunning()
        .filter(({ versions }) => versions.at(-1) !== version)
        .map(({ id }) => id),
    listUsers: (server) =>
      listRunning()
        .filter(({ catalogue }) => catalogue.get(server)?.state === LifeState.Live)
        .map(({ id }) => id),
    listHolders: (domain) =>
      listRunning()
        .filter(({ lease }) => lease.holds(domain))
        .map(({ id }) => id),
  };
}
