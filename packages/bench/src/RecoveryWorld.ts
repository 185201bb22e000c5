/** A simulated fleet under steady load for the recovery bench; its callers check every token. */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimOutcome, ClaimPort, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { DecisionRecord, RouterMetric } from '@skylarksail/requests/RouterTypes';
import { createRoutingState, setEngines, setRoutingFacts } from '@skylarksail/routing/RoutingState';
import type { RoutingState } from '@skylarksail/routing/RoutingTypes';
import { createVirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import { createLinkLookup } from './BenchLinks.js';
import type { InstanceOptions } from './RecoveryInstance.js';
import type { RecoveryInstance, RecoveryWorld, RequestTrace } from './RecoveryTypes.js';
import type { BenchShape, BenchRequestKind } from './ThroughputShapes.js';
import { BENCH_ACTIVATION_BYTES, BENCH_VARIANT } from './ThroughputShapes.js';

export interface WorldOptions {
  readonly seed: number;
  readonly shape: BenchShape;
  /** Requests per second over all instances. */
  readonly requestsPerSecond: number;
  readonly createInstance: (options: InstanceOptions) => RecoveryInstance;
  readonly onMetric: (metric: RouterMetric) => void;
  /** Share of the requests sent to the first domain's instances; by default all instances get the same. */
  readonly firstDomainShare?: number;
}

const ENTRY_DELAY = 0.3;
const KV_BYTES_PER_LAYER = 4096;
const DEADLINE: Millis = 60_000;
/** One request in this many has an idempotency key and must not run twice. */
const KEYED_EVERY = 10;
const CLAIM_LATENCY: Millis = 5;
const TIME_STEP: Millis = 5;
const LENGTH_SPREAD = 0.5;
/** Time in which a load balancer routes a caller's resend to another instance. */
const RESEND_DELAY: Millis = 50;
const GOSSIP_PERIOD: Millis = 200;
/** Time in which membership detects that a domain is partitioned or reachable again. */
const REACH_DETECTION_DELAY: Millis = 2000;
const CANCEL_RETRY: Millis = 100;
/** A prompt with this prefix crashes the engine that first computes it. */
export const POISON_PREFIX = 'poison';

/** Creates the simulation; its time passes only when its timers are advanced. */
export function createRecoveryWorld(options: WorldOptions): RecoveryWorld {
  const { shape, seed } = options;
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const traces: RequestTrace[] = [];
  const tracesById = new Map<string, RequestTrace>();
  let isPlatformUp = true;
  let wrongAnswers = 0;
  let requestCount = 0;
  const killedInstances = new Set<number>();
  const domainOf = new Map(shape.engines.map(({ facts }) => [facts.id, facts.domain]));
  let isolatedDomain: string | null = null;

  const fleet = createVirtualFleet({
    timers,
    engines: shape.engines,
    getLink: createLinkLookup(shape),
    activationBytes: BENCH_ACTIVATION_BYTES,
    kvBytesPerLayer: KV_BYTES_PER_LAYER,
    entryDelayMs: ENTRY_DELAY,
    readPrompt: (prompt) => {
      const [prefixKey = null, prefix, own] = prompt.split('/');
      return { tokens: Number(prefix) + Number(own), prefixKey, prefixTokens: Number(prefix) };
    },
    createToken: (call, index) => `${call.request}:${index} `,
    isPoison: (call) => call.prompt.startsWith(POISON_PREFIX),
  });

  const claims: ClaimPort = {
    claim: (ask) =>
      new Promise<ClaimOutcome>((resolve) => {
        const until = timers.now() + ask.timeLeft;
        function tryClaim(): void {
          if (isPlatformUp) {
            resolve({ kind: 'granted', token: ask.request });
          } else if (timers.now() >= until) {
            resolve({ kind: 'unavailable', retryAfter: MILLIS_PER_SECOND });
          } else {
            timers.registerTimeout(CLAIM_LATENCY, tryClaim);
          }
        }
        timers.registerTimeout(CLAIM_LATENCY, tryClaim);
      }),
    settle: () => undefined,
    release: () => undefined,
  };

  function onDecision(record: DecisionRecord): void {
    const trace = tracesById.get(record.request);
    if (!trace) {
      return;
    }
    if (record.decision === 'chain' || record.decision === 'repair') {
      trace.engines = (record.chain ?? '').split(/ > |,/).map((stage) => stage.split('[')[0] ?? '');
    }
    const isDetection = record.decision === 'attempt-failed' || record.decision === 'repair';
    if (isDetection && trace.detectedAt === null) {
      trace.detectedAt = timers.now();
    }
  }

  function isReachable(domain: string, engine: string): boolean {
    const other = domainOf.get(engine);
    return isolatedDomain === null || (domain === isolatedDomain) === (other === isolatedDomain);
  }

  /**
   * Opens the engine calls of a domain's instances. A partition silently drops everything that crosses it;
   * a cancellation is retried until the partition heals.
   */
  function createOpenCall(domain: string): OpenEngineCall {
    return (call, listener) => {
      const [first] = call.chain.stages;
      const canPass = (): boolean => !first || isReachable(domain, first.engine);
      if (!canPass()) {
        return () => undefined;
      }
      const deliver = (notify: () => void): void => (canPass() ? notify() : undefined);
      const cancel = fleet.open(call, {
        onAcknowledged: (ack) => deliver(() => listener.onAcknowledged(ack)),
        onToken: (index, token) => deliver(() => listener.onToken(index, token)),
        onEnd: (reason, tokenCount) => deliver(() => listener.onEnd(reason, tokenCount)),
        onFailure: (failure) => deliver(() => listener.onFailure(failure)),
      });
      function tryCancel(): void {
        if (canPass()) {
          cancel();
        } else {
          timers.registerTimeout(CANCEL_RETRY, tryCancel);
        }
      }
      return tryCancel;
    };
  }

  const instances = shape.domains.flatMap((domain, d) =>
    Array.from({ length: shape.instancesPerDomain }, (_, i) =>
      options.createInstance({
        timers,
        seed: seed + 1 + d * shape.instancesPerDomain + i,
        domain,
        layerCount: shape.layerCount,
        fleet: {
          readLoads: () => fleet.readLoads().filter(({ engine }) => isReachable(domain, engine)),
        },
        open: createOpenCall(domain),
        claims,
        routing: createInitialRouting(shape, domain),
        onDecision,
        onCount: options.onMetric,
      }),
    ),
  );

  function submit(
    prompt: string,
    maxTokens: number,
    priority: BenchRequestKind['priority'],
    instance: number,
    isKeyed: boolean,
  ): RequestTrace {
    requestCount += 1;
    const id = `r${requestCount}`;
    const [, prefix, own] = prompt.split('/');
    const trace: RequestTrace = {
      id,
      instance,
      isKeyed,
      submittedAt: timers.now(),
      tokenTimes: [],
      engines: [],
      detectedAt: null,
      endedAt: null,
      problem: null,
      resentAs: null,
    };
    traces.push(trace);
    tracesById.set(id, trace);
    const spec: RequestSpec = {
      id,
      team: prompt.startsWith(POISON_PREFIX) ? POISON_PREFIX : `team${requestCount % 10}`,
      model: BENCH_VARIANT.model,
      variant: BENCH_VARIANT,
      layerCount: shape.layerCount,
      prompt: `${prompt}/${id}`,
      promptTokens: Number(prefix) + Number(own),
      maxTokens,
      priority,
      deadline: timers.now() + DEADLINE,
      idempotencyKey: isKeyed ? id : null,
      idempotent: !isKeyed,
      prefixKeys: [],
    };
    const isPoison = prompt.startsWith(POISON_PREFIX);
    instances[instance]?.submit(isPoison ? { ...spec, prompt } : spec, {
      onStart: () => undefined,
      onToken(index, token) {
        const isExpected = index === trace.tokenTimes.length && token === `${id}:${index} `;
        wrongAnswers += isExpected ? 0 : 1;
        trace.tokenTimes.push(timers.now());
      },
      onEnd() {
        wrongAnswers += trace.tokenTimes.length === maxTokens && trace.endedAt === null ? 0 : 1;
        trace.endedAt = timers.now();
      },
      onError(problem) {
        wrongAnswers += trace.endedAt === null ? 0 : 1;
        trace.endedAt = timers.now();
        trace.problem = `${problem.kind} ${problem.run}`;
        if (killedInstances.has(instance) && !isKeyed) {
          timers.registerTimeout(RESEND_DELAY, () => resend(trace, prompt, maxTokens, priority));
        }
      },
    });
    return trace;
  }

  /** Sends the whole request to another instance, like a caller whose connection broke. */
  function resend(
    trace: RequestTrace,
    prompt: string,
    maxTokens: number,
    priority: BenchRequestKind['priority'],
  ): void {
    Object.assign(trace, {
      problem: null,
      resentAs: submit(prompt, maxTokens, priority, pickInstance(), false),
    });
  }

  function pickInstance(): number {
    const all = instances.map((_, i) => i).filter((i) => !killedInstances.has(i));
    const { firstDomainShare } = options;
    const isFirst = firstDomainShare !== undefined && random.nextFloat() < firstDomainShare;
    const live =
      firstDomainShare === undefined
        ? all
        : all.filter((i) => i < shape.instancesPerDomain === isFirst);
    return live[random.nextInt(live.length)] ?? 0;
  }

  function sendNext(): void {
    const work = pickWork(shape.work, random);
    const own = drawLength(work.ownTokens, random);
    const prompt = `${work.name}-${random.nextInt(work.templates)}/${work.prefixTokens}/${own}`;
    const isKeyed = requestCount % KEYED_EVERY === 0;
    submit(prompt, drawLength(work.answerTokens, random), work.priority, pickInstance(), isKeyed);
    const gap = MILLIS_PER_SECOND / options.requestsPerSecond;
    timers.registerTimeout(-Math.log(1 - random.nextFloat()) * gap, sendNext);
  }

  function gossip(): void {
    const digests = instances.map((instance) => instance.getPoisonDigest());
    instances.forEach((instance) => digests.forEach((digest) => instance.mergePoison(digest)));
  }

  timers.registerTimeout(MILLIS_PER_SECOND, sendNext);
  timers.registerInterval(GOSSIP_PERIOD, gossip);
  return {
    shape,
    timers,
    fleet,
    instances,
    traces,
    get tallies() {
      const { started } = fleet.readLedger();
      const keyed = traces.filter((trace) => trace.isKeyed);
      const doubled = keyed.filter(({ id }) => (started.get(id) ?? 0) > 1).length;
      const lost = traces.filter((trace) => isLost(trace, started, timers.now())).length;
      return { lost, doubled, cutOff: wrongAnswers };
    },
    async advanceTo(time) {
      while (timers.now() < time) {
        timers.advanceTo(Math.min(time, timers.now() + TIME_STEP));
        await new Promise(setImmediate);
      }
    },
    setPlatformUp(isUp) {
      isPlatformUp = isUp;
    },
    setPartitionedDomain(domain) {
      const before = isolatedDomain;
      isolatedDomain = domain;
      timers.registerTimeout(REACH_DETECTION_DELAY, () => {
        const changedDomain = domain ?? before;
        for (const instance of instances) {
          shape.domains
            .filter((other) => other !== instance.domain)
            .filter((other) => (instance.domain === changedDomain) !== (other === changedDomain))
            .forEach((other) => instance.setDomainReach(other, domain === null));
        }
      });
    },
    killInstance(index) {
      killedInstances.add(index);
      instances[index]?.kill();
    },
    send: (prompt, instance) => submit(prompt, 32, 'normal', instance, false),
  };
}

/**
 * Whether a request is lost: it has neither an answer nor an error by its deadline, its error wrongly says
 * that it did not run, or it is idempotent and failed although it may have run (unless it was refused as
 * a poison request).
 */
function isLost(trace: RequestTrace, started: ReadonlyMap<string, number>, now: Millis): boolean {
  if (trace.endedAt === null) {
    return now > trace.submittedAt + DEADLINE;
  }
  if (trace.problem === null) {
    return false;
  }
  const reportsNotRun = trace.problem.endsWith('not-run');
  const isWrongReport = reportsNotRun && (started.get(trace.id) ?? 0) > 0;
  return isWrongReport || (!trace.isKeyed && !reportsNotRun && !trace.problem.startsWith('poison'));
}

function pickWork(work: readonly BenchRequestKind[], random: Random): BenchRequestKind {
  let draw = random.nextFloat();
  const found = work.find(({ share }) => {
    draw -= share;
    return draw < 0;
  });
  return found ?? (work.at(-1) as BenchRequestKind);
}

function drawLength(mean: number, random: Random): number {
  return Math.max(
    1,
    Math.round(mean * (1 - LENGTH_SPREAD + 2 * LENGTH_SPREAD * random.nextFloat())),
  );
}

function createInitialRouting(shape: BenchShape, domain: string): RoutingState {
  const instanceCount = shape.instancesPerDomain;
  const foreignInstanceCount = (shape.domains.length - 1) * instanceCount;
  const models = new Map([
    [BENCH_VARIANT.model, { id: BENCH_VARIANT.model, activationBytes: BENCH_ACTIVATION_BYTES }],
  ]);
  const state = setRoutingFacts(
    createRoutingState({ domain, instanceCount, foreignInstanceCount }),
    { links: shape.links, models },
  );
  return setEngines(
    state,
    shape.engines.map(({ facts }) => facts),
  );
}
