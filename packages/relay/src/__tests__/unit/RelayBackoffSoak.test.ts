import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SentCall } from './RelayPartsBed.js';
import { BACKENDS } from './RelayPartsBed.js';
import { createRestBed } from './RelayRestBed.js';

const SEEDS = Number(process.env.SOAK_SEEDS ?? 4);
const ROUNDS = 300;
const MOST_PERIOD: Millis = 80;
const TIME_LEFT: Millis = 5000;
const EVENT_SHARE = 0.04;
const PATHS = ['/letters/', '/statements/', '/receipts/'];
const SERVERS = ['p1', 'p2', 'e0', 'f0'];

/** Servers turn requests away and stop doing so, start again under another id, and instances lose their links, in series. */
async function play(seed: number) {
  const random = createRandom(seed);
  const ids = Array.from({ length: 2 + random.nextInt(5) }, (_, i) => `i${i}`);
  const rested = await createRestBed(ids);
  const { bed, turnsAway, cut } = rested;
  const sent: SentCall[] = [];
  const servers = [...SERVERS];
  let starts = 0;
  bed.addEngine('f0', { first: 0, end: 2 });

  function toggle(set: Set<string>, member: string): void {
    if (!set.delete(member)) {
      set.add(member);
    }
  }

  function restartPlainServer(): void {
    const i = random.nextInt(2);
    bed.store.remove(`${BACKENDS}${servers[i]}`);
    starts += 1;
    servers[i] = `p${i + 1}-${starts}`;
    bed.addServer(servers[i] ?? '');
  }

  for (let i = 0; i < ROUNDS; i += 1) {
    if (random.nextFloat() < EVENT_SHARE) {
      toggle(turnsAway, servers[random.nextInt(servers.length)] ?? '');
    }
    if (random.nextFloat() < EVENT_SHARE / 4) {
      toggle(cut, ids[random.nextInt(ids.length)] ?? '');
    }
    if (random.nextFloat() < EVENT_SHARE / 4) {
      restartPlainServer();
    }
    const path = `${PATHS[random.nextInt(PATHS.length)] ?? ''}${i}`;
    const call = bed.submit(ids[random.nextInt(ids.length)] ?? '', path, TIME_LEFT);
    sent.push(call);
    if (random.nextFloat() < EVENT_SHARE) {
      call.leave();
    }
    await bed.timers.advanceToAsync(bed.timers.now() + MOST_PERIOD * random.nextFloat());
  }
  cut.clear();
  turnsAway.clear();
  await bed.timers.advanceToAsync(bed.timers.now() + 2 * TIME_LEFT);
  return { sent, rested };
}

describe('Servers that ask for rest at random', () => {
  it('get nothing in their rests over any path, and each caller is answered once', async () => {
    // Guards against a way to a resting server that opens only where rests, cuts, restarts and callers that leave overlap.
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { sent, rested } = await play(seed);
      const probes = rested.bed.probes.map(({ by, engine, at }) => ({ by, server: engine, at }));
      const orders = rested.bed.orders.map(({ by, engine, at }) => ({ by, server: engine, at }));
      expect(rested.asked.length, `seed ${seed}`).to.be.above(0);
      expect(rested.listInRest([...probes, ...orders]), `seed ${seed}`).to.deep.equal([]);
      for (const { path, ends, aborts, refusals } of sent) {
        const answers = ends.length + aborts.length + refusals.length;
        expect(answers, `${path} seed ${seed}`).to.equal(1);
      }
    }
  });
});
