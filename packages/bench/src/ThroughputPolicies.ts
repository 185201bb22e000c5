/** The routing policies that the throughput bench compares: the router and the baselines. */
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

/** Chain selection of one entry instance, based on its own calls and on delayed load reports. */
export interface BenchPolicy {
  /** Returns a chain, or null while the request has to wait. */
  choose(ask: ChainQuery): RoutedCall | null;
  onStart(call: RoutedCall, now: Millis): void;
  onFirstToken(call: RoutedCall, now: Millis): void;
  onEnd(call: RoutedCall, firstTokenMs: Millis, tokenGapMs: Millis | null, now: Millis): void;
  onLoad(seen: SeenEngineLoad, now: Millis): void;
}

const PLAN_PERIOD_MS = 100;

/** Creates the policy under test, which uses the chain selection and plans of the router. */
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

/** Calls by engine that a baseline may use: those in the load reports, and the instance's own. */
export interface BaselineView {
  readonly reported: ReadonlyMap<EngineId, number>;
  readonly own: ReadonlyMap<EngineId, number>;
}

export type PickEngine = (
  candidates: readonly BenchEngine[],
  view: BaselineView,
  random: Random,
) => BenchEngine;

/**
 * Creates a policy that picks the engine of each stage in turn. It holds back new calls above `maxCalls`,
 * as the router does with its own limit.
 */
export function createBaselinePolicy(
  engines: readonly BenchEngine[],
  maxCalls: number,
  createPickEngine: () => PickEngine,
  random: Random,
): BenchPolicy {
  const reported = new Map<EngineId, number>();
  const own = new Map<EngineId, number>();
  const pickEngine = createPickEngine();
  let runningCalls = 0;

  function updateCallCounts(call: RoutedCall, change: number): void {
    runningCalls += change;
    call.chain.stages.forEach(({ engine }) => own.set(engine, (own.get(engine) ?? 0) + change));
  }

  return {
    choose(ask) {
      if (runningCalls >= maxCalls) {
        return null;
      }
      const stages: Stage[] = [];
      for (let layer = 0; layer < ask.layerCount;) {
        const candidates = engines.filter(
          ({ facts, holding }) => facts.domain === ask.domain && holding.layers.first === layer,
        );
        const { facts, holding } = pickEngine(candidates, { reported, own }, random);
        stages.push({ engine: facts.id, layers: holding.layers });
        layer = holding.layers.end;
      }
      const chain = createChain(BENCH_VARIANT, ask.layerCount, stages);
      invariant(chain.ok, 'engines whose layer ranges are contiguous form a chain');
      const { promptTokens, maxTokens } = ask;
      return { chain: chain.value, promptTokens, maxTokens };
    },
    onStart: (call) => updateCallCounts(call, 1),
    onFirstToken() {},
    onEnd: (call) => updateCallCounts(call, -1),
    onLoad: ({ load }) => reported.set(load.engine, load.running + load.queued),
  };
}

export function createRoundRobin(): PickEngine {
  let next = 0;
  return (candidates) => {
    next += 1;
    return candidates[next % candidates.length] as BenchEngine;
  };
}

export function createLeastLoaded(): PickEngine {
  return (candidates, { reported }) =>
    candidates.reduce((a, b) => (getCallCount(reported, b) < getCallCount(reported, a) ? b : a));
}

export function createPowerOfTwo(): PickEngine {
  return (candidates, { reported, own }, random) => {
    const a = candidates[random.nextInt(candidates.length)] as BenchEngine;
    const b = candidates[random.nextInt(candidates.length)] as BenchEngine;
    const computeLoad = (engine: BenchEngine) =>
      getCallCount(reported, engine) + getCallCount(own, engine) / (engine.facts.maxBatch + 1);
    return computeLoad(b) < computeLoad(a) ? b : a;
  };
}

function getCallCount(counts: ReadonlyMap<EngineId, number>, { facts }: BenchEngine): number {
  return counts.get(facts.id) ?? 0;
}
