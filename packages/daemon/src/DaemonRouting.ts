/** Joins the pure routing state to the router of requests, and logs what was weighed. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId, Millis, Result, Unregister } from '@skylarksail/core/CoreTypes';
import type { ManifestView } from '@skylarksail/manifest/ManifestView';
import type { LinkMonitor } from '@skylarksail/requests/RouterTypes';
import type {
  AttemptOutcome,
  ChainChoice as RequestChoice,
  ChainRequest,
  ChooseChain,
  ChooseRepair,
} from '@skylarksail/requests/RequestTypes';
import type { EngineCallListener, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import { selectChain } from '@skylarksail/routing/RoutingChoice';
import type {
  ChainQuery,
  ChainCandidate,
  RoutingRefusal,
} from '@skylarksail/routing/RoutingChoice';
import {
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
  recordTokenGap,
} from '@skylarksail/routing/RoutingCalls';
import { isOnSlowHop, recordPaces } from '@skylarksail/routing/RoutingHops';
import { refreshPlans } from '@skylarksail/routing/RoutingPlans';
import { selectRepair } from '@skylarksail/routing/RoutingRepair';
import type { CallOutcome, RoutingState } from '@skylarksail/routing/RoutingTypes';
import {
  createRoutingState,
  markLeaving,
  setEngines,
  setDomainReach,
  setLoads,
  setRoutingFacts,
} from '@skylarksail/routing/RoutingState';
import type { DecisionLog } from './DaemonDecisions.js';

/** How often capacity shares are worked out anew, if anything changed. */
const PLAN_PERIOD: Millis = 500;

/** Tokens after which the mean time between them is noted; each one would cost more than it tells. */
const GAP_SAMPLE_TOKENS = 16;

/** What routing is told of models, links, regions and limits. */
export type FleetFacts = Partial<Pick<RoutingState, 'models' | 'links' | 'regions'>> & {
  readonly tuning?: Partial<RoutingState['tuning']>;
};

export interface DaemonRouting {
  readonly chooseChain: ChooseChain;
  readonly chooseRepair: ChooseRepair;
  getBootId(engine: EngineId): string | null;
  /** KV cache of the own domain's engines that this instance may count on, in tokens. */
  getKvCapacity(): number | null;
  setEngineFacts(facts: readonly EngineFacts[]): void;
  setEngineLoads(reports: readonly SeenEngineLoad[]): void;
  setLeaving(engine: EngineId): void;
  setManifest(view: ManifestView): void;
  /** The same facts where they come from elsewhere; what is left out stays. */
  setFleetFacts(facts: FleetFacts): void;
  /** Instances of the own domain, and of all others. */
  setInstanceCounts(own: number, foreign: number): void;
  setDomainReach(domain: DomainId, reachable: boolean): void;
  /** The same calls, with their times between tokens noted while they run. */
  trackTokenGaps(open: OpenEngineCall): OpenEngineCall;
  /** What streams that share a link tell of it. */
  readonly links: LinkMonitor;
  /** Starts working out capacity shares anew as engines change. */
  start(): Unregister;
  getState(): RoutingState;
}

export interface DaemonRoutingOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** Engines that get no new work while others can take it. */
  readonly listDraining: () => readonly EngineId[];
  /**
   * Whether a decision names the chains that were weighed, or only their scores. Chains of a dozen engines
   * make two kilobytes a request, most of what an instance logs.
   */
  readonly isBrief?: boolean;
}

export function createDaemonRouting(options: DaemonRoutingOptions): DaemonRouting {
  const { domain, timers, random, decisions } = options;
  let state = createRoutingState({ domain });

  function createAsk({ spec, contextTokens, avoid, isBegun }: ChainRequest): ChainQuery {
    const { variant, layerCount, priority, maxTokens } = spec;
    const answerTokens = state.models.get(variant.model)?.usualAnswerTokens;
    return {
      variant,
      layerCount,
      domain,
      priority,
      isBegun,
      promptTokens: contextTokens,
      maxTokens,
      ...(answerTokens === undefined ? {} : { answerTokens }),
      prefixKeys: spec.prefixKeys.map((key, i) => ({
        key,
        tokens: Math.floor((contextTokens * (i + 1)) / spec.prefixKeys.length),
      })),
      avoidEngines: new Set(avoid),
      now: timers.now(),
    };
  }

  /** Keeps off engines that are being emptied, but takes them rather than refuse the request. */
  function avoidDraining<T>(
    ask: ChainQuery,
    select: (wished: ChainQuery) => Result<T, RoutingRefusal>,
  ): Result<T, RoutingRefusal> {
    const draining = options.listDraining();
    if (draining.length === 0) {
      return select(ask);
    }
    const avoidEngines = new Set([...ask.avoidEngines, ...draining]);
    const choice = select({ ...ask, avoidEngines });
    return choice.ok ? choice : select(ask);
  }

  /** Records the chosen chain's work, and takes it off again when the attempt is over. */
  function startCall(
    chain: Chain,
    ask: ChainQuery,
    cachedTokens: number,
    importFrom: readonly Stage[],
  ): RequestChoice {
    const { promptTokens, maxTokens, answerTokens, prefixKeys } = ask;
    const expected = answerTokens === undefined ? {} : { answerTokens };
    const call = { chain, promptTokens, maxTokens, ...expected, prefixKeys, cachedTokens };
    let hadFirstToken = false;
    state = recordCallStart(state, call);
    return {
      kind: 'chain',
      chain,
      importFrom,
      hold: {
        noteFirstToken: () => {
          hadFirstToken = true;
          state = recordFirstToken(state, call, timers.now());
        },
        release: (outcome) => {
          state = recordCallEnd(state, call, toCallOutcome(outcome), hadFirstToken, timers.now());
        },
      },
    };
  }

  /**
   * An engine that slows down would be heard of only when its long answers end. The mean of some
   * tokens is noted while they come, so that later requests keep off it sooner.
   */
  function watchCall(chain: Chain, listener: EngineCallListener): EngineCallListener {
    let tokens = 0;
    let sampledAt = 0;
    return {
      ...listener,
      onToken(index, token) {
        if (tokens % GAP_SAMPLE_TOKENS === 0) {
          const now = timers.now();
          if (tokens > 0) {
            state = recordTokenGap(state, chain, (now - sampledAt) / GAP_SAMPLE_TOKENS, now);
          }
          sampledAt = now;
        }
        tokens += 1;
        listener.onToken(index, token);
      },
    };
  }

  function logChoice(
    request: string,
    decision: string,
    candidates: readonly ChainCandidate[],
    chosen: Chain,
  ): void {
    const chain = chosen.stages.map(({ engine }) => engine);
    const weighed = options.isBrief
      ? { scores: candidates.map(({ score }) => Math.round(score)) }
      : { chain, candidates };
    decisions.record({ request, decision, ...weighed });
  }

  function refuse(request: string, refusal: RoutingRefusal): RequestChoice {
    const { kind, retryAfter } = refusal;
    const weighed =
      refusal.kind === 'cut-off'
        ? {
            own: refusal.own,
            abroad: refusal.abroad
              .map(({ domain: name, reason: why }) => `${name} ${why}`)
              .join(', '),
          }
        : {};
    decisions.record({ request, decision: 'no-chain-found', reason: kind, ...weighed });
    return { kind: 'none', isFull: kind === 'no-capacity', retryAfter };
  }

  return {
    chooseChain(wish) {
      const ask = createAsk(wish);
      const choice = avoidDraining(ask, (wished) => selectChain(state, wished, random));
      if (!choice.ok) {
        return refuse(wish.spec.id, choice.error);
      }
      const { chain, candidates, cachedTokens } = choice.value;
      logChoice(wish.spec.id, 'chain-chosen', candidates, chain);
      return startCall(chain, ask, cachedTokens, []);
    },
    chooseRepair(wish) {
      const ask = createAsk(wish);
      const failed = new Set(wish.failed);
      const choice = avoidDraining(ask, (wished) =>
        selectRepair(state, wish.broken, failed, wished, random),
      );
      if (!choice.ok) {
        return refuse(wish.spec.id, choice.error);
      }
      const { chain, candidates, newStages } = choice.value;
      logChoice(wish.spec.id, 'chain-repaired', candidates, chain);
      return startCall(chain, ask, 0, selectImports(wish.broken, newStages, wish.failed));
    },
    getBootId: (engine) => state.loads.get(engine)?.load.bootId ?? null,
    getKvCapacity: () => computeKvCapacity(state, domain),
    setEngineFacts: (facts) => {
      state = setEngines(state, facts);
    },
    setEngineLoads: (reports) => {
      state = setLoads(state, reports);
    },
    setLeaving: (engine) => {
      state = markLeaving(state, engine);
    },
    setManifest: (view) => {
      state = setRoutingFacts(state, {
        models: new Map(
          view.models.map(({ id, activationBytes }) => [id, { id, activationBytes }]),
        ),
        links: view.links,
        regions: new Map(view.domains.map(({ id, region }) => [id, region])),
        tuning: { ...state.tuning, crossDomainShare: view.limits.crossDomainShare },
      });
    },
    setFleetFacts: ({ tuning, ...facts }) => {
      state = setRoutingFacts(state, { ...facts, tuning: { ...state.tuning, ...tuning } });
    },
    setInstanceCounts: (own, foreign) => {
      state = setRoutingFacts(state, {
        tuning: {
          ...state.tuning,
          instanceCount: Math.max(1, own),
          foreignInstanceCount: Math.max(0, foreign),
        },
      });
    },
    setDomainReach: (foreign, reachable) => {
      state = setDomainReach(state, foreign, reachable, timers.now());
    },
    trackTokenGaps: (open) => (call, listener) => open(call, watchCall(call.chain, listener)),
    links: {
      notePaces: (paces) => {
        state = recordPaces(state, paces, timers.now());
      },
      isSlow: (chain) => isOnSlowHop(state, chain),
    },
    start: () =>
      timers.registerInterval(PLAN_PERIOD, () => {
        state = refreshPlans(state, timers.now());
      }),
    getState: () => state,
  };
}

function toCallOutcome(outcome: AttemptOutcome): CallOutcome {
  switch (outcome.kind) {
    case 'answered':
      return {
        kind: 'answered',
        firstTokenMs: outcome.firstToken,
        tokenGapMs: outcome.meanGap,
      };
    case 'failed':
      // An engine that refuses is well: it is full, or has loaded something else since its last report.
      return outcome.cause === 'refused'
        ? { kind: 'cancelled' }
        : {
            kind: 'failed',
            engine: outcome.engine,
            isSilent: outcome.engine === null && outcome.cause === 'silent',
          };
    default:
      return { kind: 'cancelled' };
  }
}

/** Stages of the broken chain that still work and whose layers a new stage takes over. */
function selectImports(
  broken: Chain,
  newStages: readonly Stage[],
  failed: readonly EngineId[],
): readonly Stage[] {
  const isTakenOver = ({ layers }: Stage): boolean =>
    newStages.some((stage) => stage.layers.first < layers.end && layers.first < stage.layers.end);
  return broken.stages.filter((stage) => !failed.includes(stage.engine) && isTakenOver(stage));
}

/** An engine's memory in tokens is what it holds in layers times tokens, over the layers it has. */
function computeKvCapacity(state: RoutingState, domain: DomainId): number | null {
  const layersByModel = new Map<string, { layers: number; layerTokens: number }>();
  for (const [id, facts] of state.engines) {
    const holding = state.loads.get(id)?.load.holding;
    if (facts.domain === domain && holding) {
      const known = layersByModel.get(holding.model) ?? { layers: 0, layerTokens: 0 };
      layersByModel.set(holding.model, {
        layers: Math.max(known.layers, holding.layers.end),
        layerTokens: known.layerTokens + facts.kvLayerTokens,
      });
    }
  }
  if (layersByModel.size === 0) {
    return null;
  }
  const tokens = [...layersByModel.values()].reduce(
    (sum, { layers, layerTokens }) => sum + layerTokens / layers,
    0,
  );
  return tokens / state.tuning.instanceCount;
}
