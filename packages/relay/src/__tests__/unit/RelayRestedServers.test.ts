import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SentCall } from './RelayPartsBed.js';
import { BACKENDS } from './RelayPartsBed.js';
import { createRestBed, REST } from './RelayRestBed.js';

const PLAIN = '/statements/';
const MODEL = '/letters/';
const TIME_LEFT: Millis = 5000;
const PERIOD: Millis = 50;
const SPELL: Millis = 9000;
/** Longest time from a request to its refusal that counts as at once. */
const AT_ONCE: Millis = 150;

type RestBed = Awaited<ReturnType<typeof createRestBed>>;

/** Sends a request every period. */
async function send({ bed }: RestBed, path: string, time: Millis): Promise<readonly SentCall[]> {
  const { timers } = bed;
  const calls: SentCall[] = [];
  const end = timers.now() + time;
  while (timers.now() < end) {
    calls.push(bed.submit('i1', path, TIME_LEFT));
    await timers.advanceToAsync(timers.now() + PERIOD);
  }
  await timers.advanceToAsync(timers.now() + TIME_LEFT);
  return calls;
}

function countServed(calls: readonly SentCall[]): number {
  return calls.filter(({ ends }) => ends.length === 1).length;
}

describe('Servers that ask for rest', () => {
  it('get nothing in it, and the other servers of a plain service serve all callers', async () => {
    // Guards against a rest that only the refused request keeps, while each new one goes to the server again.
    const rested = await createRestBed(['i1']);
    rested.turnsAway.add('p1');
    const calls = await send(rested, PLAIN, SPELL);
    expect(rested.listInRest()).to.deep.equal([]);
    expect(countServed(calls)).to.equal(calls.length);
  });

  it('get nothing in it as the first of a chain, and another engine with their layers serves all callers', async () => {
    // Guards against the same for models, where callers were refused with the server's delay beside an idle engine.
    const rested = await createRestBed(['i1']);
    rested.bed.addEngine('f0', { first: 0, end: 2 });
    rested.turnsAway.add('e0');
    await rested.bed.timers.advanceToAsync(rested.bed.timers.now() + 1000);
    const calls = await send(rested, MODEL, SPELL);
    expect(rested.listInRest()).to.deep.equal([]);
    expect(countServed(calls)).to.equal(calls.length);
  });

  [PLAIN, MODEL].forEach((path) => {
    it(`leave callers of ${path} told at once when to come back where all of them rest`, async () => {
      // Guards against callers that are held, or sent to a server that wants nothing, and then told too late or nothing useful.
      const rested = await createRestBed(['i1']);
      ['p1', 'p2', 'e0'].forEach((server) => rested.turnsAway.add(server));
      await send(rested, path, 500);
      const from = rested.bed.timers.now();
      rested.bed.submit('i1', path, TIME_LEFT);
      rested.bed.submit('i1', path, TIME_LEFT);
      await rested.bed.timers.advanceToAsync(from + 300);
      const call = rested.bed.submit('i1', path, TIME_LEFT);
      await rested.bed.timers.advanceToAsync(rested.bed.timers.now() + TIME_LEFT);
      const [refusedAt = Infinity] = call.refusedAt;
      const [refusal] = call.refusals;
      expect(refusedAt - call.at).to.be.at.most(AT_ONCE);
      expect(refusal?.status).to.equal(503);
      expect(refusal?.retryAfter).to.be.within(REST - 1000, REST + 1000);
    });
  });

  it('get nothing through a peer from an instance that was answered through it', async () => {
    // Guards against the way round: the server asked the peer for rest, on a request of this instance.
    const rested = await createRestBed(['i1', 'i2', 'i3']);
    rested.bed.store.remove(`${BACKENDS}p2`);
    rested.turnsAway.add('p1');
    rested.cut.add('i1');
    await send(rested, PLAIN, 2500);
    const [first] = rested.asked;
    const later = rested.reached.filter(
      ({ at }) => at > (first?.at ?? 0) + 500 && at < (first?.at ?? 0) + REST,
    );
    expect(rested.asked.length).to.be.at.least(1);
    expect(later).to.deep.equal([]);
  });

  it('get no health check in it', async () => {
    // Guards against checks of a server that refused, which count as requests and make it look as if it left.
    const rested = await createRestBed(['i1']);
    rested.turnsAway.add('e0');
    await send(rested, MODEL, REST);
    const probes = rested.bed.probes.map(({ by, engine, at }) => ({ by, server: engine, at }));
    expect(rested.asked.length).to.be.at.least(1);
    const before = rested.reached.length;
    expect(rested.listInRest(probes).length).to.equal(0);
    expect(rested.reached.length).to.equal(before);
  });

  it('get requests at once under the id of their next incarnation', async () => {
    const rested = await createRestBed(['i1']);
    rested.bed.store.remove(`${BACKENDS}p2`);
    rested.turnsAway.add('p1');
    await send(rested, PLAIN, 100);
    rested.bed.store.remove(`${BACKENDS}p1`);
    rested.bed.addServer('p1-reborn');
    await rested.bed.timers.advanceToAsync(rested.bed.timers.now() + 200);
    const call = rested.bed.submit('i1', PLAIN, TIME_LEFT);
    await rested.bed.timers.advanceToAsync(rested.bed.timers.now() + TIME_LEFT);
    expect(call.ends.length).to.equal(1);
  });

  /** An instance may repeat nothing in its first window of the retry budget. */
  const FIRST_WINDOW: Millis = 12_000;

  [PLAIN, MODEL].forEach((path) => {
    it(`cost no caller of ${path} an answer where the instance may repeat and another server is idle`, async () => {
      // Guards against callers that are refused with a server's own delay beside an idle one.
      const rested = await createRestBed(['i1'], FIRST_WINDOW);
      rested.bed.addEngine('f0', { first: 0, end: 2 });
      ['p1', 'e0'].forEach((server) => rested.turnsAway.add(server));
      await rested.bed.timers.advanceToAsync(rested.bed.timers.now() + 1000);
      const calls = await send(rested, path, SPELL);
      expect(rested.asked.length).to.be.at.least(1);
      expect(rested.listInRest()).to.deep.equal([]);
      expect(countServed(calls)).to.equal(calls.length);
    });
  });
});
