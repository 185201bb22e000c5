/** A failure domain in virtual time: instances with the product's routing and exchange of work, and engines that only take time. */
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import type { DaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import { createDaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { EngineCall, EngineCallListener } from '@skylarksail/requests/RequestPorts';
import type { ChainRequest } from '@skylarksail/requests/RequestTypes';
import type { ObservedEngine } from '@skylarksail/routing/RoutingSlowness';
import { getOwnWork } from '@skylarksail/routing/RoutingCalls';
import type { RelayWork, WorkReport } from '../../RelayWork.js';
import { createRelayWork } from '../../RelayWork.js';

export const INSTANCES = 20;
const GROUP_SIZES = [6, 6, 6, 5, 5];
const GROUP_LAYERS = 16;
const LAYERS = GROUP_SIZES.length * GROUP_LAYERS;
const SLOTS = 48;
/** Time of a step of one engine with a full batch, and the part of it that does not depend on the batch, in ms. */
const FULL_STEP = 5;
const FIXED_SHARE = 0.3;
/** Time that one engine takes for a prompt, in ms. */
const PREFILL_TIME = 16;
const EVENT_TOKENS = 5;
const PROMPT_TOKENS = 800;
const ANSWER_TOKENS = 230;
/** Requests per second, for some eight running answers per instance. */
const RATE = 32;
const REPORT_PERIOD: Millis = 200;
/** Instances that sum the work of the domain; the others ask them in turn. */
const AGGREGATORS = 2;

/** A request's start, with the engines of its chain. */
export interface StartedRequest {
  readonly at: Millis;
  readonly instance: number;
  readonly engines: readonly EngineId[];
}

export interface SlownessBedOptions {
  readonly seed: number;
  readonly isMemoryShared?: boolean;
  /** Changes what an instance reports to the aggregators. */
  readonly forgeReport?: (instance: number, work: WorkReport) => WorkReport;
  /** Time between tokens that an instance adds to all of its own answers. */
  readonly getOwnDelay?: (instance: number) => Millis;
  /** Whether an instance's reports reach the aggregators, and their answers the instance. */
  readonly isConnected?: () => boolean;
}

export interface SlownessBed {
  readonly engines: readonly EngineId[];
  readonly requests: readonly StartedRequest[];
  readonly refused: () => number;
  readonly routings: readonly DaemonRouting[];
  setSlow(engines: readonly EngineId[], factor: number): void;
  advanceTo(time: Millis): void;
  /** Share of the engine visits of requests that began in a period which are visits of these engines. */
  getPart(engines: readonly EngineId[], from: Millis, to: Millis): number;
  /** Speeds below the usual one, by engine, at an instance. */
  listSpeeds(instance: number): ReadonlyMap<EngineId, number>;
}

function createEngines(): readonly { readonly facts: EngineFacts; readonly layers: LayerRange }[] {
  return GROUP_SIZES.flatMap((size, group) =>
    Array.from({ length: size }, (_, i) => ({
      layers: { first: group * GROUP_LAYERS, end: (group + 1) * GROUP_LAYERS },
      facts: {
        id: `e${group}-${i}`,
        domain: 'd',
        rack: 'd',
        address: { host: '127.0.0.1', port: 1 },
        accelerator: 'kind',
        decodeLayerTokensPerSecond: (GROUP_LAYERS * SLOTS * 1000) / FULL_STEP,
        prefillLayerTokensPerSecond: (GROUP_LAYERS * PROMPT_TOKENS * 1000) / PREFILL_TIME,
        weightBytes: 1e9,
        kvLayerTokens: 1e6,
        maxBatch: SLOTS,
      },
    })),
  );
}

export function createSlownessBed(options: SlownessBedOptions): SlownessBed {
  const timers = createVirtualTimers();
  const random = createRandom(options.seed);
  const engines = createEngines();
  const running = new Map<EngineId, number>(engines.map(({ facts }) => [facts.id, 0]));
  const slow = new Map<EngineId, number>();
  const requests: StartedRequest[] = [];
  let refused = 0;

  function getStepTime(engine: EngineId): Millis {
    const load = FIXED_SHARE + (1 - FIXED_SHARE) * Math.min(1, (running.get(engine) ?? 0) / SLOTS);
    const prefills = (RATE / GROUP_SIZES[0]!) * (FULL_STEP / 1000) * load;
    const prefill = random.nextFloat() < prefills ? PREFILL_TIME : 0;
    const noise = 0.85 + 0.3 * random.nextFloat();
    return (FULL_STEP * load * noise + prefill) * (slow.get(engine) ?? 1);
  }

  function open(instance: number, call: EngineCall, listener: EngineCallListener) {
    const ids = call.chain.stages.map(({ engine }) => engine);
    const tokens = Math.round(ANSWER_TOKENS * (0.5 + random.nextFloat()));
    const own = options.getOwnDelay ?? (() => 0);
    ids.forEach((id) => running.set(id, (running.get(id) ?? 0) + 1));
    const getEventTime = (): Millis => {
      let time = 0;
      for (let i = 0; i < EVENT_TOKENS; i += 1) {
        for (const id of ids) {
          time += getStepTime(id);
        }
        time += own(instance);
      }
      return time;
    };
    const emit = (sent: number): void => {
      if (sent >= tokens) {
        ids.forEach((id) => running.set(id, (running.get(id) ?? 0) - 1));
        listener.onEnd('stop', sent);
        return;
      }
      listener.onToken(sent, 'x');
      timers.registerTimeout(getEventTime(), () => emit(sent + EVENT_TOKENS));
    };
    const prefill = ids.reduce((sum, id) => sum + PREFILL_TIME * (slow.get(id) ?? 1), 0);
    timers.registerTimeout(prefill + getEventTime(), () => emit(0));
    return () => undefined;
  }

  const works: RelayWork[] = [];
  const routings = Array.from({ length: INSTANCES }, (_, i) => {
    const routing = createDaemonRouting({
      domain: 'd',
      timers,
      random,
      decisions: { record: () => undefined, read: () => [] },
      listDraining: () => [],
      isBrief: true,
      readPeerSlowness: () => works[i]?.getSlowEngines() ?? null,
    });
    const isMemoryShared = options.isMemoryShared ?? true;
    const model = { id: 'm', activationBytes: 16384, usualAnswerTokens: 230, isMemoryShared };
    routing.setFleetFacts({
      models: new Map([['m', model]]),
      tuning: { tokenGapMs: 150, instanceCount: INSTANCES, foreignInstanceCount: 0 },
    });
    routing.setEngineFacts(engines.map(({ facts }) => facts));
    works.push(
      createRelayWork({
        timers,
        self: `i${i}`,
        readOwnWork: () => readOwnWork(i),
        isAggregator: () => i < AGGREGATORS,
        onPeerWork: () => undefined,
        onLost: () => undefined,
      }),
    );
    return routing;
  });

  function readOwnWork(instance: number): WorkReport {
    const state = routings[instance]!.getState();
    const list = engines.map(({ facts: { id } }) => ({ engine: id, ...getOwnWork(state, id) }));
    const slowOnes: readonly ObservedEngine[] = routings[instance]!.listSlowEngines();
    const work = {
      running: list.filter(({ calls }) => calls > 0),
      lost: [],
      ...(slowOnes.length > 0 ? { slow: slowOnes.slice(0, 32) } : {}),
    };
    return options.forgeReport?.(instance, work) ?? work;
  }

  function setLoads(instance: number): void {
    const state = routings[instance]!.getState();
    const loads = engines.map(({ facts: { id, kvLayerTokens }, layers }) => {
      const own = getOwnWork(state, id);
      const others = works[instance]!.getPeerWork(id) ?? { calls: 0, kvTokens: 0 };
      const used = (own.kvTokens + others.kvTokens) * GROUP_LAYERS;
      return {
        seenAt: timers.now(),
        load: {
          engine: id,
          bootId: id,
          state: 'live' as const,
          holding: { model: 'm', version: '1', adapters: [], layers, duty: 'mixed' as const },
          running: own.calls + others.calls,
          queued: 0,
          kvUsed: Math.min(1, used / kvLayerTokens),
          orderNumber: 0,
        },
      };
    });
    routings[instance]!.setEngineLoads(loads);
  }

  /** One query: the work goes with it, and the sum of the others' work comes back when the query was held to its end. */
  function query(instance: number, turn: number): void {
    const connected = options.isConnected?.() ?? true;
    const aggregator = works[turn % AGGREGATORS]!;
    if (instance >= AGGREGATORS && connected) {
      aggregator.recordReport(`i${instance}`, readOwnWork(instance));
    }
    timers.registerTimeout(REPORT_PERIOD, () => {
      if (instance >= AGGREGATORS && connected) {
        works[instance]!.recordSummary(aggregator.summarizeFor(`i${instance}`));
      }
      setLoads(instance);
      query(instance, turn + 1);
    });
  }

  function start(instance: number): void {
    const routing = routings[instance]!;
    const spec = {
      id: 'r',
      team: 't',
      model: 'm',
      variant: { model: 'm', version: '1', adapter: null },
      layerCount: LAYERS,
      prompt: '',
      maxTokens: 700,
      priority: 'normal',
      deadline: 20_000,
      idempotencyKey: null,
      idempotent: true,
      prefixKeys: [],
    } as const;
    const request: ChainRequest = {
      spec,
      contextTokens: PROMPT_TOKENS,
      begunVersion: null,
      avoid: [],
    };
    const choice = routing.chooseChain(request);
    if (choice.kind === 'none') {
      refused += 1;
      return;
    }
    const ids = choice.chain.stages.map(({ engine }) => engine);
    requests.push({ at: timers.now(), instance, engines: ids });
    const begunAt = timers.now();
    let firstAt: Millis | null = null;
    const call = { chain: choice.chain } as EngineCall;
    routing.trackTokenGaps((c, listener) => open(instance, c, listener))(call, {
      onAcknowledged: () => undefined,
      onToken() {
        if (firstAt === null) {
          firstAt = timers.now();
          choice.hold.noteFirstToken();
        }
      },
      onEnd(_reason, count) {
        const meanGap = (timers.now() - (firstAt ?? 0)) / Math.max(1, count / EVENT_TOKENS - 1);
        choice.hold.release({
          kind: 'answered',
          firstToken: (firstAt ?? begunAt) - begunAt,
          meanGap,
        });
      },
      onFailure: () => undefined,
    });
  }

  routings.forEach((routing, i) => {
    setLoads(i);
    routing.start();
    timers.registerTimeout((i * REPORT_PERIOD) / INSTANCES, () => query(i, i));
  });
  const arrive = (): void => {
    start(random.nextInt(INSTANCES));
    timers.registerTimeout((-Math.log(1 - random.nextFloat()) * 1000) / RATE, arrive);
  };
  timers.registerTimeout(10, arrive);

  return {
    engines: engines.map(({ facts }) => facts.id),
    requests,
    refused: () => refused,
    routings,
    setSlow: (ids, factor) => ids.forEach((id) => slow.set(id, factor)),
    advanceTo: timers.advanceTo,
    getPart(ids, from, to) {
      const visits = requests.filter(({ at }) => at >= from && at < to).flatMap((r) => r.engines);
      return visits.filter((id) => ids.includes(id)).length / Math.max(1, visits.length);
    },
    listSpeeds(instance) {
      const { buckets } = routings[instance]!.getState().health;
      return new Map(
        buckets
          .flatMap((bucket) => [...bucket])
          .flatMap(([id, { speed = 1 }]) => (speed < 1 ? [[id, speed] as const] : [])),
      );
    },
  };
}
