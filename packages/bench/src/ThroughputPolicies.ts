/** Ways to choose a chain that the throughput bench compares: the router's and the baselines. */
import type { Stage } from '@skylarksail/core/CoreChain';
import { createChain } from '@skylarksail/core/CoreChain';
import type { SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { ChainQuery } from '@skylarksail/routing/RoutingChoice';
import { selectChain } from '@skylarksail/routing/RoutingChoice';
import { refreshPlans } from '@skylarksail/routing/RoutingPlans';
import type { RoutedCall, RoutingState } from '@skylarksail/routing/RoutingState';
import {
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
  setLoad,
} from '@skylarksail/routing/RoutingState';
import type { BenchEngine } from './ThroughputShapes.js';
import { BENCH_VARIANT } from './ThroughputShapes.js';

/** How one entry instance chooses; it hears of its own calls and of late load reports. */
export interface BenchPolicy {
  /** A chain, or null while the request has to wait. */
  choose(ask: ChainQuery): RoutedCall | null;
  onStart(call: RoutedCall, now: Millis): void;
  onFirstToken(call: RoutedCall, now: Millis): void;
  onEnd(call: RoutedCall, firstTokenMs: Millis, tokenGapMs: Millis | null, now: Millis): void;
  onLoad(seen: SeenEngineLoad, now: Millis): void;
}

const PLAN_PERIOD_MS = 100;

/** The router itself. */
export function createRouterPolicy(initial: RoutingState, random: Random): BenchPolicy {
  let state = initial;
  let nextPlanAt = 0;
  return {
    choose(ask) {
      const choice = selectChain(state, ask, random);
      if (!choice.ok) {
        return null;
      }
      const { promptTokens, maxTokens, prefixKeys } = ask;
      const { chain, cachedTokens } = choice.value;
      return { chain, promptTokens, maxTokens, prefixKeys, cachedTokens };
    },
    onStart(call) {
      state = recordCallStart(state, call);
    },
    onFirstToken(call, now) {
      state = recordFirstToken(state, call, now);
    },
    onEnd(call, firstTokenMs, tokenGapMs, now) {
      const outcome = { kind: 'answered', firstTokenMs, tokenGapMs } as const;
      state = recordCallEnd(state, call, outcome, true, now);
    },
    onLoad(seen, now) {
      state = setLoad(state, seen);
      if (now >= nextPlanAt) {
        state = refreshPlans(state, now);
        nextPlanAt = now + PLAN_PERIOD_MS;
      }
    },
  };
}

/** What a baseline may look at to pick the engine of a stage. */
export interface BaselineView {
  readonly reported: ReadonlyMap<EngineId, number>;
  readonly own: ReadonlyMap<EngineId, number>;
}

export type PickEngine = (
  options: readonly BenchEngine[],
  view: BaselineView,
  random: Random,
) => BenchEngine;

/** Picks engine by engine; holds back new calls above `maxCalls`, as the router does by its own count. */
export function createBaselinePolicy(
  engines: readonly BenchEngine[],
  maxCalls: number,
  createPick: () => PickEngine,
  random: Random,
): BenchPolicy {
  const reported = new Map<EngineId, number>();
  const own = new Map<EngineId, number>();
  const pick = createPick();
  let calls = 0;

  function add(call: RoutedCall, change: number): void {
    calls += change;
    call.chain.stages.forEach(({ engine }) => own.set(engine, (own.get(engine) ?? 0) + change));
  }

  return {
    choose(ask) {
      if (calls >= maxCalls) {
        return null;
      }
      const stages: Stage[] = [];
      for (let layer = 0; layer < ask.layerCount;) {
        const options = engines.filter(
          ({ facts, holding }) => facts.domain === ask.domain && holding.layers.first === layer,
        );
        const { facts, holding } = pick(options, { reported, own }, random);
        stages.push({ engine: facts.id, layers: holding.layers });
        layer = holding.layers.end;
      }
      const chain = createChain(BENCH_VARIANT, ask.layerCount, stages);
      invariant(chain.ok, 'whole ranges form a chain');
      const { promptTokens, maxTokens } = ask;
      return { chain: chain.value, promptTokens, maxTokens };
    },
    onStart: (call) => add(call, 1),
    onFirstToken() {},
    onEnd: (call) => add(call, -1),
    onLoad: ({ load }) => reported.set(load.engine, load.running + load.queued),
  };
}

export function createRoundRobin(): PickEngine {
  let next = 0;
  return (options) => {
    next += 1;
    return options[next % options.length] as BenchEngine;
  };
}

export function createLeastLoaded(): PickEngine {
  return (options, { reported }) =>
    options.reduce((a, b) => (getCalls(reported, b) < getCalls(reported, a) ? b : a));
}

export function createPowerOfTwo(): PickEngine {
  return (options, { reported, own }, random) => {
    const a = options[random.nextInt(options.length)] as BenchEngine;
    const b = options[random.nextInt(options.length)] as BenchEngine;
    const count = (engine: BenchEngine) =>
      getCalls(reported, engine) + getCalls(own, engine) / (engine.facts.maxBatch + 1);
    return count(b) < count(a) ? b : a;
  };
}

function getCalls(counts: ReadonlyMap<EngineId, number>, { facts }: BenchEngine): number {
  return counts.get(facts.id) ?? 0;
}
