/** Instances that send requests to one server with a request limit, over bad links, in virtual time. */
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LinkFaults } from './RelayCrashFleet.js';
import { createLimitIssuer } from '../../RelayLimitIssuer.js';
import type { AskForPermits, RelayLimits } from '../../RelayLimits.js';
import { createRelayLimits } from '../../RelayLimits.js';
import type { InstanceEntry } from '../../RelayTypes.js';

interface LimitedInstance {
  readonly entry: InstanceEntry;
  readonly limits: RelayLimits;
  /** Changes the instances that it knows. */
  readonly learnList: (instances: readonly InstanceEntry[]) => void;
}

const SERVER = 'e';
const DOMAINS = 8;
/** Longest time until an instance knows of a change of the list of instances. */
const LIST_DELAY: Millis = 1000;

export function createLimitFleet(size: number, seed: number, links: LinkFaults) {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const arrivals: Millis[] = [];
  let fleet: LimitedInstance[] = [];
  let starts = 0;
  let named: number | null = null;

  function wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(delay, () => resolve());
    });
  }

  const askForPermits: AskForPermits = async (issuer, query, timeout) => {
    await wait(random.nextFloat() * links.delay);
    const peer = fleet.find(({ entry }) => entry.id === issuer.id);
    if (!peer || random.nextFloat() < links.lost) {
      await wait(timeout);
      return null;
    }
    const answer = peer.limits.answer(query);
    if (random.nextFloat() < links.repeated) {
      peer.limits.answer(query);
    }
    await wait(random.nextFloat() * links.delay);
    return random.nextFloat() < links.lost ? null : answer;
  };

  /** Tells each instance of the present list, one after the other. */
  function spreadList(): void {
    fleet.forEach((instance) => {
      timers.registerTimeout(random.nextFloat() * LIST_DELAY, () => {
        instance.learnList(fleet.map(({ entry }) => entry));
      });
    });
  }

  function start(): void {
    const entry = {
      id: `i${starts}`,
      domain: `d${starts % DOMAINS}`,
      address: { host: '127.0.0.1', port: starts + 1 },
    };
    starts += 1;
    let listed: readonly InstanceEntry[] = [...fleet.map((other) => other.entry), entry];
    fleet.push({
      entry,
      learnList: (instances) => {
        listed = instances;
      },
      limits: createRelayLimits({
        timers,
        self: entry,
        issuer: createLimitIssuer({
          timers,
          self: entry,
          listInstances: () => listed,
          getDomain: () => 'd0',
        }),
        askForPermits,
        countInstances: () => Math.ceil(size / DOMAINS),
        isKnown: () => true,
        logger: { info: () => undefined },
        onLimitedRequest: () => undefined,
      }),
    });
  }

  Array.from({ length: size }, start);
  const all = fleet.map(({ entry }) => entry);
  fleet.forEach(({ learnList }) => learnList(all));
  return {
    timers,
    random,
    arrivals,
    /** Sends a request from an instance to the server, if it may; the answer names the limit. */
    send(index: number): boolean {
      const instance = fleet[index % fleet.length];
      if (!instance || instance.limits.listBlocked().length > 0) {
        return false;
      }
      instance.limits.reserve(SERVER)?.use();
      timers.registerTimeout(random.nextFloat() * links.delay, () => {
        arrivals.push(timers.now());
        instance.limits.noteLimit(SERVER, named);
      });
      return true;
    },
    /** The server names a limit, or none, in its answers from now on. */
    name(limit: number | null): void {
      named = limit;
    },
    tellAll: () => fleet.forEach(({ limits }) => limits.noteLimit(SERVER, named)),
    /** Replaces an instance by a new one, which knows nothing of the limit but from its answers. */
    restart(index: number): void {
      fleet = fleet.filter((_instance, i) => i !== index % fleet.length);
      start();
      spreadList();
    },
    /** Position of the instance that issues the permits. */
    findIssuer: () => {
      const entries = fleet.map(({ entry }) => entry);
      const lookup = createLimitIssuer({
        timers,
        self: entries[0] as InstanceEntry,
        listInstances: () => entries,
        getDomain: () => 'd0',
      });
      return entries.findIndex(({ id }) => id === lookup.getIssuer(SERVER)?.id);
    },
    countBlocked: () => fleet.filter(({ limits }) => limits.listBlocked().length > 0).length,
  };
}
