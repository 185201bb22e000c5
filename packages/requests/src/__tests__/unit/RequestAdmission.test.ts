import { expect } from 'chai';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createAdmission } from '../../RequestAdmission.js';
import { DEFAULT_LIMIT_CONFIG } from '../../RequestLimits.js';

const DURATION = 1000;
const SLOTS = 20;

interface Ask {
  readonly team: string;
  readonly priority?: PriorityName;
  readonly patience?: Millis;
}

/** A gate before engines that run `SLOTS` requests of one second each at the same time. */
function createGate(queueLimit = 1000) {
  const timers = createVirtualTimers();
  const limits = { ...DEFAULT_LIMIT_CONFIG, initial: SLOTS, most: SLOTS };
  const admission = createAdmission(
    {
      limits,
      queueBound: 2000,
      getTeamLimits: () => ({ share: 1, queueLimit }),
      getKvCapacity: () => null,
    },
    0,
  );
  const done: Record<string, number> = {};
  const refused: Record<string, number> = {};
  const refusals: { readonly wait: Millis; readonly retryAfter: Millis }[] = [];
  let count = 0;
  timers.registerInterval(100, () => admission.sweep(timers.now()));

  function send({ team, priority = 'normal', patience = 3000 }: Ask): void {
    count += 1;
    const id = `r${count}`;
    const sentAt = timers.now();
    const deadline = sentAt + patience;
    const ask = { id, team, priority, cost: 100, kvTokens: 0, deadline, duration: DURATION };
    const name = `${team} ${priority}`;
    function refuse(retryAfter: Millis): void {
      refused[name] = (refused[name] ?? 0) + 1;
      refusals.push({ wait: timers.now() - sentAt, retryAfter });
    }
    const retryAfter = admission.check(ask, sentAt);
    if (retryAfter !== null) {
      refuse(retryAfter);
      return;
    }
    const onAdmitted = (): void => {
      timers.registerTimeout(DURATION, () => {
        done[name] = (done[name] ?? 0) + (timers.now() <= deadline ? 1 : 0);
        admission.release(id, timers.now());
      });
    };
    admission.enqueue(ask, { onAdmitted, onRefused: refuse }, sentAt);
  }

  function sendEvery(period: Millis, ask: Ask): void {
    timers.registerInterval(period, () => send(ask));
  }
  return { timers, admission, send, sendEvery, done, refused, refusals };
}

describe('RequestAdmission', () => {
  it('keeps goodput at three times the bound within 5% of goodput at the bound', () => {
    // Guards against a queue of requests that will be past their deadlines once they run.
    const atBound = createGate();
    atBound.sendEvery(DURATION / SLOTS, { team: 't' });
    atBound.timers.advanceTo(60_000);
    const over = createGate();
    over.sendEvery(DURATION / SLOTS / 3, { team: 't' });
    over.timers.advanceTo(60_000);
    const ratio = (over.done['t normal'] ?? 0) / (atBound.done['t normal'] ?? 0);
    expect(ratio).to.be.within(0.95, 1.05);
  });

  it('answers at once whom it gives up on, with a time to come back', () => {
    // Guards against a caller that waits out its deadline to hear that it was never going to run.
    const gate = createGate();
    gate.sendEvery(DURATION / SLOTS / 3, { team: 't' });
    gate.timers.advanceTo(10_000);
    const late = gate.refusals.slice(-100);
    expect(late.every(({ retryAfter }) => retryAfter >= 250)).to.equal(true);
    const atOnce = late.filter(({ wait }) => wait === 0).length;
    expect(atOnce).to.be.at.least(60);
    expect(Math.max(...late.map(({ wait }) => wait))).to.be.at.most(3000 - DURATION + 100);
  });

  it('lets a flooding team take nothing from the share of another', () => {
    // Guards against one team's flood that makes the requests of all others time out.
    const gate = createGate();
    gate.sendEvery(DURATION / SLOTS / 10, { team: 'flood', patience: 8000 });
    gate.timers.advanceTo(5000);
    gate.sendEvery((DURATION / SLOTS) * 2.5, { team: 'calm' });
    gate.timers.advanceTo(35_000);
    const sent = Math.floor(30_000 / ((DURATION / SLOTS) * 2.5));
    expect(gate.refused['calm normal'] ?? 0).to.equal(0);
    expect(gate.done['calm normal']).to.be.at.least(sent - 25);
    const total = (gate.done['calm normal'] ?? 0) + (gate.done['flood normal'] ?? 0);
    expect(total).to.be.at.least(0.95 * SLOTS * 34);
  });

  it('refuses the lower priority first', () => {
    // Guards against an urgent request that waits behind a full queue of lesser ones.
    const gate = createGate(10);
    for (let i = 0; i < SLOTS + 10; i++) {
      gate.send({ team: 't', priority: 'low' });
    }
    for (let i = 0; i < 5; i++) {
      gate.send({ team: 't', priority: 'urgent' });
    }
    expect([gate.refused['t low'], gate.refused['t urgent']]).to.deep.equal([5, undefined]);
    gate.timers.advanceTo(3000);
    expect(gate.done['t urgent']).to.equal(5);
  });

  it('admits no more than the KV memory holds, but always one', () => {
    // Guards against requests that are counted by slots alone, and evict each other from the KV cache.
    const running: string[] = [];
    const admission = createAdmission(
      {
        limits: DEFAULT_LIMIT_CONFIG,
        queueBound: 10,
        getTeamLimits: () => ({ share: 1, queueLimit: 10 }),
        getKvCapacity: () => 1000,
      },
      0,
    );
    const ask = (id: string, kvTokens: number): void =>
      admission.enqueue(
        { id, team: 't', priority: 'normal', cost: 1, kvTokens, deadline: 1e6, duration: 0 },
        { onAdmitted: () => running.push(id), onRefused: () => running.push(`refused ${id}`) },
        0,
      );
    ask('larger than all', 5000);
    ask('a', 600);
    expect(running).to.deep.equal(['larger than all']);
    admission.release('larger than all', 1);
    ask('b', 600);
    ask('c', 300);
    expect(running).to.deep.equal(['larger than all', 'a']);
    admission.release('a', 2);
    expect(running).to.deep.equal(['larger than all', 'a', 'b', 'c']);
  });

  it('lowers its limit while tokens come late, and raises it again', () => {
    // Guards against a limit that is set once: half of the engines are lost, every answer is late, none is refused.
    const gate = createGate();
    const before = gate.admission.getLimit();
    gate.timers.registerInterval(20, () => {
      const isCrowded = gate.timers.now() > 1000 && gate.timers.now() < 5000;
      gate.admission.noteGap(isCrowded ? 160 : 30);
    });
    gate.timers.advanceTo(5000);
    const fallen = gate.admission.getLimit();
    expect(fallen).to.be.below(before / 2);
    gate.sendEvery(20, { team: 't' });
    gate.timers.advanceTo(20_000);
    expect(gate.admission.getLimit()).to.be.above(fallen * 2);
  });
});
