import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Catalogue } from '../../RelayCatalogue.js';
import { createCatalogue, LAPSED_ENTRY_GRACE } from '../../RelayCatalogue.js';
import { createIncarnationId } from '../../RelayIncarnations.js';
import type { BackendEntry } from '../../RelayTypes.js';
import { createBackend } from './RelayFixtures.js';

/** What may happen to server `a` and to the store in one step of a forced order. */
const Step = {
  Lost: 'lost',
  Regained: 'regained',
  Remove: 'remove',
  Put: 'put',
  Observe: 'observe',
  PeerNews: 'peer-news',
  Nothing: 'nothing',
} as const;
type StepName = (typeof Step)[keyof typeof Step];

/** No multiple of it is a grace period, so no two things are due at once. */
const STEP_TIME: Millis = 700;

interface TimedStep {
  readonly step: StepName;
  readonly at: Millis;
}

/** Lists all orders of a number of steps, each followed by time enough for two grace periods. */
function listOrders(steps: readonly StepName[], length: number): readonly (readonly TimedStep[])[] {
  let orders: readonly (readonly StepName[])[] = [[]];
  for (let i = 0; i < length; i += 1) {
    orders = orders.flatMap((order) => steps.map((step) => [...order, step]));
  }
  const rest = Array.from({ length: 6 }, () => Step.Nothing);
  return orders.map((order) => [...order, ...rest].map((step, i) => ({ step, at: i * STEP_TIME })));
}

function applyStep(catalogue: Catalogue, step: StepName): void {
  switch (step) {
    case Step.Lost:
      catalogue.noteStoreLost();
      break;
    case Step.Regained:
      catalogue.noteStoreRegained();
      break;
    case Step.Remove:
      catalogue.remove('a');
      break;
    case Step.Put:
      catalogue.put(createBackend('a'));
      break;
    case Step.PeerNews:
      catalogue.notePeerNews();
      break;
    case Step.Observe:
      catalogue.observe(createBackend('a', { state: 'leaving' }));
      break;
    default:
  }
}

function describeOrder(past: readonly TimedStep[]): string {
  return past.map(({ step }) => step).join(', ');
}

/** Whether a grace period that no later loss or recovery cuts ends between two times. */
function hasGraceEnd(past: readonly TimedStep[], from: Millis, to: Millis): boolean {
  const changes = past.filter(({ step }) => step === Step.Lost || step === Step.Regained);
  return changes.some(({ step, at }, i) => {
    const end = at + LAPSED_ENTRY_GRACE;
    const isCut = (changes[i + 1]?.at ?? Infinity) < end;
    return step === Step.Regained && !isCut && end > from && end <= to;
  });
}

/** Whether a server without an entry since `from` was removed on peers' news, given in each step for a grace period. */
function hasPeerGraceEnd(past: readonly TimedStep[], from: Millis): boolean {
  let isLost = false;
  let since = Infinity;
  return past.some(({ step, at }) => {
    if (step === Step.Lost || step === Step.Regained) {
      isLost = step === Step.Lost;
      since = Infinity;
    } else if (step === Step.PeerNews && isLost && at >= from) {
      since = Math.min(since, at);
      return at - since >= LAPSED_ENTRY_GRACE;
    } else if (at >= from) {
      since = Infinity;
    }
    return false;
  });
}

/** Whether the store answers, and no grace period runs, at a time. */
function isQuiet(past: readonly TimedStep[], time: Millis): boolean {
  const last = past
    .filter(({ step, at }) => at <= time && (step === Step.Lost || step === Step.Regained))
    .at(-1);
  return (
    last === undefined || (last.step === Step.Regained && time - last.at >= LAPSED_ENTRY_GRACE)
  );
}

/** An incarnation of server `a` that started at `born`. */
function createIncarnation(born: number, change: Partial<BackendEntry>): BackendEntry {
  const life = { server: 'a', born };
  return createBackend(createIncarnationId(life), { ...life, ...change });
}

describe('RelayCatalogue', () => {
  it('removes a server at once while the store is reachable', () => {
    const catalogue = createCatalogue(createVirtualTimers());
    catalogue.put(createBackend('a'));
    catalogue.remove('a');
    expect(catalogue.list()).to.deep.equal([]);
  });

  it('keeps entries that lapsed in an outage for a grace period of two seconds', () => {
    // Guards against refusing every request when the store recovers. An outage longer than the entries' leases
    // makes all entries lapse, and servers whose entries lapsed were removed at once.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    let notifications = 0;
    catalogue.registerListener(() => {
      notifications += 1;
    });
    ['a', 'b'].forEach((id) => catalogue.put(createBackend(id)));
    timers.advanceTo(9000);
    catalogue.noteStoreRegained();
    ['a', 'b'].forEach((id) => catalogue.remove(id));
    expect(catalogue.list()).to.have.length(2);
    timers.advanceTo(9000 + LAPSED_ENTRY_GRACE / 2);
    catalogue.put(createBackend('b'));
    const before = notifications;
    timers.advanceTo(9000 + LAPSED_ENTRY_GRACE + 1);
    expect(catalogue.list().map(({ id }) => id)).to.deep.equal(['b']);
    expect(notifications).to.equal(before + 1);
  });

  it('keeps observations for the whole grace period of a second recovery of the store', () => {
    // Guards against a grace period that the timer of a recovery two seconds earlier cuts short.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    catalogue.put(createBackend('a'));
    catalogue.observe(createBackend('a', { state: 'leaving' }));
    catalogue.noteStoreRegained();
    timers.advanceTo(LAPSED_ENTRY_GRACE - 100);
    catalogue.noteStoreRegained();
    timers.advanceTo(2 * LAPSED_ENTRY_GRACE - 200);
    expect(catalogue.listObserved()).to.have.length(1);
    timers.advanceTo(2 * LAPSED_ENTRY_GRACE);
    expect(catalogue.listObserved()).to.deep.equal([]);
  });

  it('removes a server in no order of losses and recoveries before the last grace period ends', () => {
    // Guards against refusals while all servers live: a removal that the grace period of an earlier recovery delays is
    // carried out in a later outage or in the grace period after it.
    for (const order of listOrders(
      [Step.Lost, Step.Regained, Step.Remove, Step.Put, Step.PeerNews],
      6,
    )) {
      const timers = createVirtualTimers();
      const catalogue = createCatalogue(timers);
      catalogue.put(createBackend('a'));
      let removedAt: Millis | null = null;
      let isGone = false;
      order.forEach(({ step, at }, i) => {
        timers.advanceTo(at);
        applyStep(catalogue, step);
        timers.advanceTo(at + STEP_TIME - 1);
        const past = order.slice(0, i + 1);
        const now = timers.now();
        if (step === Step.Put) {
          removedAt = null;
          isGone = false;
        } else if (step === Step.Remove && !isGone) {
          removedAt ??= at;
        }
        isGone ||=
          removedAt !== null &&
          (isQuiet(past, removedAt) ||
            hasGraceEnd(past, removedAt, now) ||
            hasPeerGraceEnd(past, removedAt));
        expect(catalogue.list().length, describeOrder(past)).to.equal(isGone ? 0 : 1);
      });
    }
  });

  it('clears observations in no order of losses and recoveries before the last grace period ends', () => {
    // Guards against calls to dead engines in an outage: the timer of the recovery before clears what was observed in it.
    for (const order of listOrders([Step.Lost, Step.Regained, Step.Observe, Step.Put], 6)) {
      const timers = createVirtualTimers();
      const catalogue = createCatalogue(timers);
      catalogue.put(createBackend('a'));
      let observedAt: Millis | null = null;
      order.forEach(({ step, at }, i) => {
        timers.advanceTo(at);
        applyStep(catalogue, step);
        timers.advanceTo(at + STEP_TIME - 1);
        const past = order.slice(0, i + 1);
        if (step === Step.Observe) {
          observedAt ??= at;
        }
        if (
          step === Step.Put ||
          (observedAt !== null && hasGraceEnd(past, observedAt, timers.now()))
        ) {
          observedAt = null;
        }
        expect(catalogue.listObserved().length, describeOrder(past)).to.equal(
          observedAt === null ? 0 : 1,
        );
      });
    }
  });

  it('treats a restarted server as a new one and ignores delayed updates of its earlier incarnation', () => {
    // Guards against sending requests to layers that a restarted engine no longer holds, which it refuses until its
    // layers are placed again. The engine restarts under the same name; then a delayed entry of its earlier
    // incarnation, a peer's observation of it or its removal arrives. State that is keyed by name alone would restore
    // the earlier incarnation's layers.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    const earlier = createIncarnation(1000, { layers: { first: 0, end: 2 } });
    const later = createIncarnation(2000, { layers: null });
    catalogue.put(earlier);
    catalogue.put(later);
    expect(catalogue.get(earlier.id)).to.equal(null);
    expect(catalogue.list()).to.deep.equal([later]);
    catalogue.put(earlier);
    catalogue.observe({ ...earlier, state: 'leaving' });
    expect(catalogue.list()).to.deep.equal([later]);
    const latest = createIncarnation(3000, { layers: null });
    catalogue.observe(latest);
    catalogue.put(later);
    expect(catalogue.list()).to.deep.equal([latest]);
    catalogue.remove('a');
    expect(catalogue.list()).to.deep.equal([]);
  });

  it('removes a server at once if its entry cannot be parsed, even within the grace period', () => {
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    ['a', 'b'].forEach((id) => catalogue.put(createBackend(id)));
    catalogue.observe(createBackend('a', { state: 'leaving' }));
    catalogue.noteStoreRegained();
    catalogue.drop('a');
    expect(catalogue.list().map(({ id }) => id)).to.deep.equal(['b']);
    catalogue.put(createBackend('a'));
    expect(catalogue.list()).to.have.length(2);
  });

  it('omits servers of a service until the service is in use', () => {
    let isServed = false;
    const catalogue = createCatalogue(createVirtualTimers(), () => isServed);
    catalogue.put(createBackend('a'));
    expect([catalogue.list().length, catalogue.get('a')]).to.deep.equal([0, null]);
    isServed = true;
    expect(catalogue.get('a')).to.include({ id: 'a' });
  });

  it('keeps an observation until the store has a new entry or the grace period ends', () => {
    // Guards against two failures after an outage: a healthy engine gets no work, or requests go to an engine for
    // layers that it has released. An instance observes directly that engines leave or change layers, and then the
    // store recovers. Observations must be cleared then, but not before the servers have written their entries again.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    ['a', 'b'].forEach((id) => catalogue.put(createBackend(id)));
    ['a', 'b'].forEach((id) => catalogue.observe(createBackend(id, { state: 'leaving' })));
    catalogue.observe(createBackend('new'));
    expect(catalogue.list().map(({ id, state }) => `${id} ${state}`)).to.deep.equal([
      'a leaving',
      'b leaving',
      'new live',
    ]);
    catalogue.noteStoreRegained();
    catalogue.put(createBackend('a', { layers: { first: 0, end: 2 } }));
    expect(catalogue.get('a')).to.include({ state: 'live' });
    expect(catalogue.get('b')).to.include({ state: 'leaving' });
    timers.advanceTo(LAPSED_ENTRY_GRACE + 1);
    expect(catalogue.get('b')).to.include({ state: 'live' });
    expect(catalogue.get('new')).to.equal(null);
  });
});
