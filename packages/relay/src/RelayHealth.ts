/**
 * Probes the health of engines in this instance's domain when calls to them fail or stall. The entry of a dead engine
 * stays in the store until it expires, which takes five seconds together with the grace period for a lost engine.
 * During a store outage entries do not change at all, and a domain that lost an engine would have no chain until the
 * store is back. The results of probes replace the entry until the store reports a change of it.
 */
import { createActiveInterval } from '@skylarksail/core/CoreActivity';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  OpenEngineCall,
  OpenServiceCall,
} from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { EngineFateName } from '@skylarksail/requests/RouterTypes';
import { EngineFate } from '@skylarksail/requests/RouterTypes';
import type { Catalogue } from './RelayCatalogue.js';
import { createIncarnationId } from './RelayIncarnations.js';
import type { BackendProbePort, HealthAnswer } from './RelayPorts.js';
import type { BackendEntry } from './RelayTypes.js';

export interface RelayHealthOptions {
  readonly timers: TimerService;
  readonly domain: DomainId;
  readonly catalogue: Catalogue;
  readonly port: BackendProbePort;
  /** Whether neither the store nor a peer that receives its updates can be reached. */
  readonly isIsolated: () => boolean;
  /** Called when the incarnation at which calls failed answers a probe: the calls did not crash it. */
  readonly onHealthy: (engine: EngineId) => void;
  /** Called when a probe finds an engine leaving or gets no answer. */
  readonly onUnhealthy: (seen: {
    readonly engine: EngineId;
    readonly health: HealthAnswer['kind'];
    readonly misses: number;
  }) => void;
}

export interface RelayHealth {
  /** Wraps `open` so that engines of calls that fail or stall become suspects. */
  watchCalls(open: OpenEngineCall): OpenEngineCall;
  /** Wraps `open` so that a server whose call broke is asked whether it goes on. */
  watchServiceCalls(open: OpenServiceCall): OpenServiceCall;
  /** Reports that engines do not respond in a call that has not ended. */
  noteSilent(engines: readonly EngineId[]): void;
  /** What the probes since a time have shown of an engine. */
  getFate(engine: EngineId, since: Millis): EngineFateName;
  /** Lists suspects whose last probe failed. */
  listLost(): readonly EngineId[];
  stop(): void;
}

/** The last probe of an engine that had a clear result. */
interface ProbeResult {
  readonly sentAt: Millis;
  readonly fate: EngineFateName;
}

/** An engine whose calls failed or stalled. */
interface Suspect {
  /** Number of consecutive failed probes. */
  readonly misses: number;
  /** Earliest time of the next probe. */
  readonly dueAt: Millis;
}

const TICK: Millis = 300;
const PROBE_TIMEOUT: Millis = 250;
/** A probe that ends this long after its timeout was delayed by a pause of this process; its result is ignored. */
const LATE_ANSWER_MARGIN: Millis = 100;
/**
 * Consecutive failed probes before an engine that reports that it is leaving is treated as leaving: a single failure
 * may be a lost answer.
 */
const LEAVING_THRESHOLD = 2;
/** The same for an engine that does not answer; higher because a link with packet loss also delays answers. */
const SILENT_THRESHOLD = 3;
/** Pause before the next probe of an engine that is healthy or known to be leaving; limits the cost of probes. */
const PROBE_PAUSE: Millis = 1000;
/** If a call is cancelled after a silence of this length, one of its engines may be dead. */
const SILENCE_THRESHOLD: Millis = 300;

export function createRelayHealth(options: RelayHealthOptions): RelayHealth {
  const { timers, domain, catalogue, port, isIsolated } = options;
  const suspects = new Map<EngineId, Suspect>();
  /** Time until which an engine that answered a probe is not suspected again. */
  const cleared = new Map<EngineId, Millis>();
  const probing = new Set<EngineId>();
  const results = new Map<EngineId, ProbeResult>();
  /**
   * Whether an engine was found to be leaving while the store is unreachable. Other engines then take over its layers
   * without updates from the store.
   */
  let isTrackingLayers = false;
  const ticker = createActiveInterval(timers, TICK, () => {
    tick();
    return suspects.size > 0 || isTrackingLayers;
  });

  function addSuspect(id: EngineId): void {
    if ((cleared.get(id) ?? -Infinity) <= timers.now()) {
      probeSoon(id);
    }
  }

  function probeSoon(id: EngineId): void {
    const entry = catalogue.get(id);
    const isOwn = entry?.domain === domain && entry.accelerator !== null;
    if (isOwn && !suspects.has(id)) {
      suspects.set(id, { misses: 0, dueAt: timers.now() });
      ticker.start();
    }
  }

  /** An engine that was cleared a moment ago may have ended since, so its broken stream is always followed by a probe. */
  function noteFailure({ engine, place }: AttemptFailure): void {
    if (engine !== null && place === FailurePlace.Stream) {
      probeSoon(engine);
    } else if (engine !== null) {
      addSuspect(engine);
    }
  }

  async function probeOnce(entry: BackendEntry, probe: () => Promise<void>): Promise<void> {
    if (!probing.has(entry.id)) {
      probing.add(entry.id);
      await probe().finally(() => probing.delete(entry.id));
    }
  }

  async function probeHealth(entry: BackendEntry): Promise<void> {
    const sentAt = timers.now();
    const health = await port.readHealth(entry, PROBE_TIMEOUT);
    const now = timers.now();
    if (now - sentAt > PROBE_TIMEOUT + LATE_ANSWER_MARGIN || catalogue.get(entry.id) === null) {
      return;
    }
    if (health.kind === 'backed-off') {
      // It turns all away for now, which says nothing of whether it leaves.
      return;
    }
    if (health.kind !== 'leaving') {
      const isAlive = health.kind === 'well' && health.id === entry.server;
      results.set(entry.id, { sentAt, fate: isAlive ? EngineFate.Alive : EngineFate.Ended });
    }
    if (health.kind === 'well') {
      suspects.delete(entry.id);
      cleared.set(entry.id, now + PROBE_PAUSE);
      applyHealthy(entry, health.id);
      return;
    }
    const misses = (suspects.get(entry.id)?.misses ?? 0) + 1;
    const isConfirmed =
      misses >= (health.kind === 'leaving' ? LEAVING_THRESHOLD : SILENT_THRESHOLD);
    suspects.set(entry.id, { misses, dueAt: isConfirmed ? now + PROBE_PAUSE : now });
    options.onUnhealthy({ engine: entry.id, health: health.kind, misses });
    if (isConfirmed) {
      markLeaving(entry);
    }
  }

  /**
   * Asks a server of a plain service whether it goes on after a call broke, so that a reset connection does not count as
   * its end. Its registered state is kept: calls find another server at once.
   */
  async function probeServer(entry: BackendEntry): Promise<void> {
    const health = await port.readHealth(entry, PROBE_TIMEOUT);
    if (health.kind === 'well' && health.id === entry.server) {
      options.onHealthy(entry.id);
    }
  }

  function applyHealthy(entry: BackendEntry, id: EngineId): void {
    if (id === entry.server) {
      options.onHealthy(entry.id);
      // If the entry changed meanwhile (the engine leaves or holds other layers), it is newer than the answer.
      if (catalogue.get(entry.id) === entry) {
        catalogue.observe({ ...entry, state: LifeState.Live });
      }
      return;
    }
    // Another incarnation answered: the registered one has ended, and the new one holds no layers.
    markLeaving(entry);
    if (isIsolated() && catalogue.get(id) === null) {
      const incarnation = { server: id, born: null };
      const replacement = {
        ...entry,
        ...incarnation,
        id: createIncarnationId(incarnation),
        layers: null,
      };
      catalogue.observe({ ...replacement, state: LifeState.Live });
    }
  }

  function markLeaving(entry: BackendEntry): void {
    isTrackingLayers = isIsolated();
    catalogue.observe({ ...entry, state: LifeState.Leaving });
    ticker.start();
  }

  async function probeLayers(entry: BackendEntry): Promise<void> {
    const status = await port.readStatus(entry, PROBE_TIMEOUT);
    if (status !== null && isIsolated()) {
      const latest = catalogue.get(entry.id) ?? entry;
      const incarnation = { server: entry.server, born: status.born ?? latest.born };
      catalogue.observe({
        ...latest,
        ...incarnation,
        id: createIncarnationId(incarnation),
        layers: status.layers,
      });
    }
  }

  function evictRemovedEngines(): void {
    for (const table of [suspects, cleared, results]) {
      [...table.keys()]
        .filter((id) => catalogue.get(id) === null)
        .forEach((id) => table.delete(id));
    }
  }

  function tick(): void {
    const now = timers.now();
    evictRemovedEngines();
    isTrackingLayers = isTrackingLayers && isIsolated();
    for (const entry of catalogue.list()) {
      const suspected = suspects.get(entry.id);
      if (suspected) {
        if (suspected.dueAt <= now) {
          void probeOnce(entry, () => probeHealth(entry));
        }
      } else if (isTrackingLayers && entry.domain === domain && entry.accelerator !== null) {
        void probeOnce(entry, () => probeLayers(entry));
      }
    }
  }

  return {
    watchCalls: (open) => (call, listener) => {
      let lastSignAt = timers.now();
      let hasEnded = false;
      const noteActivity = (): void => {
        lastSignAt = timers.now();
      };
      const cancel = open(call, {
        onAcknowledged(acknowledgement) {
          noteActivity();
          listener.onAcknowledged(acknowledgement);
        },
        onToken(index, token) {
          noteActivity();
          listener.onToken(index, token);
        },
        onEnd(reason, tokenCount) {
          hasEnded = true;
          listener.onEnd(reason, tokenCount);
        },
        onFailure(failure) {
          hasEnded = true;
          noteFailure(failure);
          listener.onFailure(failure);
        },
      });
      return () => {
        if (!hasEnded && timers.now() - lastSignAt >= SILENCE_THRESHOLD) {
          call.chain.stages.forEach(({ engine }) => addSuspect(engine));
        }
        cancel();
      };
    },
    watchServiceCalls: (open) => (call, listener) =>
      open(call, {
        ...listener,
        onFailure(failure) {
          listener.onFailure(failure);
          const entry = failure.place === FailurePlace.Stream ? catalogue.get(call.server) : null;
          if (entry) {
            void probeServer(entry);
          }
        },
      }),
    noteSilent: (engines) => engines.forEach(addSuspect),
    getFate(engine, since) {
      const result = results.get(engine);
      return result && result.sentAt >= since ? result.fate : EngineFate.Unknown;
    },
    listLost: () => [...suspects].filter(([, { misses }]) => misses > 0).map(([id]) => id),
    stop: ticker.stop,
  };
}
