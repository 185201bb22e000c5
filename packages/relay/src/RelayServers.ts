/** Chooses a backend server of a plain service by its running calls, answer time, recent failures and domain. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId } from '@skylarksail/core/CoreTypes';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { ChooseServer, ServerChoice } from '@skylarksail/requests/RouterTypes';
import type { AttemptOutcome, FailureCause } from '@skylarksail/requests/RequestTypes';
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

/** Cost of a call to another domain relative to one in the same domain: a quarter more, for the longer network path. */
const REMOTE_DOMAIN_WEIGHT = 1.25;

/** Weight of a new answer time in the moving average, which covers about ten answers. */
const SMOOTHING_FACTOR = 0.1;
const TIE_SPREAD = 0.1;
/** Causes that say nothing against the server. */
const BLAMELESS_CAUSES: ReadonlySet<FailureCause> = new Set(['refused', 'cut-off']);

/** Chooses servers, and keeps count of what it chose. */
export interface ServerChooser {
  readonly choose: ChooseServer;
  /** Number of servers whose calls, health or answer times are kept; at most those of the catalogue and busy ones. */
  countServers(): number;
}

export function createServerChooser(options: RelayServersOptions): ServerChooser {
  const { timers, random, domain, catalogue } = options;
  const running = new Map<EngineId, number>();
  const health = new Map<EngineId, EngineHealth>();
  /** Moving average of the answer time, in ms. */
  const answerTimes = new Map<EngineId, number>();

  function getWeight(entry: BackendEntry): number {
    const calls = running.get(entry.id) ?? 0;
    const share = getHealthShare(health.get(entry.id) ?? NEW_HEALTH, calls, timers.now());
    const time = answerTimes.get(entry.id) ?? 1;
    const distance = entry.domain === domain ? 1 : REMOTE_DOMAIN_WEIGHT;
    return share > 0 ? ((calls + 1) * time * distance) / share : Infinity;
  }

  function release(id: EngineId, outcome: AttemptOutcome): void {
    running.set(id, Math.max(0, (running.get(id) ?? 1) - 1));
    const now = timers.now();
    const before = health.get(id) ?? NEW_HEALTH;
    if (outcome.kind === 'answered') {
      const smoothed = answerTimes.get(id) ?? outcome.firstToken;
      answerTimes.set(id, smoothed + SMOOTHING_FACTOR * (outcome.firstToken - smoothed));
      health.set(id, recordSuccess(before, now));
    } else if (outcome.kind === 'failed' && !BLAMELESS_CAUSES.has(outcome.cause)) {
      health.set(id, recordFailure(before, true, now));
    }
    forgetIfGone(id);
  }

  /** A server may be gone for a moment only, so its running calls stay counted. */
  function forgetIfGone(id: EngineId): void {
    if (catalogue.get(id) === null && (running.get(id) ?? 0) === 0) {
      [running, health, answerTimes].forEach((table) => table.delete(id));
    }
  }

  /** Servers are mostly gone after their last call has ended, so nothing else drops them. */
  function forgetRemovedServers(): void {
    if (running.size > catalogue.list().length) {
      [...running.keys()].forEach(forgetIfGone);
    }
  }

  function choose(...[service, avoid]: Parameters<ChooseServer>): ServerChoice | null {
    forgetRemovedServers();
    const candidates = catalogue
      .list()
      .filter(
        (entry) =>
          entry.service === service && entry.state === LifeState.Live && !avoid.includes(entry.id),
      );
    const weighted = candidates.map((entry) => ({
      entry,
      weight: getWeight(entry) * drawTieBreaker(random),
    }));
    const best = weighted.reduce<(typeof weighted)[number] | null>(
      (a, b) => (a === null || b.weight < a.weight ? b : a),
      null,
    );
    if (best === null) {
      return null;
    }
    const { id } = best.entry;
    running.set(id, (running.get(id) ?? 0) + 1);
    return { server: id, release: (outcome) => release(id, outcome) };
  }

  return { choose, countServers: () => running.size };
}

/** Prevents instances with the same data from all choosing the same server. */
function drawTieBreaker(random: Random): number {
  return 1 + TIE_SPREAD * random.nextFloat();
}
