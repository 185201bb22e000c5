/**
 * A fleet for the control bench: real membership, duties and load digests over virtual time, in front of
 * engines whose load follows a random walk. Counts polls and their bytes, and samples the age of the load
 * data that each instance has.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineLoad } from '@skylarksail/core/CoreEngine';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom, jitter } from '@skylarksail/core/CoreRandom';
import type { EngineId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { Duties } from '@skylarksail/membership/MembershipDuties';
import { createDuties } from '@skylarksail/membership/MembershipDuties';
import { MemberChangeKind } from '@skylarksail/membership/MembershipEffects';
import type { LoadGossip, LoadGossipOptions } from '@skylarksail/membership/MembershipLoad';
import { createLoadGossip, LOAD_POLL_PERIOD } from '@skylarksail/membership/MembershipLoad';
import type { VirtualFleet, VirtualInstance } from '@skylarksail/membership/VirtualFleet';
import { createVirtualFleet } from '@skylarksail/membership/VirtualFleet';

export interface ControlFleetOptions {
  readonly seed: number;
  readonly domainSizes: readonly number[];
  readonly enginesPerInstance: number;
  readonly pollPeriod?: Millis;
  readonly loss?: number;
  readonly load?: LoadGossipOptions;
}

/** A simulated engine; its load follows a random walk. */
interface BenchEngine {
  readonly id: EngineId;
  readonly load: EngineLoad;
  readonly changedAt: Millis;
}

interface ControlInstance {
  readonly instance: VirtualInstance;
  readonly duties: Duties;
  readonly loads: LoadGossip;
}

/** A member that `observer` recorded as dead, by its own detection or from gossip. */
export interface ObservedDeath {
  readonly observer: InstanceId;
  readonly id: InstanceId;
  readonly at: Millis;
}

export interface ControlFleet {
  readonly fleet: VirtualFleet;
  /** Returns the number of engine polls so far and the bytes of their response bodies. */
  countPolls(): { readonly polls: number; readonly bytes: number };
  /** Age of the load data of each instance on each engine of its domain; null where it has none. */
  sampleLoadAges(): readonly (Millis | null)[];
  getDeaths(): readonly ObservedDeath[];
}

const MAX_BATCH = 64;
const LOAD_STEP_PERIOD: Millis = 1000;

export function createControlFleet(options: ControlFleetOptions): ControlFleet {
  const random = createRandom(options.seed + 1);
  const pollPeriod = options.pollPeriod ?? LOAD_POLL_PERIOD;
  const engines = new Map<string, Map<EngineId, BenchEngine>>();
  const instances = new Map<string, ControlInstance>();
  const deaths: ObservedDeath[] = [];
  let polls = 0;
  let bytes = 0;

  options.domainSizes.forEach((size, number) => {
    const domain = `d${number}`;
    const count = Math.round(size * options.enginesPerInstance);
    const ids = Array.from({ length: count }, (_, i) => `${domain}-engine-${i}`);
    engines.set(domain, new Map(ids.map((id) => [id, createEngine(id, random)])));
  });

  function startInstance(instance: VirtualInstance): void {
    const { listed, membership, timers } = instance;
    const duties = createDuties(listed, membership);
    const loads = createLoadGossip(options.load);
    const own = engines.get(listed.domain) ?? new Map<EngineId, BenchEngine>();
    membership.registerTopic(loads.topic);
    duties.setDuties([...own.keys()]);
    instances.set(listed.id, { instance, duties, loads });

    function poll(): void {
      const now = timers.now();
      for (const id of duties.getOwn()) {
        const engine = own.get(id);
        if (engine) {
          own.set(id, advanceLoad(engine, random, now));
          loads.recordLoad(engine.load, now);
          polls += 1;
          bytes += JSON.stringify(engine.load).length;
        }
      }
      timers.registerTimeout(jitter(instance.random, pollPeriod, 0.1), poll);
    }
    timers.registerTimeout(instance.random.nextFloat() * pollPeriod, poll);
  }

  const fleet = createVirtualFleet({
    seed: options.seed,
    domainSizes: options.domainSizes,
    loss: options.loss ?? 0,
    onStart: startInstance,
    onChange(observer, event, at) {
      if (event.kind === 'member' && event.change.kind === MemberChangeKind.Dead) {
        deaths.push({ observer, id: event.change.id, at });
      }
    },
  });

  return {
    fleet,
    countPolls: () => ({ polls, bytes }),
    getDeaths: () => deaths,
    sampleLoadAges() {
      const now = fleet.timers.now();
      return fleet.getInstances().flatMap(({ listed }) => {
        const ids = [...(engines.get(listed.domain)?.keys() ?? [])];
        const loads = instances.get(listed.id)?.loads;
        return ids.map((id) => {
          const load = loads?.getLoad(id, now);
          return load ? now - load.seenAt : null;
        });
      });
    },
  };
}

function createEngine(id: EngineId, random: Random): BenchEngine {
  const load: EngineLoad = {
    engine: id,
    bootId: 'boot-1',
    state: LifeState.Live,
    holding: null,
    running: random.nextInt(MAX_BATCH),
    queued: random.nextInt(8),
    kvUsed: random.nextFloat(),
    orderNumber: 1,
  };
  return { id, load, changedAt: 0 };
}

/** Advances the random walk by one step per second since the last call, at most 30 steps. */
function advanceLoad(engine: BenchEngine, random: Random, now: Millis): BenchEngine {
  const steps = Math.min(30, Math.floor((now - engine.changedAt) / LOAD_STEP_PERIOD));
  if (steps <= 0) {
    return engine;
  }
  let { running, queued, kvUsed } = engine.load;
  for (let i = 0; i < steps; i++) {
    running = clamp(running + random.nextInt(9) - 4, MAX_BATCH);
    queued = clamp(queued + random.nextInt(3) - 1, MAX_BATCH);
    kvUsed = clamp(kvUsed + (random.nextFloat() - 0.5) / 10, 1);
  }
  return { ...engine, load: { ...engine.load, running, queued, kvUsed }, changedAt: now };
}

function clamp(value: number, max: number): number {
  return Math.min(max, Math.max(0, value));
}
