/**
 * Asks the own domain's engines about their health when calls fail at them or stay silent. An engine's entry
 * says nothing of its end until it lapses, five seconds with the time that a lost engine is waited for; while
 * the store is out it says nothing at all, and a domain that lost an engine had no chain until the store was
 * back. What is seen here stands in for the entry until the store tells of it.
 */
import { createActiveInterval } from '@skylarksail/core/CoreActivity';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { Catalogue } from './RelayCatalogue.js';
import { createIncarnationId } from './RelayIncarnations.js';
import type { BackendProbePort, HealthAnswer } from './RelayPorts.js';
import type { BackendEntry } from './RelayTypes.js';

export interface RelayHealthOptions {
  readonly timers: TimerService;
  readonly domain: DomainId;
  readonly catalogue: Catalogue;
  readonly port: BackendProbePort;
  /** Whether neither the store nor a peer that hears it can be reached. */
  readonly isIsolated: () => boolean;
  /** An engine answered in the life that calls failed at: it did not crash under them. */
  readonly onHealthy: (engine: EngineId) => void;
  readonly onUnhealthy: (seen: {
    readonly engine: EngineId;
    readonly health: HealthAnswer['kind'];
    readonly misses: number;
  }) => void;
}

export interface RelayHealth {
  /** The same calls; those that fail or stay silent put their engines under suspicion. */
  watchCalls(open: OpenEngineCall): OpenEngineCall;
  /** Engines are silent under a call that goes on. */
  noteSilent(engines: readonly EngineId[]): void;
  /** Engines that calls failed at, and that did not answer well when they were asked then. */
  listLost(): readonly EngineId[];
  stop(): void;
}

/** An engine that calls failed at. */
interface Suspect {
  /** Bad answers in a row. */
  readonly misses: number;
  /** Not asked again before. */
  readonly dueAt: Millis;
}

const TICK: Millis = 300;
const PROBE_TIMEOUT: Millis = 250;
/** An answer that is this late was held up by a pause of our own, and says nothing of the engine. */
const LATE_ANSWER: Millis = 100;
/** Bad answers in a row after which an engine is taken to leave: one may be lost. */
const MISSES_TO_LEAVE = 2;
/** The same without any answer: a link that loses packets holds one up as well. */
const MISSES_TO_END = 3;
/** An engine that has answered well, or has been found out, is not asked again at once: questions cost. */
const ASK_PAUSE: Millis = 1000;
/** A call that is given up after so long a silence says that one of its engines may be dead. */
const SILENCE: Millis = 300;

export function createRelayHealth(options: RelayHealthOptions): RelayHealth {
  const { timers, domain, catalogue, port, isIsolated: isBlind } = options;
  const suspects = new Map<EngineId, Suspect>();
  /** Until when engines that answered well are not suspected again. */
  const cleared = new Map<EngineId, Millis>();
  const asking = new Set<EngineId>();
  /** Whether an engine was found out while nobody hears the store: then layers move untold. */
  let isMoving = false;
  const ticking = createActiveInterval(timers, TICK, () => {
    tick();
    return suspects.size > 0 || isMoving;
  });

  function suspect(id: EngineId): void {
    const now = timers.now();
    const entry = catalogue.get(id);
    const isOwn = entry?.domain === domain && entry.accelerator !== null;
    if (isOwn && !suspects.has(id) && (cleared.get(id) ?? -Infinity) <= now) {
      suspects.set(id, { misses: 0, dueAt: now });
      ticking.start();
    }
  }

  async function ask(entry: BackendEntry, question: () => Promise<void>): Promise<void> {
    if (!asking.has(entry.id)) {
      asking.add(entry.id);
      await question().finally(() => asking.delete(entry.id));
    }
  }

  async function askHealth(entry: BackendEntry): Promise<void> {
    const askedAt = timers.now();
    const health = await port.readHealth(entry, PROBE_TIMEOUT);
    const now = timers.now();
    if (now - askedAt > PROBE_TIMEOUT + LATE_ANSWER || catalogue.get(entry.id) === null) {
      return;
    }
    if (health.kind === 'well') {
      suspects.delete(entry.id);
      cleared.set(entry.id, now + ASK_PAUSE);
      takeWell(entry, health.id);
      return;
    }
    const misses = (suspects.get(entry.id)?.misses ?? 0) + 1;
    const isFound = misses >= (health.kind === 'leaving' ? MISSES_TO_LEAVE : MISSES_TO_END);
    suspects.set(entry.id, { misses, dueAt: isFound ? now + ASK_PAUSE : now });
    options.onUnhealthy({ engine: entry.id, health: health.kind, misses });
    if (isFound) {
      takeLeaving(entry);
    }
  }

  function takeWell(entry: BackendEntry, id: EngineId): void {
    if (id === entry.server) {
      options.onHealthy(entry.id);
      // Its entry may have told since that it leaves or holds other layers: the answer is older than that.
      if (catalogue.get(entry.id) === entry) {
        catalogue.observe({ ...entry, state: LifeState.Live });
      }
      return;
    }
    // Another incarnation answered: the one that was registered has ended, and this one holds nothing.
    takeLeaving(entry);
    if (isBlind() && catalogue.get(id) === null) {
      const life = { server: id, born: null };
      const fresh = { ...entry, ...life, id: createIncarnationId(life), layers: null };
      catalogue.observe({ ...fresh, state: LifeState.Live });
    }
  }

  function takeLeaving(entry: BackendEntry): void {
    isMoving = isBlind();
    catalogue.observe({ ...entry, state: LifeState.Leaving });
    ticking.start();
  }

  async function askLayers(entry: BackendEntry): Promise<void> {
    const status = await port.readStatus(entry, PROBE_TIMEOUT);
    if (status !== null && isBlind()) {
      const latest = catalogue.get(entry.id) ?? entry;
      const life = { server: entry.server, born: status.born ?? latest.born };
      catalogue.observe({
        ...latest,
        ...life,
        id: createIncarnationId(life),
        layers: status.layers,
      });
    }
  }

  function forgetGone(): void {
    for (const table of [suspects, cleared]) {
      [...table.keys()]
        .filter((id) => catalogue.get(id) === null)
        .forEach((id) => table.delete(id));
    }
  }

  function tick(): void {
    const now = timers.now();
    forgetGone();
    isMoving = isMoving && isBlind();
    for (const entry of catalogue.list()) {
      const suspected = suspects.get(entry.id);
      if (suspected) {
        if (suspected.dueAt <= now) {
          void ask(entry, () => askHealth(entry));
        }
      } else if (isMoving && entry.domain === domain && entry.accelerator !== null) {
        void ask(entry, () => askLayers(entry));
      }
    }
  }

  return {
    watchCalls: (open) => (call, listener) => {
      let signAt = timers.now();
      let isOver = false;
      const note = (): void => {
        signAt = timers.now();
      };
      const cancel = open(call, {
        onAcknowledged(acknowledgement) {
          note();
          listener.onAcknowledged(acknowledgement);
        },
        onToken(index, token) {
          note();
          listener.onToken(index, token);
        },
        onEnd(reason, tokenCount) {
          isOver = true;
          listener.onEnd(reason, tokenCount);
        },
        onFailure(failure) {
          isOver = true;
          if (failure.engine !== null) {
            suspect(failure.engine);
          }
          listener.onFailure(failure);
        },
      });
      return () => {
        if (!isOver && timers.now() - signAt >= SILENCE) {
          call.chain.stages.forEach(({ engine }) => suspect(engine));
        }
        cancel();
      };
    },
    noteSilent: (engines) => engines.forEach(suspect),
    listLost: () => [...suspects].filter(([, { misses }]) => misses > 0).map(([id]) => id),
    stop: ticking.stop,
  };
}
