/**
 * Simulates one domain in virtual time: instances with reports of each other's work that are 200 ms old choose chains, and
 * engines prefill prompts in chunks between decode steps. The instances choose by `selectChain` itself.
 */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import { selectChain } from '../../RoutingChoice.js';
import { refreshPlans } from '../../RoutingPlans.js';
import type { RoutedCall, RoutingState } from '../../RoutingState.js';
import {
  createRoutingState,
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
  setEngines,
  setLoads,
  setRoutingFacts,
} from '../../RoutingState.js';
import { getOwnWork } from '../../RoutingCalls.js';
import { shouldYield } from '../../RoutingUrgency.js';

const LAYER_COUNT = 80;
const VARIANT = { model: 'notes', version: '1', adapter: null };
/** Target for the first token. */
const TARGET: Millis = 500;
/** Time until queues and running answers are at their usual number. */
const WARM_UP: Millis = 8000;
/** Mean number of prompt tokens. */
export const USUAL_PROMPT_TOKENS = 793;
const REPORT_PERIOD: Millis = 200;
/** Time between tokens of a running answer. */
const TOKEN_TIME: Millis = 45;

/** A prompt as the order of an engine's queue sees it. */
export interface QueuedPrompt {
  readonly tokens: number;
  readonly sentAt: Millis;
  /** A random number in [0, 1). */
  readonly draw: number;
}

/** A way to choose chains and to order the engines' queues. */
export interface PrefillWay {
  readonly name: string;
  readonly isMemoryShared?: boolean;
  readonly chunkTokens?: number;
  /** Prompts with a lower rank go first, among equals those that arrived first; one that has begun is finished before. */
  readonly getRank?: (prompt: QueuedPrompt) => number;
  /** Engines that a prompt may not use. */
  readonly listAvoided?: (tokens: number, engines: readonly BedEngine[]) => readonly EngineId[];
}

/** An engine with its layers. */
export interface BedEngine {
  readonly facts: EngineFacts;
  readonly layers: LayerRange;
  readonly column: number;
}

/** What arrives, and what fails. */
export interface PrefillLoad {
  /** Instances of the domain. */
  readonly instances: number;
  readonly requestsPerSecond: number;
  readonly duration: Millis;
  readonly seed: number;
  /** An engine that stops its prefill, and when. */
  readonly stops?: { readonly engine: EngineId; readonly at: Millis };
}

/** A request that got its first token, or was refused: then its time is Infinity. */
export interface Sample {
  readonly tokens: number;
  readonly firstToken: Millis;
  readonly sentAt: Millis;
  readonly engines: readonly EngineId[];
}

interface Prompt {
  readonly tokens: number;
  readonly sentAt: Millis;
  readonly rank: number;
  readonly call: RoutedCall;
  readonly by: number;
  readonly stage: number;
  left: number;
  readonly order: number;
}

interface Server {
  readonly engine: BedEngine;
  readonly queue: Prompt[];
  running: number;
  isStopped: boolean;
}

const KINDS = {
  fast: { speed: 1, kv: 38_000 },
  medium: { speed: 0.6, kv: 26_000 },
  slow: { speed: 0.4, kv: 20_000 },
} as const;
/** Prompt tokens per second of a fast engine with all layers. */
const FAST_PROMPT_RATE = 12_000;
/** Decode step of a fast engine with all layers and a full batch. */
const FULL_STEP: Millis = 30;
const SLOTS = 134;

function createEngine(
  id: string,
  kind: keyof typeof KINDS,
  layers: LayerRange,
  column: number,
): BedEngine {
  const { speed, kv } = KINDS[kind];
  return {
    layers,
    column,
    facts: {
      id,
      domain: 'a',
      rack: 'a',
      address: { host: '127.0.0.1', port: 1 },
      accelerator: kind,
      decodeLayerTokensPerSecond: (SLOTS * LAYER_COUNT * speed * 1000) / FULL_STEP,
      prefillLayerTokensPerSecond: FAST_PROMPT_RATE * LAYER_COUNT * speed,
      weightBytes: 1e9,
      kvLayerTokens: kv * 6 * (layers.end - layers.first),
      maxBatch: SLOTS,
    },
  };
}

/** 28 engines of three kinds: four columns of 20 layers, two of which also have pairs of slow engines of 10 layers. */
export function createBedEngines(): readonly BedEngine[] {
  return [0, 1, 2, 3].flatMap((column) => {
    const first = column * 20;
    const whole = { first, end: first + 20 };
    const fast = [0, 1, 2, 3].map((i) => createEngine(`f${column}-${i}`, 'fast', whole, column));
    const others = [0, 1].flatMap((i) =>
      column % 2 === 0
        ? [
            createEngine(`s${column}-${i}a`, 'slow', { first, end: first + 10 }, column),
            createEngine(
              `s${column}-${i}b`,
              'slow',
              { first: first + 10, end: first + 20 },
              column,
            ),
          ]
        : [createEngine(`m${column}-${i}`, 'medium', whole, column)],
    );
    return [...fast, ...others];
  });
}

/** Runs the domain, and lists the requests in the order in which they got their first token. */
export function runPrefillLoad(way: PrefillWay, load: PrefillLoad): readonly Sample[] {
  const random = createRandom(load.seed);
  const choiceRandom = createRandom(load.seed + 1000);
  const orderRandom = createRandom(load.seed + 2000);
  const engines = createBedEngines();
  const servers = new Map<EngineId, Server>(
    engines.map((engine) => [engine.facts.id, { engine, queue: [], running: 0, isStopped: false }]),
  );
  const chunkTokens = way.chunkTokens ?? 512;
  const timers = createVirtualTimers();
  const { now, registerTimeout: after } = timers;
  let n = 0;
  const busy = new Set<Server>();
  const samples: Sample[] = [];

  const base = refreshPlans(
    setLoads(
      setRoutingFacts(
        setEngines(
          createRoutingState({
            instanceCount: load.instances,
            tokenGapMs: 150,
            promptTokensPerToken: 4,
          }),
          engines.map(({ facts }) => facts),
        ),
        {
          models: new Map([
            [
              'notes',
              { id: 'notes', activationBytes: 16384, isMemoryShared: way.isMemoryShared ?? false },
            ],
          ]),
        },
      ),
      engines.map((engine) => createReport(engine, 0, 0, 0, 0)),
    ),
    0,
  );
  const states: RoutingState[] = Array.from({ length: load.instances }, () => base);

  function createReport(
    { facts, layers }: BedEngine,
    running: number,
    kvTokens: number,
    prefillTokens: number,
    seenAt: Millis,
  ) {
    const kvUsed = Math.min(1, (kvTokens * (layers.end - layers.first)) / facts.kvLayerTokens);
    return {
      seenAt,
      load: {
        engine: facts.id,
        bootId: 'b',
        state: 'live' as const,
        holding: { model: 'notes', version: '1', adapters: [], layers, duty: 'mixed' as const },
        running,
        queued: 0,
        kvUsed,
        prefillTokens,
        orderNumber: 0,
      },
    };
  }

  /** Work of each instance at each engine, one report period ago. */
  let before = states.map((state) => engines.map(({ facts }) => getOwnWork(state, facts.id)));
  function exchangeReports(): void {
    const sums = engines.map((_, e) =>
      before.reduce(
        (sum, work) => ({
          calls: sum.calls + (work[e]?.calls ?? 0),
          kvTokens: sum.kvTokens + (work[e]?.kvTokens ?? 0),
          prefillTokens: sum.prefillTokens + (work[e]?.prefillTokens ?? 0),
        }),
        { calls: 0, kvTokens: 0, prefillTokens: 0 },
      ),
    );
    states.forEach((state, i) => {
      states[i] = setLoads(
        state,
        engines.map((engine, e) => {
          const own = getOwnWork(state, engine.facts.id);
          const old = before[i]?.[e] ?? own;
          const sum = sums[e] ?? own;
          return createReport(
            engine,
            sum.calls - old.calls + own.calls,
            sum.kvTokens - old.kvTokens + own.kvTokens,
            sum.prefillTokens - old.prefillTokens + own.prefillTokens,
            now(),
          );
        }),
      );
    });
    before = states.map((state) => engines.map(({ facts }) => getOwnWork(state, facts.id)));
    after(REPORT_PERIOD, exchangeReports);
  }

  function step(server: Server): void {
    if (busy.has(server) || server.isStopped || server.queue.length === 0) {
      return;
    }
    const { facts, layers } = server.engine;
    const layerCount = layers.end - layers.first;
    server.queue.sort(
      (a, b) =>
        Number(b.left < b.tokens) - Number(a.left < a.tokens) ||
        a.rank - b.rank ||
        a.order - b.order,
    );
    const taken: { prompt: Prompt; count: number }[] = [];
    let budget = chunkTokens;
    for (const prompt of server.queue) {
      if (budget > 0) {
        const count = Math.min(budget, prompt.left);
        taken.push({ prompt, count });
        budget -= count;
      }
    }
    const tokens = chunkTokens - budget;
    const share = 0.4 + 0.6 * Math.min(1, server.running / SLOTS);
    const decode =
      server.running > 0
        ? (share * SLOTS * layerCount * 1000) / facts.decodeLayerTokensPerSecond
        : 0;
    const time = decode + (tokens * layerCount * 1000) / facts.prefillLayerTokensPerSecond;
    busy.add(server);
    after(time, () => {
      busy.delete(server);
      for (const { prompt, count } of taken) {
        prompt.left -= count;
        if (prompt.left === 0) {
          server.queue.splice(server.queue.indexOf(prompt), 1);
          after(1, () => enterStage(prompt, prompt.stage + 1));
        }
      }
      step(server);
    });
  }

  function enterStage(prompt: Prompt, stage: number): void {
    const { stages } = prompt.call.chain;
    const server = servers.get(stages[stage]?.engine ?? '');
    if (!server) {
      start(prompt);
      return;
    }
    n += 1;
    server.queue.push({ ...prompt, stage, left: prompt.tokens, order: n });
    step(server);
  }

  /** The first token: the call runs until its answer ends. */
  function start({ by, call, tokens, sentAt }: Prompt): void {
    const update = (change: (state: RoutingState) => RoutingState): void => {
      states[by] = change(states[by] as RoutingState);
    };
    const engineIds = call.chain.stages.map(({ engine }) => engine);
    update((state) => recordFirstToken(state, call, now()));
    samples.push({ tokens, firstToken: now() - sentAt, sentAt, engines: engineIds });
    const change = (count: number): void =>
      engineIds.forEach((id) => {
        const server = servers.get(id);
        if (server) {
          server.running += count;
        }
      });
    change(1);
    after((call.answerTokens ?? 0) * TOKEN_TIME, () => {
      change(-1);
      const outcome = {
        kind: 'answered',
        firstTokenMs: 0,
        tokenGapMs: null,
        tokens: call.answerTokens,
      } as const;
      update((state) => recordCallEnd(state, call, outcome, true, now()));
    });
  }

  function arrive(): void {
    after(-Math.log(1 - random.nextFloat()) * (1000 / load.requestsPerSecond), arrive);
    const by = random.nextInt(load.instances);
    const tokens = Math.round(40 + 2260 * random.nextFloat() ** 2);
    const answerTokens = Math.round(20 + 400 * random.nextFloat());
    const state = states[by] as RoutingState;
    const avoided = way.listAvoided?.(tokens, engines) ?? [];
    const ask = {
      variant: VARIANT,
      layerCount: LAYER_COUNT,
      domain: 'a',
      priority: 'normal' as const,
      promptTokens: tokens,
      maxTokens: 700,
      answerTokens: 230,
      prefixKeys: [],
      avoidEngines: new Set(avoided),
      now: now(),
    };
    const choice = selectChain(state, ask, choiceRandom);
    if (!choice.ok) {
      samples.push({ tokens, firstToken: Infinity, sentAt: now(), engines: [] });
      return;
    }
    const call = { chain: choice.value.chain, promptTokens: tokens, maxTokens: 700, answerTokens };
    states[by] = recordCallStart(state, call);
    const rank = way.getRank?.({ tokens, sentAt: now(), draw: orderRandom.nextFloat() }) ?? 0;
    const prompt = { tokens, sentAt: now(), rank, call, by, stage: 0, left: tokens, order: 0 };
    after(1, () => enterStage(prompt, 0));
  }

  after(0, arrive);
  after(REPORT_PERIOD, exchangeReports);
  if (load.stops) {
    const { engine, at: time } = load.stops;
    after(time, () => {
      const server = servers.get(engine);
      if (server) {
        server.isStopped = true;
      }
    });
  }
  timers.advanceTo(load.duration);
  return samples;
}

/** Time to the first token of prompts of some length, in ms, and the share within the target. */
export interface PrefillResult {
  readonly count: number;
  readonly p50: Millis;
  readonly p95: Millis;
  readonly p99: Millis;
  readonly onTime: number;
}

/** Results of prompts with up to 400 tokens, up to 1,200 and more. */
export function summarizeSamples(samples: readonly Sample[]): readonly PrefillResult[] {
  return [
    [0, 400],
    [400, 1200],
    [1200, Infinity],
  ].map(([least = 0, end = 0]) => {
    const times = samples
      .filter(({ tokens, sentAt }) => sentAt >= WARM_UP && tokens >= least && tokens < end)
      .map(({ firstToken }) => firstToken)
      .sort((a, b) => a - b);
    const getQuantile = (share: number): Millis =>
      times[Math.floor(share * (times.length - 1))] ?? NaN;
    return {
      count: times.length,
      p50: getQuantile(0.5),
      p95: getQuantile(0.95),
      p99: getQuantile(0.99),
      onTime: times.filter((time) => time <= TARGET).length / times.length,
    };
  });
}

/** Engines of a column that only long prompts use if they have a pool of their own: they have 61 % of the tokens. */
const LONG_POOL = ['0', '1', '2'];

function isOfLongPool({ facts }: BedEngine): boolean {
  return facts.accelerator === 'fast' && LONG_POOL.includes(facts.id.slice(-1));
}

const getYieldRank = ({ tokens, draw }: QueuedPrompt): number =>
  Number(shouldYield(tokens, USUAL_PROMPT_TOKENS, 1, draw));

/** The ways that the design note compares. */
export const WAYS = {
  before: { name: 'score without pending prefill' },
  pool: {
    name: 'separate pool above 1,200 tokens',
    listAvoided: (tokens, engines) =>
      engines
        .filter((engine) => isOfLongPool(engine) !== tokens > 1200)
        .map(({ facts }) => facts.id),
  },
  shortest: { name: 'shortest first', getRank: ({ tokens }) => tokens },
  leastLeft: { name: 'least time left first', getRank: ({ sentAt }) => sentAt },
  chunks: { name: 'chunks of 256', chunkTokens: 256 },
  balanced: { name: 'pending prefill', isMemoryShared: true },
  yielding: { name: 'long prompts yield', getRank: getYieldRank },
  chosen: {
    name: 'pending prefill, long prompts yield',
    isMemoryShared: true,
    getRank: getYieldRank,
  },
} as const satisfies Record<string, PrefillWay>;
