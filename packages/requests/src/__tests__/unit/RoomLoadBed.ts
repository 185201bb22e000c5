/**
 * A fleet under load in virtual time: 60 instances in 3 domains with 5 chains each, which instances know by reports. A chain
 * whose memory runs out preempts its newest requests and prefills them again. The choice of chains never refuses.
 */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { decideByRoom } from '../../RequestRoom.js';
import { createRouterPriorities } from '../../RouterPriorities.js';

/** Callers' requests per second, and how soon a response is to start. */
const KINDS = [
  { priority: 'urgent', rate: 77, target: 501 },
  { priority: 'high', rate: 106, target: 501 },
  { priority: 'normal', rate: 37, target: 1001 },
] as const;
/** The least important kind arrives at four times its rate for nine seconds. */
const BURST = { from: 8000, to: 17_000, factor: 4 };
const INSTANCES = 60;
const DOMAINS = 3;
const CHAINS_PER_DOMAIN = 5;
/** Time of a decode step; a step that also prefills takes twice as long. */
const STEP: Millis = 20;
const PREFILL_PER_STEP = 340;
const CAPACITY = 115_000;
const USUAL_ANSWER = 200;
const REPORT_PERIOD: Millis = 200;
/** Callers leave after this time without an event. */
const CALLER_PATIENCE: Millis = 2000;
const DEADLINE: Millis = 20_000;
/** Silence before the first token after which an attempt is closed: with memory not counted, and with it. */
const CLOSE_AFTER = { off: 350, on: 1700 };
/** Silence after which a response that has begun is moved to another chain. */
const MOVE_AFTER: Millis = 500;

interface Call {
  readonly kind: number;
  readonly instance: number;
  readonly prompt: number;
  readonly answer: number;
  readonly submittedAt: Millis;
  readonly isRetry: boolean;
  chain: number;
  attempt: number;
  openedAt: Millis;
  /** Tokens that are not prefilled yet; after a preemption also those of the response so far. */
  unread: number;
  produced: number;
  firstAt: Millis;
  lastAt: Millis;
  isInTime: boolean;
}

interface Chain {
  waiting: Call[];
  running: Call[];
}

const getSize = (call: Call): number => call.prompt + call.produced;
const getMemory = (calls: readonly Call[]): number =>
  calls.reduce((sum, call) => sum + getSize(call), 0);

/** Share of the first attempts of a kind that were served in time, by the time of their arrival. */
export type ServedShares = (priority: PriorityName, from: Millis, to: Millis) => number;

export function simulateBurst(isOn: boolean, seed: number, end: Millis = 42_000): ServedShares {
  const random = createRandom(seed);
  const chains: Chain[] = Array.from({ length: DOMAINS * CHAINS_PER_DOMAIN }, () => ({
    waiting: [],
    running: [],
  }));
  const own = Array.from({ length: INSTANCES }, () => chains.map(() => 0));
  const priorities = own.map(() => createRouterPriorities());
  const pending: { at: Millis; call: Call }[] = [];
  const arrived: Call[] = [];
  let told = { own: own.map((row) => [...row]), sums: chains.map(() => 0) };
  let newer = told;
  const timers = createVirtualTimers();
  let now = 0;

  /** Tokens on a chain as an instance knows them: its own exactly, others' by a report of 200 to 400 ms age. */
  const getUsed = (instance: number, chain: number): number =>
    (told.sums[chain] ?? 0) - (told.own[instance]?.[chain] ?? 0) + (own[instance]?.[chain] ?? 0);

  function changeWork(call: Call, sign: number): void {
    const row = own[call.instance] ?? [];
    row[call.chain] = (row[call.chain] ?? 0) + sign * (call.prompt + USUAL_ANSWER);
  }

  function open(call: Call): void {
    const first = (call.instance % DOMAINS) * CHAINS_PER_DOMAIN;
    const [a, b] = [0, 1].map(() => first + random.nextInt(CHAINS_PER_DOMAIN)) as [number, number];
    const chain = getUsed(call.instance, a) <= getUsed(call.instance, b) ? a : b;
    Object.assign(call, { chain, openedAt: now, unread: getSize(call) });
    changeWork(call, 1);
    chains[chain]?.waiting.push(call);
  }

  function findRetryDelay(call: Call): Millis | null {
    const first = (call.instance % DOMAINS) * CHAINS_PER_DOMAIN;
    const used = chains.slice(first, first + CHAINS_PER_DOMAIN);
    const sum = used.reduce((total, _, i) => total + getUsed(call.instance, first + i), 0);
    const priority = KINDS[call.kind]?.priority ?? 'normal';
    const seen = priorities[call.instance];
    seen?.noteRequest('m', priority, now);
    const decision = decideByRoom(
      { share: sum / (CHAINS_PER_DOMAIN * CAPACITY), age: REPORT_PERIOD, teamShare: 0 },
      {
        priority,
        higherPriorities: seen?.countHigher('m', priority, now) ?? 0,
        timeLeft: DEADLINE - (now - call.submittedAt),
      },
      random.nextFloat,
    );
    return decision.kind === 'refused' ? decision.retryAfter : null;
  }

  function submit(call: Call): void {
    const retryAfter = isOn ? findRetryDelay(call) : null;
    if (retryAfter === null) {
      open(call);
    } else {
      retry(call, retryAfter);
    }
  }

  function retry(call: Call, delay: Millis): void {
    if (!call.isRetry) {
      const again = { ...call, instance: random.nextInt(INSTANCES), isRetry: true, attempt: 1 };
      pending.push({
        at: now + delay,
        call: { ...again, produced: 0, firstAt: 0, lastAt: now + delay },
      });
    }
  }

  function remove(call: Call): void {
    const chain = chains[call.chain];
    if (chain) {
      chain.waiting = chain.waiting.filter((other) => other !== call);
      chain.running = chain.running.filter((other) => other !== call);
    }
    changeWork(call, -1);
  }

  /** Closes silent attempts, of which a call has two, and calls whose callers leave. */
  function checkSilence(call: Call): void {
    const hasBegun = call.firstAt > 0;
    const limit = hasBegun ? MOVE_AFTER : CLOSE_AFTER[isOn ? 'on' : 'off'];
    const isClosed = now - Math.max(call.openedAt, call.lastAt) > limit;
    if (isClosed && call.attempt === 1 && (hasBegun || !isOn)) {
      remove(call);
      Object.assign(call, { attempt: 2 });
      open(call);
    } else if ((isClosed && !hasBegun) || now - call.lastAt > CALLER_PATIENCE) {
      remove(call);
      retry(call, 0);
    }
  }

  function step(chain: Chain): void {
    let used = getMemory(chain.running);
    while (used > CAPACITY) {
      const newest = chain.running.pop();
      if (newest) {
        used -= getSize(newest);
        newest.unread = getSize(newest);
        chain.waiting.unshift(newest);
      }
    }
    while (chain.waiting[0] && used + getSize(chain.waiting[0]) <= CAPACITY) {
      const next = chain.waiting.shift() as Call;
      used += getSize(next);
      chain.running.push(next);
    }
    let budget = PREFILL_PER_STEP;
    for (const call of chain.running.filter(({ unread }) => unread > 0)) {
      const read = Math.min(budget, call.unread);
      call.unread -= read;
      budget -= read;
    }
    const progress = budget < PREFILL_PER_STEP ? 1 / 2 : 1;
    chain.running.filter(({ unread }) => unread <= 0).forEach((call) => decode(call, progress));
  }

  function decode(call: Call, progress: number): void {
    const produced = call.produced + progress;
    Object.assign(call, { produced, lastAt: now, firstAt: call.firstAt || now });
    if (call.produced >= call.answer) {
      remove(call);
      const target = KINDS[call.kind]?.target ?? 0;
      Object.assign(call, { isInTime: call.firstAt - call.submittedAt <= target });
    }
  }

  function arrive(kind: number): void {
    const call: Call = {
      kind,
      instance: random.nextInt(INSTANCES),
      prompt: 400 + random.nextInt(800),
      answer: 100 + random.nextInt(200),
      submittedAt: now,
      isRetry: false,
      chain: 0,
      attempt: 1,
      openedAt: now,
      unread: 0,
      produced: 0,
      firstAt: 0,
      lastAt: now,
      isInTime: false,
    };
    arrived.push(call);
    submit(call);
  }

  function tick(): void {
    now = timers.now();
    if (now % REPORT_PERIOD === 0) {
      told = newer;
      newer = {
        own: own.map((row) => [...row]),
        sums: chains.map((_, i) => own.reduce((sum, row) => sum + (row[i] ?? 0), 0)),
      };
    }
    KINDS.forEach(({ rate }, kind) => {
      const isBurst = kind === 2 && now >= BURST.from && now < BURST.to;
      const mean = (rate * (isBurst ? BURST.factor : 1) * STEP) / 1000;
      const count = Math.floor(mean + random.nextFloat());
      Array.from({ length: count }, () => arrive(kind));
    });
    pending.filter(({ at }) => at >= now && at < now + STEP).forEach(({ call }) => submit(call));
    chains.forEach((chain) => {
      [...chain.waiting, ...chain.running].forEach(checkSilence);
      step(chain);
    });
  }

  timers.registerInterval(STEP, tick);
  timers.advanceTo(end);
  return (priority, from, to) => {
    const kind = KINDS.findIndex((other) => other.priority === priority);
    const asked = arrived.filter(
      (call) => call.kind === kind && call.submittedAt >= from && call.submittedAt < to,
    );
    return asked.filter(({ isInTime }) => isInTime).length / Math.max(1, asked.length);
  };
}
