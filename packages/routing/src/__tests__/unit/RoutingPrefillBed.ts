/**
 * Simulates one domain in virtual time: instances with reports of each other's work that are 200 ms old choose chains, and
 * engines prefill prompts in chunks between decode steps. The instances choose by `selectChain` itself.
 */
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
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
import type { OwnWork } from '../../RoutingTypes.js';
import { shouldYield } from '../../RoutingUrgency.js';

const LAYER_COUNT = 80;
const VARIANT = { model: 'notes', version: '1', adapter: null };
/** Target for the first token. */
const TARGET: Millis = 500;
/** Time until queues and the number of running answers are steady. */
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

/** A policy for the choice of chains and the order of the engines' queues. */
export interface PrefillPolicy {
  readonly name: string;
  readonly isMemoryShared?: boolean;
  readonly chunkTokens?: number;
  /** Prompts with a lower rank go first, among equals those that arrived first; one that has begun is finished before. */
  readonly getRank?: (prompt: QueuedPrompt) => number;
  /** Engines that a prompt may not use. */
  readonly listAvoided?: (tokens: number, engines: readonly BedEngine[]) => readonly EngineId[];
}

/** An engine of the simulated domain, with its layers. */
export interface BedEngine {
  readonly facts: EngineFacts;
  readonly layers: LayerRange;
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

/** A request that got its first token, or was refused; the time of a refused one is Infinity. */
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
  /** Index of the instance that sent it. */
  readonly instance: number;
}

/** A prompt in the queue of the engine of one stage. */
interface QueueEntry {
  readonly prompt: Prompt;
  readonly stage: number;
  /** Tokens that the engine has yet to prefill. */
  left: number;
  /** Number in the order of arrival. */
  readonly order: number;
}

interface Server {
  readonly engine: BedEngine;
  readonly queue: QueueEntry[];
  running: number;
  isStopped: boolean;
}

/** Kinds of accelerators: speed relative to a fast one, and a sixth of its memory for requests, in tokens. */
const KINDS = {
  fast: { speed: 1, kv: 38_000 },
  medium: { speed: 0.6, kv: 26_000 },
  slow: { speed: 0.4, kv: 20_000 },
} as const;
/** Prompt tokens per second of a fast engine with all layers. */
const FAST_PROMPT_RATE = 12_000;
/** Decode step of a fast engine with all layers and a full batch. */
const FULL_STEP: Millis = 30;
/** Calls in a full batch. */
const SLOTS = 134;

function createEngine(id: string, kind: keyof typeof KINDS, layers: LayerRange): BedEngine {
  const { speed, kv } = KINDS[kind];
  return {
    layers,
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

/** 28 engines of three kinds: four groups that hold 20 layers each, two of which also have pairs of slow engines of 10 layers. */
export function createBedEngines(): readonly BedEngine[] {
  return [0, 1, 2, 3].flatMap((group) => {
    const first = group * 20;
    const whole = { first, end: first + 20 };
    const fast = [0, 1, 2, 3].map((i) => createEngine(`f${group}-${i}`, 'fast', whole));
    const others = [0, 1].flatMap((i) =>
      group % 2 === 0
        ? [
            createEngine(`s${group}-${i}a`, 'slow', { first, end: first + 10 }),
            createEngine(`s${group}-${i}b`, 'slow', { first: first + 10, end: first + 20 }),
          ]
        : [createEngine(`m${group}-${i}`, 'medium', whole)],
    );
    return [...fast, ...others];
  });
}

const NO_WORK: OwnWork = { calls: 0, kvTokens: 0, prefillTokens: 0 };

function addWork(a: OwnWork, b: OwnWork, sign: 1 | -1 = 1): OwnWork {
  return {
    calls: a.calls + sign * b.calls,
    kvTokens: a.kvTokens + sign * b.kvTokens,
    prefillTokens: a.prefillTokens + sign * b.prefillTokens,
  };
}

function createReport({ facts, layers }: BedEngine, work: OwnWork, seenAt: Millis): SeenEngineLoad {
  const kvUsed = Math.min(1, (work.kvTokens * (layers.end - layers.first)) / facts.kvLayerTokens);
  return {
    seenAt,
    load: {
      engine: facts.id,
      bootId: 'b',
      state: 'live',
      holding: { model: 'notes', version: '1', adapters: [], layers, duty: 'mixed' },
      running: work.calls,
      queued: 0,
      kvUsed,
      prefillTokens: work.prefillTokens,
      orderNumber: 0,
    },
  };
}

function createInitialState(
  policy: PrefillPolicy,
  load: PrefillLoad,
  engines: readonly BedEngine[],
): RoutingState {
  const tuning = { instanceCount: load.instances, tokenGapMs: 150, promptTokensPerToken: 4 };
  const isMemoryShared = policy.isMemoryShared ?? false;
  const models = new Map([['notes', { id: 'notes', activationBytes: 16384, isMemoryShared }]]);
  const registered = setEngines(
    createRoutingState(tuning),
    engines.map(({ facts }) => facts),
  );
  const reports = engines.map((engine) => createReport(engine, NO_WORK, 0));
  return refreshPlans(setLoads(setRoutingFacts(registered, { models }), reports), 0);
}

/**
 * Returns a function that gives each instance the work of the others as it was at the previous call, and its own as it is
 * now.
 */
function createReportExchange(
  engines: readonly BedEngine[],
): (states: readonly RoutingState[], now: Millis) => RoutingState[] {
  let before: readonly (readonly OwnWork[])[] = [];
  return (states, now) => {
    const sums = engines.map((_, e) =>
      before.reduce((sum, work) => addWork(sum, work[e] ?? NO_WORK), NO_WORK),
    );
    const next = states.map((state, i) => {
      const reports = engines.map((engine, e) => {
        const own = getOwnWork(state, engine.facts.id);
        const others = addWork(sums[e] ?? NO_WORK, before[i]?.[e] ?? NO_WORK, -1);
        return createReport(engine, addWork(others, own), now);
      });
      return setLoads(state, reports);
    });
    before = states.map((state) => engines.map(({ facts }) => getOwnWork(state, facts.id)));
    return next;
  };
}

/** Takes the next chunk of an engine's queue: prompts that have begun first, then by rank and arrival. */
function takeChunk(queue: QueueEntry[], chunkTokens: number) {
  queue.sort(
    (a, b) =>
      Number(b.left < b.prompt.tokens) - Number(a.left < a.prompt.tokens) ||
      a.prompt.rank - b.prompt.rank ||
      a.order - b.order,
  );
  const parts: { readonly entry: QueueEntry; readonly count: number }[] = [];
  let budget = chunkTokens;
  for (const entry of queue) {
    if (budget > 0) {
      const count = Math.min(budget, entry.left);
      parts.push({ entry, count });
      budget -= count;
    }
  }
  return { parts, tokens: chunkTokens - budget };
}

/** Time of a chunk and of the decode step of the running calls that follows it. */
function getChunkTime({ engine: { facts, layers }, running }: Server, tokens: number): Millis {
  const layerCount = layers.end - layers.first;
  const share = 0.4 + 0.6 * Math.min(1, running / SLOTS);
  const decode =
    running > 0 ? (share * SLOTS * layerCount * 1000) / facts.decodeLayerTokensPerSecond : 0;
  return decode + (tokens * layerCount * 1000) / facts.prefillLayerTokensPerSecond;
}

/** The engines' queues. `onFirstToken` is called when the last stage of a chain has prefilled a prompt. */
function createQueues(
  engines: readonly BedEngine[],
  chunkTokens: number,
  { registerTimeout: after }: TimerService,
  onFirstToken: (prompt: Prompt) => void,
) {
  const servers = new Map<EngineId, Server>(
    engines.map((engine) => [engine.facts.id, { engine, queue: [], running: 0, isStopped: false }]),
  );
  /** Engines that prefill a chunk at the moment. */
  const busy = new Set<Server>();
  let arrivals = 0;

  function step(server: Server): void {
    if (busy.has(server) || server.isStopped || server.queue.length === 0) {
      return;
    }
    const { parts, tokens } = takeChunk(server.queue, chunkTokens);
    busy.add(server);
    after(getChunkTime(server, tokens), () => {
      busy.delete(server);
      for (const { entry, count } of parts) {
        entry.left -= count;
        if (entry.left === 0) {
          server.queue.splice(server.queue.indexOf(entry), 1);
          after(1, () => enterStage(entry.prompt, entry.stage + 1));
        }
      }
      step(server);
    });
  }

  function enterStage(prompt: Prompt, stage: number): void {
    const server = servers.get(prompt.call.chain.stages[stage]?.engine ?? '');
    if (!server) {
      onFirstToken(prompt);
      return;
    }
    arrivals += 1;
    server.queue.push({ prompt, stage, left: prompt.tokens, order: arrivals });
    step(server);
  }

  return {
    add: (prompt: Prompt): void => {
      after(1, () => enterStage(prompt, 0));
    },
    changeRunning(ids: readonly EngineId[], change: number): void {
      for (const id of ids) {
        const server = servers.get(id);
        if (server) {
          server.running += change;
        }
      }
    },
    stop(id: EngineId): void {
      const server = servers.get(id);
      if (server) {
        server.isStopped = true;
      }
    },
  };
}

/** Runs the domain, and lists the requests in the order in which they got their first token. */
export function runPrefillLoad(policy: PrefillPolicy, load: PrefillLoad): readonly Sample[] {
  const random = createRandom(load.seed);
  const choiceRandom = createRandom(load.seed + 1000);
  const orderRandom = createRandom(load.seed + 2000);
  const engines = createBedEngines();
  const timers = createVirtualTimers();
  const { now, registerTimeout: after } = timers;
  const samples: Sample[] = [];
  const initial = createInitialState(policy, load, engines);
  let states: RoutingState[] = Array.from({ length: load.instances }, () => initial);
  const queues = createQueues(engines, policy.chunkTokens ?? 512, timers, start);
  const exchangeReports = createReportExchange(engines);

  /** The first token: the call runs until its answer ends. */
  function start({ instance, call, tokens, sentAt }: Prompt): void {
    const update = (change: (state: RoutingState) => RoutingState): void => {
      states[instance] = change(states[instance] as RoutingState);
    };
    const ids = call.chain.stages.map(({ engine }) => engine);
    update((state) => recordFirstToken(state, call, now()));
    samples.push({ tokens, firstToken: now() - sentAt, sentAt, engines: ids });
    queues.changeRunning(ids, 1);
    after((call.answerTokens ?? 0) * TOKEN_TIME, () => {
      queues.changeRunning(ids, -1);
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
    const instance = random.nextInt(load.instances);
    const tokens = Math.round(40 + 2260 * random.nextFloat() ** 2);
    const answerTokens = Math.round(20 + 400 * random.nextFloat());
    const state = states[instance] as RoutingState;
    const ask = {
      variant: VARIANT,
      layerCount: LAYER_COUNT,
      domain: 'a',
      priority: 'normal' as const,
      promptTokens: tokens,
      maxTokens: 700,
      answerTokens: 230,
      prefixKeys: [],
      avoidEngines: new Set(policy.listAvoided?.(tokens, engines) ?? []),
      now: now(),
    };
    const choice = selectChain(state, ask, choiceRandom);
    if (!choice.ok) {
      samples.push({ tokens, firstToken: Infinity, sentAt: now(), engines: [] });
      return;
    }
    const call = { chain: choice.value.chain, promptTokens: tokens, maxTokens: 700, answerTokens };
    states[instance] = recordCallStart(state, call);
    const rank = policy.getRank?.({ tokens, sentAt: now(), draw: orderRandom.nextFloat() }) ?? 0;
    queues.add({ tokens, sentAt: now(), rank, call, instance });
  }

  after(0, arrive);
  timers.registerInterval(REPORT_PERIOD, () => {
    states = exchangeReports(states, now());
  });
  if (load.stops) {
    const { engine, at } = load.stops;
    after(at, () => queues.stop(engine));
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

/** Last digits of the fast engines of each group that form the pool of long prompts, which have 61 % of the tokens. */
const LONG_POOL_DIGITS = ['0', '1', '2'];

function isInLongPool({ facts }: BedEngine): boolean {
  return facts.accelerator === 'fast' && LONG_POOL_DIGITS.includes(facts.id.slice(-1));
}

const getYieldRank = ({ tokens, draw }: QueuedPrompt): number =>
  Number(shouldYield(tokens, USUAL_PROMPT_TOKENS, 1, draw));

/** The policies that docs/design/prompt-lengths.md compares. */
export const POLICIES = {
  before: { name: 'score without pending prefill' },
  pool: {
    name: 'separate pool above 1,200 tokens',
    listAvoided: (tokens, engines) =>
      engines
        .filter((engine) => isInLongPool(engine) !== tokens > 1200)
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
} as const satisfies Record<string, PrefillPolicy>;
