/** What this instance knows of backend servers: the lagging instance list joined with their reports. */
import { Agent } from 'undici';
import { z } from 'zod';
import { InstanceRole, LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, EngineLoad } from '@skylarksail/core/CoreEngine';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { InstanceRecord } from '@skylarksail/platform/PlatformPort';
import { createTimeoutSignal } from './DaemonSignals.js';

const STATUS_OK = 200;

const layersSchema = z.object({ first: z.int(), end: z.int() });
const statusSchema = z.object({
  load: z.object({
    engine: z.string(),
    bootId: z.string(),
    state: z.enum(['live', 'leaving']),
    holding: z
      .object({
        model: z.string(),
        version: z.string(),
        adapters: z.array(z.string()),
        layers: layersSchema,
        duty: z.enum(['mixed', 'prefill', 'decode']),
      })
      .nullable(),
    running: z.number(),
    queued: z.number(),
    kvUsed: z.number(),
    orderNumber: z.number(),
  }),
  facts: z.object({
    id: z.string(),
    domain: z.string(),
    rack: z.string(),
    address: z.object({ host: z.string(), port: z.int() }),
    accelerator: z.string(),
    decodeLayerTokensPerSecond: z.number(),
    prefillLayerTokensPerSecond: z.number(),
    weightBytes: z.number(),
    kvLayerTokens: z.number(),
    maxBatch: z.number(),
  }),
});

/** An engine's report as it came. */
export interface EngineStatus {
  readonly load: EngineLoad;
  readonly facts: EngineFacts;
}

/** Asks an engine for its report; null if none came that makes sense. */
export type FetchEngineStatus = (address: HostPort) => Promise<EngineStatus | null>;

/** Creates the adapter over HTTP. */
export function createEngineStatusHttp(timeout: Millis): {
  readonly fetch: FetchEngineStatus;
  readonly close: () => Promise<void>;
} {
  const agent = new Agent({ connections: 2, pipelining: 1 });
  return {
    async fetch({ host, port }) {
      try {
        const res = await agent.request({
          origin: `http://${host}:${port}`,
          path: '/v1/status',
          method: 'GET',
          signal: createTimeoutSignal(timeout),
        });
        const parsed = statusSchema.safeParse(await res.body.json());
        return res.statusCode === STATUS_OK && parsed.success ? parsed.data : null;
      } catch {
        return null;
      }
    },
    close: () => agent.destroy(),
  };
}

/** What the directory tells its listener. */
export interface EngineListener {
  onFacts(facts: readonly EngineFacts[]): void;
  onLoad(load: EngineLoad): void;
  onLeaving(engine: EngineId): void;
  /** The engine did not answer its poll. */
  onSilent(engine: EngineId): void;
}

export interface EngineDirectory {
  /** Takes in a new instance list. */
  setRecords(records: readonly InstanceRecord[]): void;
  /** Takes in what another instance learned of an engine. */
  setLoad(load: EngineLoad): void;
  findAddress(id: EngineId): HostPort | null;
  /** Backend servers of a plain service: those whose id is the service's, or `service/…`. */
  listServers(service: string): readonly EngineId[];
  listEngines(): readonly EngineFacts[];
  start(): Unregister;
}

export interface EngineDirectoryOptions {
  readonly timers: TimerService;
  readonly fetchStatus: FetchEngineStatus;
  readonly pollPeriod: Millis;
  /** Whether this instance is the one that polls the engine. */
  readonly isPollOwner: (engine: EngineId) => boolean;
  readonly listener: EngineListener;
}

export function createEngineDirectory(options: EngineDirectoryOptions): EngineDirectory {
  const { listener } = options;
  const records = new Map<string, InstanceRecord>();
  const facts = new Map<EngineId, EngineFacts>();
  const polling = new Set<EngineId>();

  function setRecords(list: readonly InstanceRecord[]): void {
    const before = [...facts.keys()].length;
    records.clear();
    list
      .filter(({ role }) => role !== InstanceRole.Entry)
      .forEach((record) => records.set(record.id, record));
    [...facts.keys()].filter((id) => !records.has(id)).forEach((id) => facts.delete(id));
    records.forEach(({ id, role, state }) => {
      if (role === InstanceRole.Engine && state === LifeState.Leaving) {
        listener.onLeaving(id);
      }
    });
    if (facts.size !== before) {
      listener.onFacts([...facts.values()]);
    }
  }

  async function poll(record: InstanceRecord): Promise<void> {
    // An engine that hangs must not collect one waiting poll after another.
    if (polling.has(record.id)) {
      return;
    }
    polling.add(record.id);
    const status = await options.fetchStatus(record.address);
    polling.delete(record.id);
    if (!status || status.load.engine !== record.id) {
      listener.onSilent(record.id);
      return;
    }
    setFacts({ ...status.facts, domain: record.domain, rack: record.rack });
    listener.onLoad(status.load);
  }

  function setFacts(next: EngineFacts): void {
    const known = facts.get(next.id);
    facts.set(next.id, next);
    if (!known || JSON.stringify(known) !== JSON.stringify(next)) {
      listener.onFacts([...facts.values()]);
    }
  }

  function pollOwned(): void {
    records.forEach((record) => {
      const isEngine = record.role === InstanceRole.Engine;
      if (isEngine && (!facts.has(record.id) || options.isPollOwner(record.id))) {
        void poll(record);
      }
    });
  }

  return {
    setRecords,
    setLoad: (load) => listener.onLoad(load),
    findAddress: (id) => records.get(id)?.address ?? null,
    listServers: (service) =>
      [...records.values()]
        .filter(
          ({ id, role, state }) =>
            role === InstanceRole.Service &&
            state === LifeState.Live &&
            (id === service || id.startsWith(`${service}/`)),
        )
        .map(({ id }) => id),
    listEngines: () => [...facts.values()],
    start: () => {
      pollOwned();
      return options.timers.registerInterval(options.pollPeriod, pollOwned);
    },
  };
}
