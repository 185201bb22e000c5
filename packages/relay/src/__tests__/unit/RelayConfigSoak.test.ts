import { expect } from 'chai';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SyncBed, SyncMember } from './RelaySyncBed.js';
import { CONFIG_KEY, createSyncBed, STORE, writeConfig } from './RelaySyncBed.js';

/** More by hand: SOAK_SEEDS=50 npx mocha --no-config --timeout 0 --spec FILE */
const SEEDS = Number(process.env.SOAK_SEEDS ?? 3);
const INSTANCES = 30;
const NARROW_LINK = 1750;
const STORE_LINK = 125_000;
const SETTLED: Millis = 6000;
const FAULT_TIME: Millis = 20_000;
const STEP: Millis = 250;
/** So long after the end of all disturbances an instance is to know what the store holds. */
const STABLE_AGAIN: Millis = 3000;
/** Between two looks at the links. */
const SLACK: Millis = 10;
const MOST_ROUTES = 1640;

interface Written {
  readonly version: number;
  readonly at: Millis;
}

/** Faults that hold for a while, drawn anew at each step. */
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

function getNewest({ inForceAt }: SyncMember): number {
  return Math.max(0, ...inForceAt.keys());
}

/** Nobody takes what it knows for younger than it is: by the age that it states it holds all versions from before. */
function checkAges(bed: SyncBed, written: readonly Written[], name: string): void {
  bed.members.forEach((member) => {
    const asOf = bed.timers.now() - member.sync.updates.readState().age;
    const missed = written.filter(
      ({ version, at }) => at < asOf - SLACK && version > getNewest(member),
    );
    expect(missed, `${name}, ${member.id} at ${bed.timers.now()}`).to.deep.equal([]);
  });
}

async function playSeed(seed: number): Promise<void> {
  const random = createRandom(seed);
  const shares = new Map<string, number>();
  const bed = createSyncBed({
    instances: INSTANCES,
    getRate: (place) => (place === STORE ? STORE_LINK : (shares.get(place) ?? 1) * NARROW_LINK),
  });
  bed.members.forEach(({ id }) => shares.set(id, 0.3 + 0.7 * random.nextFloat()));
  await bed.timers.advanceToAsync(SETTLED);
  const faults = createFaults(random, bed);
  const written: Written[] = [];
  let version = 1;
  for (let at = SETTLED; at < SETTLED + FAULT_TIME; at += STEP) {
    faults.draw();
    if (random.nextFloat() < 0.2) {
      version += 1;
      bed.store.put(CONFIG_KEY, writeConfig(version, 1 + random.nextInt(MOST_ROUTES)));
      written.push({ version, at: bed.timers.now() });
    }
    await bed.timers.advanceToAsync(at + STEP);
    checkAges(bed, written, `seed ${seed}`);
  }
  faults.end();
  await bed.timers.advanceToAsync(bed.timers.now() + STABLE_AGAIN);
  const behind = bed.members.filter((member) => getNewest(member) < version);
  expect(
    behind.map(({ id }) => id),
    `seed ${seed}`,
  ).to.deep.equal([]);
}

describe('RelayKnowledge under changes and faults', () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`never takes its news for younger than they are, and has the newest version in the end (seed ${seed})`, () =>
      playSeed(seed));
  }
});
