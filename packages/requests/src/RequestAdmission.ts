/**
 * Decides when a request may run: fair queue, concurrency limit, KV memory and deadlines. A request that
 * cannot be answered in time is refused at once, with the time after which a resend makes sense; one
 * that is queued to die would take its caller's time and, in the end, the engines'.
 */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { getPriorityRank } from '@skylarksail/core/CoreConstants';
import type { Millis, RequestId, TeamId } from '@skylarksail/core/CoreTypes';
import type { ConcurrencyLimit, LimitConfig } from './RequestLimits.js';
import {
  adaptLimit,
  createConcurrencyLimit,
  noteFirstToken,
  noteGap,
  noteReached,
  noteRefusal,
} from './RequestLimits.js';
import type { FairQueue, QueueEntry } from './RequestQueue.js';
import { createFairQueue } from './RequestQueue.js';

/** A request that asks to run. */
export interface AdmissionRequest {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly priority: PriorityName;
  /** Work in tokens. */
  readonly cost: number;
  /** KV-cache entries that it may come to hold, in tokens. */
  readonly kvTokens: number;
  readonly deadline: Millis;
  /** How long it will take once it runs. */
  readonly duration: Millis;
}

/** What a team is entitled to. */
export interface TeamLimits {
  readonly share: number;
  readonly queueLimit: number;
}

/** How admission is set up. */
export interface AdmissionConfig {
  readonly limits: LimitConfig;
  /** Requests of all teams that may wait. */
  readonly queueBound: number;
  readonly getTeamLimits: (team: TeamId) => TeamLimits;
  /** KV-cache memory that this instance may count on, in tokens; null if not known. */
  readonly getKvCapacity: () => number | null;
}

/** Hears what becomes of a request that waits: exactly one of the two, once. */
export interface AdmissionListener {
  readonly onAdmitted: () => void;
  /** It did not run. `retryAfter` is when its team may expect a place. */
  readonly onRefused: (retryAfter: Millis) => void;
}

/** The gate before the engines. */
export interface Admission {
  /** Wait until a resend makes sense if the request must be refused now, else null. Changes nothing. */
  check(ask: AdmissionRequest, now: Millis): Millis | null;
  enqueue(ask: AdmissionRequest, listener: AdmissionListener, now: Millis): void;
  /** Gives up waiting, or gives back the place of one that ran. */
  release(id: RequestId, now: Millis): void;
  /** Refuses what can no longer be answered in time, adapts the limit, and admits what it allows. */
  sweep(now: Millis): void;
  noteGap(gap: Millis): void;
  noteFirstToken(wait: Millis): void;
  noteRefusal(): void;
  getLimit(): number;
  countWaiting(): number;
  countRunning(): number;
}

interface Waiting {
  readonly ask: AdmissionRequest;
  readonly listener: AdmissionListener;
}

const LEAST_RETRY: Millis = 250;
const MOST_RETRY: Millis = 30_000;
const RATE_WINDOW: Millis = 1000;
const RATE_WEIGHT = 0.3;

/** Creates a gate with nothing behind it. */
export function createAdmission(cfg: AdmissionConfig, start: Millis): Admission {
  const queue: FairQueue = createFairQueue({ total: cfg.queueBound });
  const waiting = new Map<RequestId, Waiting>();
  const running = new Map<RequestId, AdmissionRequest>();
  let limit: ConcurrencyLimit = createConcurrencyLimit(cfg.limits, start);
  let kvInUse = 0;
  /** Work finished per millisecond; null before the first window that finished any. */
  let rate: number | null = null;
  let finishedCost = 0;
  let rateStart = start;

  function fits(entry: QueueEntry): boolean {
    if (running.size >= Math.floor(limit.limit)) {
      limit = noteReached(limit);
      return false;
    }
    const capacity = cfg.getKvCapacity();
    const wanted = waiting.get(entry.id)?.ask.kvTokens ?? 0;
    // One request may always run, or one that is larger than the estimate would wait for ever.
    return capacity === null || running.size === 0 || kvInUse + wanted <= capacity;
  }

  function admit(now: Millis): void {
    for (let entry = queue.pop(fits); entry; entry = queue.pop(fits)) {
      const found = waiting.get(entry.id);
      if (found && isHopeless(found.ask, now)) {
        refuse(entry.id, now);
        continue;
      }
      waiting.delete(entry.id);
      if (found) {
        running.set(entry.id, found.ask);
        kvInUse += found.ask.kvTokens;
        found.listener.onAdmitted();
      }
    }
  }

  function refuse(id: RequestId, now: Millis): void {
    const found = waiting.get(id);
    waiting.delete(id);
    queue.remove(id);
    found?.listener.onRefused(computeRetryAfter(estimateWait(found.ask), now));
  }

  /** Even if it ran now it would end too late: running it would take a place for nothing. */
  function isHopeless(ask: AdmissionRequest, now: Millis): boolean {
    return now + ask.duration > ask.deadline;
  }

  function computeRetryAfter(wait: Millis, now: Millis): Millis {
    const untilSweep = Math.max(0, rateStart + RATE_WINDOW - now);
    return Math.min(MOST_RETRY, Math.max(LEAST_RETRY, wait, untilSweep));
  }

  function estimateWait(ask: AdmissionRequest): Millis {
    const { share } = cfg.getTeamLimits(ask.team);
    const isFree = queue.size() === 0 && running.size < Math.floor(limit.limit);
    if (isFree || rate === null || rate === 0) {
      return 0;
    }
    return queue.getWorkAhead(ask.team, share, getPriorityRank(ask.priority)) / rate;
  }

  function noteRate(now: Millis): void {
    const elapsed = now - rateStart;
    if (elapsed < RATE_WINDOW) {
      return;
    }
    const seen = finishedCost / elapsed;
    // Idle windows say nothing of what the engines can do.
    if (seen > 0 && (limit.reached || queue.size() > 0 || rate === null)) {
      rate = rate === null ? seen : rate + RATE_WEIGHT * (seen - rate);
    }
    finishedCost = 0;
    rateStart = now;
  }

  return {
    check(ask, now) {
      const wait = estimateWait(ask);
      return now + wait + ask.duration > ask.deadline ? computeRetryAfter(wait, now) : null;
    },
    enqueue(ask, listener, now) {
      const team = cfg.getTeamLimits(ask.team);
      const entry: QueueEntry = {
        id: ask.id,
        team: ask.team,
        share: team.share,
        rank: getPriorityRank(ask.priority),
        cost: ask.cost,
      };
      // A team that may not queue at all may still run while there is room.
      const hasRoom = queue.size() === 0 && running.size < Math.floor(limit.limit);
      const outcome = queue.push(entry, hasRoom ? Infinity : team.queueLimit);
      if (outcome.kind === 'full') {
        listener.onRefused(computeRetryAfter(estimateWait(ask), now));
        return;
      }
      waiting.set(ask.id, { ask, listener });
      if (outcome.kind === 'displaced') {
        refuse(outcome.evicted.id, now);
      }
      admit(now);
    },
    release(id, now) {
      const ask = running.get(id);
      if (ask) {
        running.delete(id);
        kvInUse -= ask.kvTokens;
        finishedCost += ask.cost;
        noteRate(now);
      } else if (waiting.delete(id)) {
        queue.remove(id);
      }
      admit(now);
    },
    sweep(now) {
      noteRate(now);
      limit = adaptLimit(limit, cfg.limits, now);
      for (const { ask } of [...waiting.values()]) {
        if (isHopeless(ask, now)) {
          refuse(ask.id, now);
        }
      }
      admit(now);
    },
    noteGap(gap) {
      limit = noteGap(limit, cfg.limits, gap);
    },
    noteFirstToken(wait) {
      limit = noteFirstToken(limit, cfg.limits, wait);
    },
    noteRefusal() {
      limit = noteRefusal(limit);
    },
    getLimit: () => Math.floor(limit.limit),
    countWaiting: () => waiting.size,
    countRunning: () => running.size,
  };
}
