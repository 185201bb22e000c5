/** Entry instances of the recovery bench: the product's router, and the baseline that restarts requests. */
import type { Chain } from '@skylarksail/core/CoreChain';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimPort, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import { createRequestRouter } from '@skylarksail/requests/RequestRouter';
import type {
  AttemptOutcome,
  ChainChoice,
  ChainRequest,
  RepairRequest,
  RequestSink,
  RequestSpec,
} from '@skylarksail/requests/RequestTypes';
import type { DecisionRecord, RouterMetric } from '@skylarksail/requests/RouterTypes';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';
import {
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
} from '@skylarksail/routing/RoutingCalls';
import type { ChainQuery } from '@skylarksail/routing/RoutingChoice';
import { selectChain } from '@skylarksail/routing/RoutingChoice';
import type { StreamPace } from '@skylarksail/routing/RoutingHops';
import { isOnSlowHop, recordPaces } from '@skylarksail/routing/RoutingHops';
import { refreshPlans } from '@skylarksail/routing/RoutingPlans';
import { selectRepair } from '@skylarksail/routing/RoutingRepair';
import { setDomainReach, setLoad } from '@skylarksail/routing/RoutingState';
import type { RoutedCall, RoutingState } from '@skylarksail/routing/RoutingTypes';
import type { VirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import type { RecoveryInstance } from './RecoveryTypes.js';

export interface InstanceOptions {
  readonly timers: TimerService;
  readonly seed: number;
  readonly domain: string;
  readonly layerCount: number;
  readonly fleet: Pick<VirtualFleet, 'readLoads'>;
  readonly open: OpenEngineCall;
  readonly claims: ClaimPort;
  readonly routing: RoutingState;
  readonly onDecision: (record: DecisionRecord) => void;
  readonly onCount: (metric: RouterMetric) => void;
}

const PLAN_PERIOD: Millis = 500;
const REPORT_PERIOD: Millis = 500;
const REPORT_LAG: Millis = 300;
/** Time that the baseline waits for a token before it restarts the request. */
const BASELINE_TIMEOUT: Millis = 5000;
const BASELINE_RETRY: Millis = 100;

/** Routing of one instance, based on delayed load reports. */
interface InstanceRouting {
  chooseChain(request: ChainRequest): ChainChoice;
  chooseRepair(request: RepairRequest): ChainChoice;
  getBootId(engine: EngineId): string | null;
  notePaces(paces: readonly StreamPace[]): void;
  isSlow(chain: Chain): boolean;
  setDomainReach(domain: string, reachable: boolean): void;
  stop(): void;
}

function createInstanceRouting(options: InstanceOptions): InstanceRouting {
  const { timers, fleet, domain, layerCount } = options;
  const random = createRandom(options.seed);
  let state = options.routing;
  let nextPlanAt = 0;

  function createQuery({ spec, contextTokens, begunVersion, avoid }: ChainRequest): ChainQuery {
    return {
      variant: spec.variant,
      layerCount,
      domain,
      priority: spec.priority,
      promptTokens: contextTokens,
      maxTokens: spec.maxTokens,
      prefixKeys: [],
      isBegun: begunVersion !== null,
      avoidEngines: new Set(avoid),
      now: timers.now(),
    };
  }

  function hold(call: RoutedCall): Extract<ChainChoice, { kind: 'chain' }>['hold'] {
    let hadFirstToken = false;
    state = recordCallStart(state, call);
    return {
      noteFirstToken: () => {
        hadFirstToken = true;
        state = recordFirstToken(state, call, timers.now());
      },
      release: (outcome) => {
        state = recordCallEnd(state, call, createCallOutcome(outcome), hadFirstToken, timers.now());
      },
    };
  }

  function report(): void {
    const seenAt = timers.now();
    const loads = fleet.readLoads();
    timers.registerTimeout(REPORT_LAG, () => {
      state = loads.reduce((next, load) => setLoad(next, { load, seenAt }), state);
      if (timers.now() >= nextPlanAt) {
        state = refreshPlans(state, timers.now());
        nextPlanAt = timers.now() + PLAN_PERIOD;
      }
    });
  }

  report();
  const stop = timers.registerInterval(REPORT_PERIOD, report);
  return {
    chooseChain(request) {
      const ask = createQuery(request);
      const choice = selectChain(state, ask, random);
      if (!choice.ok) {
        const isFull = choice.error.kind === 'no-capacity';
        return { kind: 'none', isFull, retryAfter: choice.error.retryAfter };
      }
      const { chain } = choice.value;
      const { promptTokens, maxTokens } = ask;
      return {
        kind: 'chain',
        chain,
        importFrom: [],
        hold: hold({ chain, promptTokens, maxTokens }),
      };
    },
    chooseRepair(request) {
      const ask = createQuery(request);
      const choice = selectRepair(state, request.broken, new Set(request.failed), ask, random);
      if (!choice.ok) {
        const isFull = choice.error.kind === 'no-capacity';
        return { kind: 'none', isFull, retryAfter: choice.error.retryAfter };
      }
      const { chain } = choice.value;
      const { promptTokens, maxTokens } = ask;
      const importFrom = request.broken.stages.filter(
        ({ engine }) => !request.failed.includes(engine),
      );
      return { kind: 'chain', chain, importFrom, hold: hold({ chain, promptTokens, maxTokens }) };
    },
    getBootId: (engine) => state.loads.get(engine)?.load.bootId ?? null,
    notePaces(paces) {
      state = recordPaces(state, paces, timers.now());
    },
    isSlow: (chain) => isOnSlowHop(state, chain),
    setDomainReach(foreign, reachable) {
      state = setDomainReach(state, foreign, reachable, timers.now());
    },
    stop,
  };
}

function createCallOutcome(outcome: AttemptOutcome): Parameters<typeof recordCallEnd>[2] {
  switch (outcome.kind) {
    case 'answered':
      return {
        kind: 'answered',
        firstTokenMs: outcome.firstToken,
        tokenGapMs: outcome.meanGap,
      };
    case 'failed':
      return {
        kind: 'failed',
        engine: outcome.engine,
        isSilent: outcome.engine === null && outcome.cause === 'silent',
      };
    default:
      return { kind: 'cancelled' };
  }
}

/** Creates an instance that runs the product's router. */
export function createRouterInstance(options: InstanceOptions): RecoveryInstance {
  const { timers, domain } = options;
  const routing = createInstanceRouting(options);
  let isKilled = false;
  const router = createRequestRouter({
    cfg: DEFAULT_ROUTER_CONFIG,
    timers,
    random: createRandom(options.seed + 1000),
    chooseChain: (request) => routing.chooseChain(request),
    chooseRepair: (request) => routing.chooseRepair(request),
    openEngineCall: (call, listener) => (isKilled ? () => undefined : options.open(call, listener)),
    chooseServer: () => null,
    openServiceCall: () => () => undefined,
    claims: options.claims,
    links: routing,
    getTeamLimits: () => ({ share: 1, queueLimit: 256 }),
    getKvCapacity: () => null,
    getBootId: (engine) => routing.getBootId(engine),
    onDecision: options.onDecision,
    onCount: options.onCount,
  });
  const handles = new Set<() => void>();
  return {
    domain,
    submit: (spec, sink) => {
      const handle = router.submit(spec, sink);
      handles.add(() => handle.cancel());
      return handle;
    },
    getPoisonDigest: () => router.getPoisonDigest(),
    mergePoison: (digest) => {
      router.mergePoison(digest);
    },
    setDomainReach: routing.setDomainReach,
    kill() {
      isKilled = true;
      handles.forEach((cancel) => cancel());
      router.stop();
      routing.stop();
    },
  };
}

/**
 * Creates the baseline instance. It selects chains as the router does, but restarts a request from the
 * beginning when it fails or gets no token within a fixed timeout. Tokens that the caller already has are
 * not delivered again, so that its pauses are comparable.
 */
export function createBaselineInstance(options: InstanceOptions): RecoveryInstance {
  const { timers, domain } = options;
  const routing = createInstanceRouting(options);
  const cancels = new Set<() => void>();
  let isKilled = false;

  function submit(spec: RequestSpec, sink: RequestSink): { cancel: () => void } {
    let attempt = 0;
    let deliveredTokens = 0;
    let hasEnded = false;
    let endAttempt: () => void = () => undefined;

    function start(): void {
      if (hasEnded || isKilled) {
        return;
      }
      const choice = routing.chooseChain({
        spec,
        contextTokens: spec.promptTokens ?? 0,
        begunVersion: deliveredTokens > 0 ? spec.variant.version : null,
        avoid: [],
      });
      if (choice.kind === 'none') {
        timers.registerTimeout(BASELINE_RETRY, start);
        return;
      }
      attempt += 1;
      run(choice, attempt);
    }

    function run(choice: Extract<ChainChoice, { kind: 'chain' }>, current: number): void {
      const openedAt = timers.now();
      let cancelTimeout = timers.registerTimeout(BASELINE_TIMEOUT, restart);
      const { request, ...call } = createEngineCall(spec, choice, current, openedAt);
      const isCurrent = (): boolean => !hasEnded && current === attempt;
      const cancelCall = options.open(
        { request, ...call },
        {
          onAcknowledged: () => undefined,
          onToken(index, token) {
            if (!isCurrent()) {
              return;
            }
            cancelTimeout();
            cancelTimeout = timers.registerTimeout(BASELINE_TIMEOUT, restart);
            if (index === deliveredTokens) {
              deliveredTokens += 1;
              sink.onToken(index, token);
            }
          },
          onEnd(reason) {
            if (isCurrent()) {
              hasEnded = true;
              endAttempt();
              sink.onEnd(reason);
            }
          },
          onFailure: () => isCurrent() && restart(),
        },
      );
      recordChain(spec, choice, current);
      endAttempt = () => {
        cancelTimeout();
        cancelCall();
        choice.hold.release({ kind: 'cancelled' });
      };
    }

    function restart(): void {
      endAttempt();
      timers.registerTimeout(BASELINE_RETRY, start);
    }

    function cancel(): void {
      if (!hasEnded) {
        hasEnded = true;
        endAttempt();
      }
    }
    cancels.add(cancel);
    start();
    return { cancel };
  }

  function recordChain(
    spec: RequestSpec,
    choice: Extract<ChainChoice, { kind: 'chain' }>,
    attempt: number,
  ): void {
    const chain = choice.chain.stages.map(({ engine }) => engine).join(',');
    options.onDecision({
      at: timers.now(),
      request: spec.id,
      team: spec.team,
      decision: attempt === 1 ? 'chain' : 'repair',
      attempt,
      chain,
      reason: null,
    });
  }

  return {
    domain,
    submit,
    getPoisonDigest: () => ({ reports: [] }),
    mergePoison: () => undefined,
    setDomainReach: routing.setDomainReach,
    kill() {
      isKilled = true;
      cancels.forEach((cancel) => cancel());
      routing.stop();
    },
  };
}

function createEngineCall(
  spec: RequestSpec,
  choice: Extract<ChainChoice, { kind: 'chain' }>,
  attempt: number,
  now: Millis,
): Parameters<OpenEngineCall>[0] {
  return {
    request: spec.id,
    attempt,
    chain: choice.chain,
    team: spec.team,
    original: null,
    prompt: spec.prompt,
    resumeTokens: [],
    maxTokens: spec.maxTokens,
    priority: spec.priority,
    timeLeft: spec.deadline - now,
    importFrom: [],
  };
}
