import { expect } from 'chai';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { FakeStoreCopy } from '@skylarksail/store/FakeRangeStore';
import type { ReturnBed, ReturnMember } from './RelayReturnBed.js';
import { createReturnBed } from './RelayReturnBed.js';

const SEEDS = Number(process.env.SOAK_SEEDS ?? 6);
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1);
const TICK: Millis = 100;
const SETTLE_TIME: Millis = 8000;
const FAULT_TIME: Millis = 25_000;
/** Longer than a lapsed lease, the wait for a claim that was lost, and the turns of all that may claim. */
const CALM_TIME: Millis = 16_000;
const MAX_AWAY: Millis = 1500;
/** Time after a return in which the operator and the servers have written their entries again. */
const REWRITE_TIME: Millis = 1500;
/** Time after which the platform removes the entry of a server that is gone. */
const SILENCE_TIME: Millis = 3600;
const DRAIN_TIME: Millis = 4000;
const MAX_COPIES = 40;

type ServerState = 'live' | 'leaving' | 'gone';

interface PlayedServer {
  readonly id: string;
  state: ServerState;
  since: Millis;
}

/** The operator, the servers and the platform around a fleet, with faults in series that overlap. */
class Play {
  readonly bed: ReturnBed;

  readonly servers: PlayedServer[] = [];

  version = 1;

  /** Servers that an instance has known not to take requests; none of them lives again. */
  readonly knownGone = new Map<string, Set<string>>();

  private readonly random: Random;

  private readonly copies: FakeStoreCopy[] = [];

  private rewriteAt = Infinity;

  private readonly cutUntil = new Map<ReturnMember, Millis>();

  private backAt = Infinity;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.bed = createReturnBed(4 + this.random.nextInt(14));
    Array.from({ length: 6 }, () => this.startServer());
  }

  startServer(): void {
    const server = { id: `s${this.servers.length}`, state: 'live' as const, since: this.now() };
    this.servers.push(server);
    this.writeServer(server);
  }

  now(): Millis {
    return this.bed.timers.now();
  }

  /** Writes a server's state, unless the store is away; the server tries again later. */
  private writeServer({ id, state, since }: PlayedServer): void {
    if (this.backAt < Infinity) {
      return;
    }
    const key = `backends/${id}`;
    if (state === 'gone') {
      if (this.now() - since > SILENCE_TIME) {
        this.bed.removeServer(id);
      }
    } else if (this.bed.store.get(key) !== state) {
      this.bed.putServer(id, state);
    }
  }

  /** One step with faults. */
  step(): void {
    const { bed } = this;
    this.copies.push(bed.store.takeCopy());
    this.copies.splice(0, this.copies.length - MAX_COPIES);
    if (this.chance(0.025) && this.backAt === Infinity) {
      bed.store.setAvailable(false);
      this.backAt = this.now() + this.random.nextFloat() * MAX_AWAY;
    }
    if (this.chance(0.04)) {
      this.version += 1;
      this.writeVersion();
    }
    if (this.chance(0.03)) {
      this.startServer();
    }
    if (this.chance(0.03)) {
      this.stopServer();
    }
    if (this.chance(0.03)) {
      this.cutSome();
    }
    if (this.chance(0.02)) {
      this.replaceInstance();
    }
    if (this.chance(0.05)) {
      bed.setFaults({ lost: 0.3 * this.random.nextFloat(), late: 0.1 * this.random.nextFloat() });
    }
    this.keepUp();
  }

  /** What goes on without further faults: the store returns, links heal, entries are written again. */
  keepUp(): void {
    if (this.now() >= this.backAt) {
      this.comeBack();
    }
    if (this.now() >= this.rewriteAt) {
      this.writeVersion();
      this.servers.forEach((server) => this.writeServer(server));
    }
    this.cutUntil.forEach((until, member) =>
      Object.assign(member, { isCut: this.now() < until && !member.isStopped }),
    );
    this.servers
      .filter(({ state, since }) => state === 'leaving' && this.now() - since > DRAIN_TIME)
      .forEach((server) => Object.assign(server, { state: 'gone', since: this.now() }));
    this.servers.forEach((server) => this.writeServer(server));
  }

  private comeBack(): void {
    const copy = this.copies[this.random.nextInt(this.copies.length)];
    this.backAt = Infinity;
    this.bed.store.setAvailable(true);
    if (copy && this.chance(0.8)) {
      this.bed.store.returnFrom(copy);
      this.copies.length = 0;
      this.rewriteAt = this.now() + this.random.nextFloat() * REWRITE_TIME;
    }
  }

  private writeVersion(): void {
    if (this.backAt === Infinity && this.bed.store.get('config') !== String(this.version)) {
      this.bed.putVersion(this.version);
    }
  }

  private stopServer(): void {
    const live = this.servers.filter(({ state }) => state === 'live');
    const server = live[this.random.nextInt(live.length)];
    if (server && live.length > 2 && this.backAt === Infinity) {
      Object.assign(server, { state: this.chance(0.7) ? 'leaving' : 'gone', since: this.now() });
      this.writeServer(server);
    }
  }

  private cutSome(): void {
    const until = this.now() + 500 + this.random.nextFloat() * 4000;
    this.bed
      .listRunning()
      .filter(() => this.chance(0.3))
      .forEach((member) => this.cutUntil.set(member, until));
  }

  private replaceInstance(): void {
    const running = this.bed.listRunning();
    const member = running[this.random.nextInt(running.length)];
    if (member && running.length > 3) {
      if (this.chance(0.5)) {
        member.lease.stop();
      }
      this.bed.kill(member);
      this.bed.start();
    }
  }

  private chance(share: number): boolean {
    return this.random.nextFloat() < share;
  }

  /** What must hold at each moment. */
  check(where: string): void {
    const { bed } = this;
    bed.listRunning().forEach(({ id, versions, catalogue }) => {
      const isRising = versions.every((version, i) => i === 0 || version > (versions[i - 1] ?? 0));
      expect(isRising, `${where}: versions of ${id} ${versions.join(' ')}`).to.equal(true);
      const gone = this.knownGone.get(id) ?? new Set<string>();
      this.knownGone.set(id, gone);
      this.servers
        .filter(({ state }) => state !== 'live')
        .forEach(({ id: server }) => {
          const isUsed = catalogue.get(server)?.state === 'live';
          expect(isUsed && gone.has(server), `${where}: ${id} uses ${server} again`).to.equal(
            false,
          );
          if (catalogue.get(server)?.state === 'leaving') {
            gone.add(server);
          }
        });
    });
    bed.domains.forEach((domain) => {
      const holders = bed.listHolders(domain);
      expect(holders, `${where}: holders of ${domain}`).to.have.length.at.most(1);
    });
  }

  /** What must hold once all has been calm for a while. */
  checkEnd(where: string): void {
    const { bed } = this;
    expect(bed.listOutdated(this.version), `${where}: version ${this.version}`).to.deep.equal([]);
    const running = bed.listRunning().map(({ id }) => id);
    this.servers.forEach(({ id, state }) =>
      expect(bed.listUsers(id), `${where}: ${state} server ${id}`).to.deep.equal(
        state === 'live' ? running : [],
      ),
    );
    bed.domains.forEach((domain) =>
      expect(bed.listHolders(domain), `${where}: holders of ${domain}`).to.have.length(1),
    );
    bed.listRunning().forEach(({ id, lease }) => {
      const known = lease.listInstances().map((one) => one.id);
      expect([...known].sort(), `${where}: known at ${id}`).to.deep.equal([...running].sort());
    });
  }

  /** Ends all faults. */
  calm(): void {
    this.bed.setFaults({ lost: 0, late: 0 });
    this.cutUntil.forEach((_, member) => this.cutUntil.set(member, 0));
  }
}

async function play(seed: number): Promise<void> {
  const fleet = new Play(seed);
  await fleet.bed.advance(SETTLE_TIME);
  for (let time = 0; time < FAULT_TIME; time += TICK) {
    fleet.step();
    await fleet.bed.advance(TICK);
    fleet.check(`seed ${seed} at ${fleet.now()}`);
  }
  fleet.calm();
  for (let time = 0; time < CALM_TIME; time += TICK) {
    fleet.keepUp();
    await fleet.bed.advance(TICK);
    fleet.check(`seed ${seed} at ${fleet.now()}`);
  }
  fleet.checkEnd(`seed ${seed}`);
}

describe('Returns of the store from a copy at random', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    it(`bring nothing older back and lose nothing, beside cuts, lost answers and kills (seed ${seed})`, async () => {
      // Guards against state of an earlier history that survives, and against claims of two instances at once.
      await play(seed);
    });
  }
});
