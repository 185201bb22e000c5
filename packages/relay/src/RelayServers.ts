/** Chooses a backend server of a plain service: few calls on it, no failures lately, near. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId } from '@skylarksail/core/CoreTypes';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { ChooseServer } from '@skylarksail/requests/RouterTypes';
import type { AttemptOutcome } from '@skylarksail/requests/RequestTypes';
import type { EngineHealth } from '@skylarksail/routing/RoutingHealth';
import {
  getHealthShare,
  NEW_HEALTH,
  recordFailure,
  recordSuccess,
} from '@skylarksail/routing/RoutingHealth';
import type { Catalogue } from './RelayCatalogue.js';
import type { BackendEntry } from './RelayTypes.js';

export interface RelayServersOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly domain: DomainId;
  readonly catalogue: Catalogue;
}

/** What a call in another domain weighs against one in the own: a quarter more, as its way is longer. */
const FOREIGN_WEIGHT = 1.25;

/** Part of a new time in the smoothed one: some ten answers are remembered. */
const TIME_WEIGHT = 0.1;
const TIE_SPREAD = 0.1;

export function createServerChooser(options: RelayServersOptions): ChooseServer {
  const { timers, random, domain, catalogue } = options;
  const running = new Map<EngineId, number>();
  const health = new Map<EngineId, EngineHealth>();
  /** Mean time of an answer, smoothed, in ms. */
  const times = new Map<EngineId, number>();

  function weigh(entry: BackendEntry): number {
    const calls = running.get(entry.id) ?? 0;
    const share = getHealthShare(health.get(entry.id) ?? NEW_HEALTH, calls, timers.now());
    const time = times.get(entry.id) ?? 1;
    const distance = entry.domain === domain ? 1 : FOREIGN_WEIGHT;
    return share > 0 ? ((calls + 1) * time * distance) / share : Infinity;
  }

  function release(id: EngineId, outcome: AttemptOutcome): void {
    running.set(id, Math.max(0, (running.get(id) ?? 1) - 1));
    const now = timers.now();
    const before = health.get(id) ?? NEW_HEALTH;
    if (outcome.kind === 'answered') {
      const known = times.get(id) ?? outcome.firstToken;
      times.set(id, known + TIME_WEIGHT * (outcome.firstToken - known));
      health.set(id, recordSuccess(before, now));
    } else if (outcome.kind === 'failed' && outcome.cause !== 'refused') {
      health.set(id, recordFailure(before, true, now));
    }
    if (catalogue.get(id) === null) {
      [running, health, times].forEach((table) => table.delete(id));
    }
  }

  return (service, avoid) => {
    const open = catalogue
      .list()
      .filter(
        (entry) =>
          entry.service === service && entry.state === LifeState.Live && !avoid.includes(entry.id),
      );
    const weighed = open.map((entry) => ({ entry, weight: weigh(entry) * tieBreak(random) }));
    const best = weighed.reduce<(typeof weighed)[number] | null>(
      (a, b) => (a === null || b.weight < a.weight ? b : a),
      null,
    );
    if (best === null) {
      return null;
    }
    const { id } = best.entry;
    running.set(id, (running.get(id) ?? 0) + 1);
    return { server: id, release: (outcome) => release(id, outcome) };
  };
}

/** Instances that know the same would all choose the same server without it. */
function tieBreak(random: Random): number {
  return 1 + TIE_SPREAD * random.nextFloat();
}
