/**
 * Admission control: decides when a request may run, by fair queue, concurrency limit, KV memory and
 * deadline. A request that cannot meet its deadline is refused at once with a retry delay: queueing it
 * would waste its caller's time and, once it ran, the engines' time.
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

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly priority: PriorityName;
  /** Work in tokens. */
  readonly cost: number;
  /** Maximum number of KV-cache entries it may need, in tokens. */
  readonly kvTokens: number;
  readonly deadline: Millis;
  /** Estimated run time after admission. */
  readonly duration: Millis;
}

/** Share and queue limit of a team. */
export interface TeamLimits {
  readonly share: number;
  readonly queueLimit: number;
}

export interface AdmissionConfig {
  readonly limits: LimitConfig;
  /** Maximum number of waiting requests of all teams. */
  readonly queueBound: number;
  readonly getTeamLimits: (team: TeamId) => TeamLimits;
  /** KV-cache memory available to this instance, in tokens; null if unknown. */
  readonly getKvCapacity: () => number | null;
}

/** Receives the outcome of a queued request: at most one call, none if it is removed while waiting. */
export interface AdmissionListener {
  readonly onAdmitted: () => void;
  /** The request did not run; `retryAfter` is the estimated time until its team gets a slot. */
  readonly onRefused: (retryAfter: Millis) => void;
}

/** Admits requests to the engines. */
export interface Admission {
  /** Returns the retry delay if the request must be refused now, else null. Has no side effects. */
  check(ask: AdmissionRequest, now: Millis): Millis | null;
  enqueue(ask: AdmissionRequest, listener: AdmissionListener, now: Millis): void;
  /** Removes a waiting request, or frees the slot of a running one. */
  release(id: RequestId, now: Millis): void;
  /** Refuses waiting requests that can no longer meet their deadline, adapts the limit, and admits requests. */
  sweep(now: Millis): void;
  noteGap(gap: Millis): void;
  noteFirstToken(wait: Millis): void;
  noteRefusal(): void;
  getLimit(): number;
  countWaiting(): number;
  countRunning(): number;
}

interface WaitingRequest {
  readonly ask: AdmissionRequest;
  readonly listener: AdmissionListener;
}

const MIN_RETRY_AFTER: Millis = 250;
const MAX_RETRY_AFTER: Millis = 30_000;
const RATE_WINDOW: Millis = 1000;
const RATE_SMOOTHING = 0.3;

export function createAdmission(cfg: AdmissionConfig, start: Millis): Admission {
  const queue: FairQueue = createFairQueue({ total: cfg.queueBound });
  const waiting = new Map<RequestId, WaitingRequest>();
  const running = new Map<RequestId, AdmissionRequest>();
  let limit: ConcurrencyLimit = createConcurrencyLimit(cfg.limits, start);
  let kvInUse = 0;
  /** Completed work per millisecond; null until a window has completed any. */
  let throughput: number | null = null;
  let completedCost = 0;
  let windowStart = start;

  function fits(entry: QueueEntry): boolean {
    if (running.size >= Math.floor(limit.limit)) {
      limit = noteReached(limit);
      return false;
    }
    const capacity = cfg.getKvCapacity();
    const needed = waiting.get(entry.id)?.ask.kvTokens ?? 0;
    // One request may always run; otherwise, one larger than the estimated capacity would wait forever.
    return capacity === null || running.size === 0 || kvInUse + needed <= capacity;
  }

  function admit(now: Millis): void {
    for (let entry = queue.pop(fits); entry; entry = queue.pop(fits)) {
      const found = waiting.get(entry.id);
      if (found && wouldMissDeadline(found.ask, now)) {
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

  /** Whether the request would end after its deadline even if it started now, and so would waste a slot. */
  function wouldMissDeadline(ask: AdmissionRequest, now: Millis): boolean {
    return now + ask.duration > ask.deadline;
  }

  function computeRetryAfter(wait: Millis, now: Millis): Millis {
    const untilSweep = Math.max(0, windowStart + RATE_WINDOW - now);
    return Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, wait, untilSweep));
  }

  function estimateWait(ask: AdmissionRequest): Millis {
    const { share } = cfg.getTeamLimits(ask.team);
    const isFree = queue.size() === 0 && running.size < Math.floor(limit.limit);
    if (isFree || throughput === null || throughput === 0) {
      return 0;
    }
    return queue.getWorkAhead(ask.team, share, getPriorityRank(ask.priority)) / throughput;
  }

  function updateThroughput(now: Millis): void {
    const elapsed = now - windowStart;
    if (elapsed < RATE_WINDOW) {
      return;
    }
    const measured = completedCost / elapsed;
    // Windows without load do not show the capacity of the engines.
    if (measured > 0 && (limit.reached || queue.size() > 0 || throughput === null)) {
      throughput =
        throughput === null ? measured : throughput + RATE_SMOOTHING * (measured - throughput);
    }
    completedCost = 0;
    windowStart = now;
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
      // A team with a queue limit of 0 may still run requests while slots are free.
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
        completedCost += ask.cost;
        updateThroughput(now);
      } else if (waiting.delete(id)) {
        queue.remove(id);
      }
      admit(now);
    },
    sweep(now) {
      updateThroughput(now);
      limit = adaptLimit(limit, cfg.limits, now);
      for (const { ask } of [...waiting.values()]) {
        if (wouldMissDeadline(ask, now)) {
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
