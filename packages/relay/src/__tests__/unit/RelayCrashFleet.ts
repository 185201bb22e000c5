/** Instances that run requests which crash their engines, and exchange reports over bad links, in virtual time. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { Fingerprint, PoisonDigest } from '@skylarksail/requests/RequestPoison';
import { createCrashId, noteCrash } from '@skylarksail/requests/RequestPoison';
import { judgeRequest, PoisonVerdict } from '@skylarksail/requests/RequestPoisonVerdict';
import { startCrashExchange } from '@skylarksail/requests/RouterCrashExchange';
import type { RouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { createRouterCrashes } from '@skylarksail/requests/RouterCrashes';
import type { InstanceEntry } from '../../RelayTypes.js';

/** How the links between instances fail. */
export interface LinkFaults {
  /** Share of messages and of confirmations that are lost. */
  readonly lost: number;
  /** Longest delay of a message. */
  readonly delay: Millis;
  /** Share of messages that arrive twice. */
  readonly repeated: number;
}

export const SOUND_LINKS: LinkFaults = { lost: 0, delay: 5, repeated: 0 };

interface FleetInstance {
  readonly entry: InstanceEntry;
  readonly crashes: RouterCrashes;
  readonly stop: Unregister;
}

const CRASH_LIMIT = 2;
const DOMAINS = 8;
const CRASH_DELAY: Millis = 90;

export function createCrashFleet(size: number, seed: number, links: LinkFaults) {
  const timers = createVirtualTimers();
  const random: Random = createRandom(seed);
  const crashTimes: Millis[] = [];
  const bytes = new Map<string, number>();
  let fleet: FleetInstance[] = [];
  let listed: readonly InstanceEntry[] = [];
  let starts = 0;
  let engines = 0;

  function wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(delay, () => resolve());
    });
  }

  async function deliver(to: InstanceEntry, digest: PoisonDigest): Promise<boolean> {
    await wait(random.nextFloat() * links.delay);
    const receiver = fleet.find(({ entry }) => entry.id === to.id);
    if (!receiver || random.nextFloat() < links.lost) {
      return false;
    }
    bytes.set(to.id, (bytes.get(to.id) ?? 0) + JSON.stringify(digest).length);
    receiver.crashes.merge(digest, timers.now());
    if (random.nextFloat() < links.repeated) {
      timers.registerTimeout(links.delay, () => receiver.crashes.merge(digest, timers.now()));
    }
    return true;
  }

  async function send(to: InstanceEntry, digest: PoisonDigest, timeout: Millis): Promise<boolean> {
    const isConfirmed = (await deliver(to, digest)) && random.nextFloat() >= links.lost;
    if (!isConfirmed) {
      await wait(timeout);
    }
    return isConfirmed;
  }

  function start(): void {
    const entry = {
      id: `i${starts}`,
      domain: `d${starts % DOMAINS}`,
      address: { host: '127.0.0.1', port: starts + 1 },
    };
    starts += 1;
    const listeners = new Set<() => void>();
    const crashes = createRouterCrashes(CRASH_LIMIT, () => listeners.forEach((notify) => notify()));
    const stop = startCrashExchange<InstanceEntry>({
      timers,
      self: entry,
      listInstances: () => listed,
      router: {
        listObservedCrashes: (after) => crashes.listObserved(after, timers.now()),
        listRepeatedCrashes: (after) => crashes.listRepeated(after, timers.now()),
        registerCrashListener: (listener) => {
          listeners.add(listener);
          return () => listeners.delete(listener);
        },
      },
      sendCrashReports: send,
    });
    fleet.push({ entry, crashes, stop });
    listed = fleet.map((instance) => instance.entry);
  }

  /** Sends a request to an instance, which runs it on one more engine unless it holds it back. */
  function runCrashing(index: number, fingerprint: Fingerprint, bystanders: number): void {
    const instance = fleet[index % fleet.length];
    const verdict =
      instance && judgeRequest(instance.crashes.getState(), fingerprint, timers.now());
    const mayRun = verdict === PoisonVerdict.Clean || verdict === PoisonVerdict.Suspect;
    if (!instance || !mayRun) {
      return;
    }
    engines += 1;
    const id = createCrashId(`e${engines}`, 'boot', false);
    timers.registerTimeout(CRASH_DELAY, () => {
      crashTimes.push(timers.now());
      instance.crashes.note((state) => noteCrash(state, id, fingerprint, timers.now()));
      for (let i = 0; i < bystanders; i++) {
        const other = fleet[random.nextInt(fleet.length)];
        other?.crashes.note((state) => noteCrash(state, id, `${id} beside ${i}`, timers.now()));
      }
    });
  }

  /** Replaces an instance by a new one, which knows nothing. */
  function restart(index: number): void {
    const old = fleet[index % fleet.length];
    old?.stop();
    fleet = fleet.filter((instance) => instance !== old);
    start();
  }

  Array.from({ length: size }, start);
  return {
    timers,
    random,
    crashTimes,
    runCrashing,
    restart,
    /** Verdicts of all instances on a request. */
    judge: (fingerprint: Fingerprint) =>
      fleet.map(({ crashes }) => judgeRequest(crashes.getState(), fingerprint, timers.now())),
    /** Bytes of reports that each instance received. */
    listBytes: () => fleet.map(({ entry }) => bytes.get(entry.id) ?? 0),
  };
}
