/**
 * Time that routing takes in one instance, by the number of engines: planning, chain selection, load
 * reports and call records.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { ChainQuery } from '@skylarksail/routing/RoutingChoice';
import { selectChain } from '@skylarksail/routing/RoutingChoice';
import { refreshPlans } from '@skylarksail/routing/RoutingPlans';
import type { RoutingState } from '@skylarksail/routing/RoutingState';
import {
  createRoutingState,
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
  setEngines,
  setLoads,
  setRoutingFacts,
} from '@skylarksail/routing/RoutingState';
import { createVirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import type { BenchEngine } from './ThroughputShapes.js';
import { BENCH_VARIANT, createBenchShapes } from './ThroughputShapes.js';

/** Results for a domain of `engines` engines. */
export interface ScaleLine {
  readonly bench: 'routing-scale';
  readonly engines: number;
  readonly racks: number;
  /** Planning the whole domain from scratch. */
  readonly plan_ms: number;
  /** A check of all pools that finds no change. */
  readonly refresh_us: number;
  readonly choose_us: number;
  /** Applying one load report of a digest that covers all engines. */
  readonly report_us: number;
  /** Recording one call: start, first token and end. */
  readonly record_us: number;
}

const DOMAIN_SIZES = [40, 100, 350, 700];
const ENGINES_PER_RACK = 8;
const ROUNDS = 2000;
const WARM_UP_ROUNDS = 300;
const MICROS_PER_MILLI = 1000;

/** Measures each size. `readClock` returns fractional milliseconds. */
export function runScaleBench(seed: number, readClock: () => number): readonly ScaleLine[] {
  return DOMAIN_SIZES.map((size) => measureSize(size, seed, readClock));
}

function measureSize(size: number, seed: number, readClock: () => number): ScaleLine {
  const random = createRandom(seed);
  const engines = createDomain(size);
  const fleet = createVirtualFleet({
    timers: createVirtualTimers(),
    engines,
    getLink: () => ({ key: null, bytesPerSecond: Infinity, delayMs: 0 }),
    activationBytes: 1,
    kvBytesPerLayer: 1,
    entryDelayMs: 0,
    readPrompt: () => ({ tokens: 1, prefixKey: null, prefixTokens: 0 }),
    createToken: () => 't',
    isPoison: () => false,
  });
  const loads = fleet.readLoads();
  let state = setLoads(
    createState(engines),
    loads.map((load) => ({ load, seenAt: 0 })),
  );
  let now = 0;

  function measureMeanMs(rounds: number, step: () => void): number {
    for (let i = 0; i < Math.min(rounds, WARM_UP_ROUNDS); i++) {
      step();
    }
    const start = readClock();
    for (let i = 0; i < rounds; i++) {
      step();
    }
    return (readClock() - start) / rounds;
  }

  function createQuery(): ChainQuery {
    return {
      variant: BENCH_VARIANT,
      layerCount: 48,
      domain: 'd1',
      priority: 'normal',
      promptTokens: 300,
      maxTokens: 150,
      prefixKeys: [{ key: `template-${random.nextInt(50)}`, tokens: 200 }],
      avoidEngines: new Set(),
      now,
    };
  }

  function selectCall(before: RoutingState) {
    const ask = createQuery();
    const choice = selectChain(before, ask, random);
    return choice.ok ? { ...ask, chain: choice.value.chain } : null;
  }

  const planMs = measureMeanMs(5, () => {
    refreshPlans({ ...state, plans: new Map() }, now);
  });
  state = refreshPlans(state, now);
  const refreshMs = measureMeanMs(ROUNDS, () => {
    state = refreshPlans(state, now);
  });
  const chooseMs = measureMeanMs(ROUNDS, () => {
    selectCall(state);
  });
  const call = selectCall(state);
  invariant(call, 'an idle domain has a chain');
  const recordMs = measureMeanMs(ROUNDS, () => {
    state = recordFirstToken(recordCallStart(state, call), call, now);
    const outcome = { kind: 'answered', firstTokenMs: 100, tokenGapMs: 60 } as const;
    state = recordCallEnd(state, call, outcome, true, now);
  });
  const reportMs = measureMeanMs(ROUNDS / loads.length, () => {
    now += 1;
    state = setLoads(
      state,
      loads.map((load) => ({ load, seenAt: now })),
    );
  });
  const toMicros = (ms: number) => Math.round(ms * MICROS_PER_MILLI * 10) / 10;
  return {
    bench: 'routing-scale',
    engines: size,
    racks: new Set(engines.map(({ facts }) => facts.rack)).size,
    plan_ms: Math.round(planMs * 10) / 10,
    refresh_us: toMicros(refreshMs),
    choose_us: toMicros(chooseMs),
    report_us: toMicros(reportMs / loads.length),
    record_us: toMicros(recordMs),
  };
}

/** Creates `size` engines in racks of eight, with the accelerators and layer ranges of the mixed shape. */
function createDomain(size: number): readonly BenchEngine[] {
  const shape = createBenchShapes().find(({ name }) => name === 'mixed');
  const models = shape?.engines.filter(({ facts }) => facts.domain === 'd1') ?? [];
  return Array.from({ length: size }, (_, i) => {
    const { facts, holding } = models[i % models.length] as BenchEngine;
    const rack = `d1-r${Math.floor(i / ENGINES_PER_RACK)}`;
    return { facts: { ...facts, id: `d1-e${i}`, rack }, holding };
  });
}

function createState(engines: readonly BenchEngine[]): RoutingState {
  const links = [
    { from: '*', to: '*', bytesPerSecond: 2e9, delayMs: 0.05 },
    { from: 'd1-r0', to: '*', bytesPerSecond: 2e7, delayMs: 0.3 },
  ];
  const state = setRoutingFacts(createRoutingState({ domain: 'd1', instanceCount: 85 }), { links });
  return setEngines(
    state,
    engines.map(({ facts }) => facts),
  );
}
