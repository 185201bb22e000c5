import { expect } from 'chai';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SyncBed, SyncMember } from './RelaySyncBed.js';
import { CONFIG_KEY, createSyncBed, STORE, writeConfig } from './RelaySyncBed.js';

/** For more seeds: SOAK_SEEDS=50 npx mocha --no-config --timeout 0 --spec FILE */
const SEEDS = Number(process.env.SOAK_SEEDS ?? 3);
const INSTANCES = 30;
const INSTANCE_RATE = 1750;
const STORE_RATE = 125_000;
const SETTLE_TIME: Millis = 6000;
const FAULT_DURATION: Millis = 20_000;
const STEP: Millis = 250;
/** Time after the end of all faults in which an instance must be in sync with the store. */
const RECOVERY_BOUND: Millis = 3000;
/** Covers the tick of the simulated links. */
const AGE_TOLERANCE: Millis = 10;
const MAX_ROUTES = 1640;

interface WrittenVersion {
  readonly version: number;
  readonly at: Millis;
}

/** Draws random faults of limited duration, step by step. */
function createFaults(random: Random, bed: SyncBed) {
  const until = new Map<string, Millis>();
  const isOn = (name: string): boolean => (until.get(name) ?? 0) > bed.timers.now();
  const begin = (name: string, longest: Millis): void => {
    until.set(name, bed.timers.now() + random.nextFloat() * longest);
  };
  bed.setCut((id) => isOn('cut all') || isOn(`cut ${id}`));
  bed.setMute((id) => isOn(`mute ${id}`));
  return {
    draw() {
      const { id } = bed.members[random.nextInt(INSTANCES)] as SyncMember;
      const kind = random.nextFloat();
      if (kind < 0.25) {
        begin(`cut ${id}`, 5000);
      } else if (kind < 0.5) {
        begin(`mute ${id}`, 5000);
      } else if (kind < 0.53) {
        begin('cut all', 6000);
      } else if (kind < 0.56) {
        bed.store.compact();
      }
    },
    end: () => until.clear(),
  };
}

function getNewestVersion({ inForceAt }: SyncMember): number {
  return Math.max(0, ...inForceAt.keys());
}

/** Checks that no instance understates its staleness: it has all versions from before its stated time of sync. */
function checkAges(bed: SyncBed, written: readonly WrittenVersion[], name: string): void {
  bed.members.forEach((member) => {
    const asOf = bed.timers.now() - member.sync.updates.readState().age;
    const missed = written.filter(
      ({ version, at }) => at < asOf - AGE_TOLERANCE && version > getNewestVersion(member),
    );
    expect(missed, `${name}, ${member.id} at ${bed.timers.now()}`).to.deep.equal([]);
  });
}

async function runSeed(seed: number): Promise<void> {
  const random = createRandom(seed);
  const shares = new Map<string, number>();
  const bed = createSyncBed({
    instances: INSTANCES,
    getRate: (place) => (place === STORE ? STORE_RATE : (shares.get(place) ?? 1) * INSTANCE_RATE),
  });
  bed.members.forEach(({ id }) => shares.set(id, 0.3 + 0.7 * random.nextFloat()));
  await bed.timers.advanceToAsync(SETTLE_TIME);
  const faults = createFaults(random, bed);
  const written: WrittenVersion[] = [];
  let version = 1;
  for (let at = SETTLE_TIME; at < SETTLE_TIME + FAULT_DURATION; at += STEP) {
    faults.draw();
    if (random.nextFloat() < 0.2) {
      version += 1;
      bed.store.put(CONFIG_KEY, writeConfig(version, 1 + random.nextInt(MAX_ROUTES)));
      written.push({ version, at: bed.timers.now() });
    }
    await bed.timers.advanceToAsync(at + STEP);
    checkAges(bed, written, `seed ${seed}`);
  }
  faults.end();
  await bed.timers.advanceToAsync(bed.timers.now() + RECOVERY_BOUND);
  const behind = bed.members.filter((member) => getNewestVersion(member) < version);
  expect(
    behind.map(({ id }) => id),
    `seed ${seed}`,
  ).to.deep.equal([]);
}

describe('Store sync under changes and faults', () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`never understates its staleness, and has the newest version in the end (seed ${seed})`, () =>
      runSeed(seed));
  }
});
