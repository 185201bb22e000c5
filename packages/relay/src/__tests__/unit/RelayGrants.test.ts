import { expect } from 'chai';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRetryBudget, setBurst, takeRetry } from '@skylarksail/requests/RequestBudget';
import type { RelayGrants } from '../../RelayGrants.js';
import { createRelayGrants } from '../../RelayGrants.js';
import { createRetryShare } from '../../RelayRetryShare.js';
import type { InstanceEntry } from '../../RelayTypes.js';

const WINDOW = 10_000;
const SLACK = 100;
const POOL_SHARE = 0.6;
const DOMAINS = ['d0', 'd1', 'd2'];
const PER_DOMAIN = 8;
const SERVICE = 'letters';
/** Time for which an instance stays listed after its process ends. */
const LEASE = 6000;
const MAX_LAG = 1500;
const STEP = 100;

/** A running process with its own delayed list of instances. */
interface Process {
  readonly entry: InstanceEntry;
  readonly grants: RelayGrants;
  readonly lag: number;
  isCurrent: boolean;
  /** Uses a retry if the budget allows one; returns whether it did. */
  take(): boolean;
  observe(): void;
}

interface ListedInstance {
  readonly entry: InstanceEntry;
  readonly from: number;
  until: number;
}

function createFleet(random: Random) {
  const timers = createVirtualTimers();
  const listed: ListedInstance[] = [];
  const processes = new Map<string, Process>();
  const taken: number[] = [];
  let started = 0;

  function listAt(time: number): readonly InstanceEntry[] {
    return listed
      .filter(({ from, until }) => from <= time && time < until)
      .map(({ entry }) => entry);
  }

  function start(domain: string): void {
    const id = `${domain}-${started}`;
    started += 1;
    const entry = { id, domain, address: { host: '127.0.0.1', port: started } };
    const lag = random.nextInt(MAX_LAG);
    listed.push({ entry, from: timers.now(), until: Infinity });
    const listInstances = (): readonly InstanceEntry[] => listAt(timers.now() - lag);
    const share = createRetryShare({
      timers,
      self: entry,
      slack: SLACK * (1 - POOL_SHARE),
      window: WINDOW,
      domains: DOMAINS,
      listInstances,
    });
    const grants = createRelayGrants({
      timers,
      self: entry,
      window: WINDOW,
      poolSize: (SLACK * POOL_SHARE) / DOMAINS.length,
      listInstances,
      isCurrent: () => processes.get(id)?.isCurrent ?? false,
      // Some requests and answers are lost.
      askGrant: async (peer, service, wanted) => {
        const asked = random.nextInt(20) > 0 ? processes.get(peer.id) : undefined;
        const granted = asked?.grants.grant(service, wanted) ?? 0;
        return random.nextInt(20) > 0 ? granted : 0;
      },
    });
    let budget = createRetryBudget({ share: 0, burst: 0, window: WINDOW });
    processes.set(id, {
      entry,
      grants,
      lag,
      isCurrent: true,
      take() {
        const burst = share.getBurst() + grants.count(SERVICE);
        const next = takeRetry(setBurst(budget, burst), timers.now());
        budget = next ?? budget;
        if (next !== null) {
          taken.push(timers.now());
        }
        return next !== null;
      },
      observe() {
        share.observe();
        grants.observe();
      },
    });
  }

  function kill(id: string): void {
    const found = listed.find(({ entry, until }) => entry.id === id && until === Infinity);
    if (found) {
      processes.delete(id);
      found.until = timers.now() + LEASE;
    }
  }

  DOMAINS.forEach((domain) => Array.from({ length: PER_DOMAIN }, () => start(domain)));
  return { timers, processes, taken, start, kill };
}

function countBusiestWindow(taken: readonly number[]): number {
  return Math.max(
    0,
    ...taken.map((from) => taken.filter((at) => at >= from && at < from + WINDOW).length),
  );
}

describe('RelayGrants', () => {
  it('grants most of its own domain’s pool and of other pools to a single instance that needs retries', async () => {
    // Guards against requests refused for lack of retry budget while the fleet has used only a tenth of it: nine
    // engines end together, their answers break at a few instances, and the slack is split over all instances
    // regardless of need.
    const { timers, processes, taken } = createFleet(createRandom(1));
    for (let at = STEP; at <= 20_000; at += STEP) {
      await timers.advanceToAsync(at);
      processes.forEach(({ observe }) => observe());
    }
    const [one] = [...processes.values()];
    for (let i = 0; i < 40; i++) {
      if (!one?.take()) {
        one?.grants.request(SERVICE, () => undefined);
        await timers.advanceToAsync(timers.now() + 20);
      }
    }
    const equalShare = SLACK / (DOMAINS.length * PER_DOMAIN);
    expect(taken.length).to.be.greaterThan(4 * equalShare);
  });

  it('keeps the fleet within its slack in every window despite kills, restarts and stale instances', async () => {
    // Guards against more retries in ten seconds than the fleet may cause, due to two granters in one domain or a
    // granter that does not know what its predecessor granted. Granters are killed and return under other names, some
    // get no updates for a while, lists are delayed, requests and answers are lost, and all instances constantly need
    // retries.
    for (let seed = 1; seed <= 12; seed++) {
      const random = createRandom(seed);
      const { timers, processes, taken, start, kill } = createFleet(random);
      for (let at = STEP; at <= 70_000; at += STEP) {
        await timers.advanceToAsync(at);
        for (const process of [...processes.values()]) {
          process.observe();
          if (random.nextInt(600) === 0) {
            kill(process.entry.id);
            timers.registerTimeout(1000, () => start(process.entry.domain));
          }
          if (random.nextInt(400) === 0) {
            process.isCurrent = false;
            timers.registerTimeout(random.nextInt(8000), () => {
              process.isCurrent = true;
            });
          }
          while (process.take());
          process.grants.request(SERVICE, () => undefined);
        }
      }
      expect(countBusiestWindow(taken), `seed ${seed}`).to.be.at.most(SLACK);
      expect(taken.length).to.be.greaterThan(SLACK);
    }
  });

  it('grants nothing until all grants of the previous granter have expired', async () => {
    const { timers, processes, kill } = createFleet(createRandom(3));
    const countGranted = (): number =>
      [...processes.values()]
        .filter(({ entry }) => entry.domain === 'd0')
        .reduce((sum, { grants }) => sum + grants.grant(SERVICE, 1), 0);
    const run = async (until: number): Promise<void> => {
      for (let at = timers.now() + STEP; at <= until; at += STEP) {
        await timers.advanceToAsync(at);
        processes.forEach(({ observe }) => observe());
      }
    };
    await run(WINDOW);
    expect(countGranted()).to.equal(0);
    await run(20_000);
    expect(countGranted()).to.equal(1);
    const [granter] = [...processes.values()].filter(({ grants }) => grants.grant(SERVICE, 1) > 0);
    kill(granter?.entry.id ?? '');
    await run(20_000 + LEASE + WINDOW);
    expect(countGranted()).to.equal(0);
    await run(20_000 + LEASE + WINDOW + 8000);
    expect(countGranted()).to.equal(1);
  });

  it('keeps nothing of services that ask for no more retries, however many did', async () => {
    // Guards against memory that grows with each service name that was ever asked for, configured or not.
    const timers = createVirtualTimers();
    const self = { id: 'a', domain: 'd0', address: { host: '127.0.0.1', port: 1 } };
    const grants = createRelayGrants({
      timers,
      self,
      window: WINDOW,
      poolSize: 20,
      listInstances: () => [self],
      isCurrent: () => true,
      askGrant: () => Promise.resolve(0),
    });
    const cancel = timers.registerInterval(2000, grants.observe);
    let granted = 0;
    const answers: boolean[] = [];
    for (let i = 0; i < 500; i++) {
      await timers.advanceToAsync(i * 1000);
      grants.request(`own-${i}`, (isGranted) => answers.push(isGranted));
      granted += grants.grant(`asked-${i}`, 3);
    }
    await timers.advanceToAsync(500_000 + 3 * WINDOW);
    expect(granted).to.be.greaterThan(1000);
    expect(answers).to.include(false);
    expect(grants.countServices()).to.equal(0);
    cancel();
  });
});
