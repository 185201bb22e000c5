import { expect } from 'chai';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createAdmission } from '../../RequestAdmission.js';
import { DEFAULT_LIMIT_CONFIG } from '../../RequestLimits.js';

const DURATION = 1000;
const SLOTS = 20;

interface SentRequest {
  readonly team: string;
  readonly priority?: PriorityName;
  readonly timeout?: Millis;
}

/** Creates admission for simulated engines that run `SLOTS` requests of one second each at a time. */
function createSimulation(queueLimit = 1000) {
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

  function send({ team, priority = 'normal', timeout = 3000 }: SentRequest): void {
    count += 1;
    const id = `r${count}`;
    const sentAt = timers.now();
    const deadline = sentAt + timeout;
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

  function sendEvery(period: Millis, ask: SentRequest): void {
    timers.registerInterval(period, () => send(ask));
  }
  return { timers, admission, send, sendEvery, done, refused, refusals };
}

describe('RequestAdmission', () => {
  it('keeps goodput at three times the capacity within 5% of goodput at the capacity', () => {
    // Guards against queueing requests that will have passed their deadlines by the time they run.
    const atBound = createSimulation();
    atBound.sendEvery(DURATION / SLOTS, { team: 't' });
    atBound.timers.advanceTo(60_000);
    const over = createSimulation();
    over.sendEvery(DURATION / SLOTS / 3, { team: 't' });
    over.timers.advanceTo(60_000);
    const ratio = (over.done['t normal'] ?? 0) / (atBound.done['t normal'] ?? 0);
    expect(ratio).to.be.within(0.95, 1.05);
  });

  it('refuses early, and with a retry delay, requests that cannot meet their deadline', () => {
    // Guards against refusing a request only at its deadline although it never had a chance to run.
    const simulation = createSimulation();
    simulation.sendEvery(DURATION / SLOTS / 3, { team: 't' });
    simulation.timers.advanceTo(10_000);
    const late = simulation.refusals.slice(-100);
    expect(late.every(({ retryAfter }) => retryAfter >= 250)).to.equal(true);
    const atOnce = late.filter(({ wait }) => wait === 0).length;
    expect(atOnce).to.be.at.least(60);
    expect(Math.max(...late.map(({ wait }) => wait))).to.be.at.most(3000 - DURATION + 100);
  });

  it('isolates the share of a team from the flood of another', () => {
    // Guards against a flood from one team that makes the requests of all other teams time out.
    const simulation = createSimulation();
    simulation.sendEvery(DURATION / SLOTS / 10, { team: 'flood', timeout: 8000 });
    simulation.timers.advanceTo(5000);
    simulation.sendEvery((DURATION / SLOTS) * 2.5, { team: 'calm' });
    simulation.timers.advanceTo(35_000);
    const sent = Math.floor(30_000 / ((DURATION / SLOTS) * 2.5));
    expect(simulation.refused['calm normal'] ?? 0).to.equal(0);
    expect(simulation.done['calm normal']).to.be.at.least(sent - 25);
    const total = (simulation.done['calm normal'] ?? 0) + (simulation.done['flood normal'] ?? 0);
    expect(total).to.be.at.least(0.95 * SLOTS * 34);
  });

  it('evicts lower priorities first when the queue is full', () => {
    // Guards against urgent requests that wait behind a full queue of lower priorities.
    const simulation = createSimulation(10);
    for (let i = 0; i < SLOTS + 10; i++) {
      simulation.send({ team: 't', priority: 'low' });
    }
    for (let i = 0; i < 5; i++) {
      simulation.send({ team: 't', priority: 'urgent' });
    }
    expect([simulation.refused['t low'], simulation.refused['t urgent']]).to.deep.equal([
      5,
      undefined,
    ]);
    simulation.timers.advanceTo(3000);
    expect(simulation.done['t urgent']).to.equal(5);
  });

  it('limits admission by KV memory, but always admits one request', () => {
    // Guards against admission by slots alone, which lets requests evict each other from the KV cache.
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

  it('lowers the limit while tokens are late, and raises it again', () => {
    // Guards against a fixed limit: after the loss of half the engines, all answers would be late and none refused.
    const simulation = createSimulation();
    const before = simulation.admission.getLimit();
    simulation.timers.registerInterval(20, () => {
      const isOverloaded = simulation.timers.now() > 1000 && simulation.timers.now() < 5000;
      simulation.admission.noteGap(isOverloaded ? 160 : 30);
    });
    simulation.timers.advanceTo(5000);
    const lowered = simulation.admission.getLimit();
    expect(lowered).to.be.below(before / 2);
    simulation.sendEvery(20, { team: 't' });
    simulation.timers.advanceTo(20_000);
    expect(simulation.admission.getLimit()).to.be.above(lowered * 2);
  });
});
