/** Instances that run requests which crash their engines, and exchange reports over bad links, in virtual time. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { Fingerprint, PoisonDigest } from '@skylarksail/requests/RequestPoison';
import { createCrashId, noteCrash } from '@skylarksail/requests/RequestPoison';
import { findPartHold, judgeParts } from '@skylarksail/requests/RequestPartVerdict';
import { isRefused, judgeRequest, PoisonVerdict } from '@skylarksail/requests/RequestPoisonVerdict';
import type { PromptPart } from '@skylarksail/requests/RequestSuspects';
import { createSuspects } from '@skylarksail/requests/RequestSuspects';
import { startCrashExchange } from '@skylarksail/requests/RouterCrashExchange';
import type { RouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { createRouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { tallySuspect } from '@skylarksail/requests/RunTrials';
import type { RelayTrials } from '../../RelayTrials.js';
import { createRelayTrials } from '../../RelayTrials.js';
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

/** What became of a request with parts. */
export type PartRun = 'ran' | 'held' | 'refused';

interface FleetInstance {
  readonly entry: InstanceEntry;
  readonly crashes: RouterCrashes;
  readonly trials: RelayTrials;
  readonly stop: Unregister;
}

const CRASH_LIMIT = 2;
const DOMAINS = 8;
const CRASH_DELAY: Millis = 90;

function nameParts(partIds: readonly string[], request: string): readonly PromptPart[] {
  return createSuspects(request, { team: 't', model: 'm', partIds }).parts;
}

export function createCrashFleet(size: number, seed: number, links: LinkFaults) {
  const timers = createVirtualTimers();
  const random: Random = createRandom(seed);
  const crashTimes: Millis[] = [];
  const bytes = new Map<string, number>();
  let fleet: FleetInstance[] = [];
  let listed: readonly InstanceEntry[] = [];
  let starts = 0;
  let engines = 0;
  let requests = 0;

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

  async function askForTrial(
    to: InstanceEntry,
    suspect: string,
    timeout: Millis,
  ): Promise<boolean | null> {
    await wait(random.nextFloat() * links.delay);
    const granter = fleet.find(({ entry }) => entry.id === to.id);
    if (!granter || random.nextFloat() < links.lost) {
      await wait(timeout);
      return null;
    }
    return granter.trials.grant(suspect);
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
    const trials = createRelayTrials({
      timers,
      self: entry,
      listInstances: () => listed,
      tallyCrashes: (suspect) => tallySuspect(crashes.getState(), suspect, timers.now()),
      askForTrial,
    });
    fleet.push({ entry, crashes, trials, stop });
    listed = fleet.map((instance) => instance.entry);
  }

  /** Sends a request to an instance, which runs it on one more engine unless it holds it back. */
  function runCrashing(index: number, fingerprint: Fingerprint, bystanders: number): void {
    const instance = fleet[index % fleet.length];
    const verdict =
      instance && judgeRequest(instance.crashes.getState(), fingerprint, timers.now());
    const isFree = verdict === PoisonVerdict.Clean || verdict === PoisonVerdict.Suspect;
    if (!instance || !isFree) {
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

  function mayRun({ crashes, trials }: FleetInstance, parts: readonly PromptPart[]) {
    const now = timers.now();
    const wasSound = (part: string): boolean => crashes.wasSound(part, now);
    const asked = { parts, now, wasSound };
    const verdicts = judgeParts(crashes.getState(), asked).map(({ verdict }) => verdict);
    if (verdicts.some(isRefused)) {
      return Promise.resolve<PartRun>('refused');
    }
    if (verdicts.includes(PoisonVerdict.Doubted)) {
      return Promise.resolve<PartRun>('held');
    }
    const hold = findPartHold(crashes.getState(), asked, true);
    return hold?.kind === 'trial'
      ? new Promise<PartRun>((resolve) => {
          trials.request(hold.part, (isGranted) => resolve(isGranted ? 'ran' : 'held'));
        })
      : Promise.resolve<PartRun>(hold === null ? 'ran' : 'held');
  }

  /** Sends a request with parts to an instance; `besides` are the parts of others that wait on an engine that it crashes. */
  async function runWithParts(
    index: number,
    ids: readonly string[],
    besides: readonly (readonly string[])[] | null,
  ): Promise<PartRun> {
    const instance = fleet[index % fleet.length] as FleetInstance;
    const parts = nameParts(ids, `request ${requests}`);
    requests += 1;
    const run = await mayRun(instance, parts);
    if (run !== 'ran') {
      return run;
    }
    engines += 1;
    const id = createCrashId(`e${engines}`, 'boot', false);
    const noteUnbegun = ({ crashes }: FleetInstance, name: string, unbegun: typeof parts): void =>
      crashes.note((state) =>
        noteCrash(
          state,
          id,
          name,
          timers.now(),
          unbegun.map(({ suspect }) => suspect),
        ),
      );
    timers.registerTimeout(CRASH_DELAY, () => {
      if (besides === null) {
        const names = parts.map(({ name }) => name);
        instance.crashes.noteBegun(names, timers.now());
        return;
      }
      crashTimes.push(timers.now());
      noteUnbegun(instance, `request of ${id}`, parts);
      besides.forEach((others, i) => {
        const other = fleet[random.nextInt(fleet.length)] as FleetInstance;
        noteUnbegun(other, `${id} beside ${i}`, nameParts(others, `beside ${id} ${i}`));
      });
    });
    return run;
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
    runWithParts,
    restart,
    /** Verdicts of all instances on a request. */
    judge: (fingerprint: Fingerprint) =>
      fleet.map(({ crashes }) => judgeRequest(crashes.getState(), fingerprint, timers.now())),
    /** Bytes of reports that each instance received. */
    listBytes: () => fleet.map(({ entry }) => bytes.get(entry.id) ?? 0),
  };
}
