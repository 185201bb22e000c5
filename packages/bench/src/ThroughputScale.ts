/** What routing costs one instance by the number of engines: plans, choices, reports and records. */
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

/** Figures of one size: a domain of `engines` engines. */
export interface ScaleLine {
  readonly bench: 'routing-scale';
  readonly engines: number;
  readonly racks: number;
  /** Planning the whole domain anew. */
  readonly plan_ms: number;
  /** A look at all pools that finds nothing changed. */
  readonly refresh_us: number;
  readonly choose_us: number;
  /** One load report of a digest that holds all engines. */
  readonly report_us: number;
  /** The records of one call: start, first token, end. */
  readonly record_us: number;
}

const SIZES = [40, 100, 350, 700];
const ENGINES_PER_RACK = 8;
const ROUNDS = 2000;
const WARM_UP_ROUNDS = 300;
const MICROS_PER_MILLI = 1000;

/** Measures each size. `readClock` gives milliseconds with fractions. */
export function runScaleBench(seed: number, readClock: () => number): readonly ScaleLine[] {
  return SIZES.map((size) => measureSize(size, seed, readClock));
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

  function time(rounds: number, step: () => void): number {
    for (let i = 0; i < Math.min(rounds, WARM_UP_ROUNDS); i++) {
      step();
    }
    const start = readClock();
    for (let i = 0; i < rounds; i++) {
      step();
    }
    return (readClock() - start) / rounds;
  }

  function createAsk(): ChainQuery {
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

  function startCall(before: RoutingState) {
    const ask = createAsk();
    const choice = selectChain(before, ask, random);
    return choice.ok ? { ...ask, chain: choice.value.chain } : null;
  }

  const planMs = time(5, () => {
    refreshPlans({ ...state, plans: new Map() }, now);
  });
  state = refreshPlans(state, now);
  const refresh = time(ROUNDS, () => {
    state = refreshPlans(state, now);
  });
  const choose = time(ROUNDS, () => {
    startCall(state);
  });
  const call = startCall(state);
  invariant(call, 'an idle domain has a chain');
  const record = time(ROUNDS, () => {
    state = recordFirstToken(recordCallStart(state, call), call, now);
    const outcome = { kind: 'answered', firstTokenMs: 100, tokenGapMs: 60 } as const;
    state = recordCallEnd(state, call, outcome, true, now);
  });
  const digest = time(ROUNDS / loads.length, () => {
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
    refresh_us: toMicros(refresh),
    choose_us: toMicros(choose),
    report_us: toMicros(digest / loads.length),
    record_us: toMicros(record),
  };
}

/** A domain of so many engines, cut like those of the mixed shape, in racks of eight. */
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
