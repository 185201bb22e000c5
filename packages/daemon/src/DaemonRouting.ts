/** Adapts the pure routing state to the request router, and logs each decision with its candidates. */
import type { Chain, ModelVariant, Stage } from '@skylarksail/core/CoreChain';
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type {
  DomainId,
  EngineId,
  Millis,
  ModelId,
  Result,
  Unregister,
  VersionId,
} from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { ManifestView } from '@skylarksail/manifest/ManifestView';
import type { LinkMonitor } from '@skylarksail/requests/RouterTypes';
import type {
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
  endSuspicion,
  getOwnWork,
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
  recordTokenGap,
} from '@skylarksail/routing/RoutingCalls';
import { isOnSlowHop, recordPaces } from '@skylarksail/routing/RoutingHops';
import { refreshPlans } from '@skylarksail/routing/RoutingPlans';
import { isHeld } from '@skylarksail/routing/RoutingPools';
import { selectRepair } from '@skylarksail/routing/RoutingRepair';
import type { SpillChoice, SpillShares } from '@skylarksail/routing/RoutingSpillover';
import {
  getSpillShares,
  recordEngineRefusal,
  refreshSpills,
} from '@skylarksail/routing/RoutingSpillover';
import type { DomainRoom } from '@skylarksail/routing/RoutingRoom';
import type { DomainUse, KnownRoom, RoutingState } from '@skylarksail/routing/RoutingTypes';
import type { ObservedEngine, PeerSlowness } from '@skylarksail/routing/RoutingSlowness';
import { isSlownessTracked } from '@skylarksail/routing/RoutingSlowness';
import {
  createRoutingState,
  markLeaving,
  setEngines,
  setDomainReach,
  setLoads,
  setRoutingFacts,
} from '@skylarksail/routing/RoutingState';
import type { DecisionLog } from './DaemonDecisions.js';
import {
  computeKvCapacity,
  findWeakestRefusal,
  selectImports,
  toCallOutcome,
} from './DaemonRoutingResults.js';
import { createSlownessMonitor, SLOWNESS_PERIOD } from './DaemonSlowness.js';

/** Period at which capacity shares are recomputed if their inputs changed. */
const PLAN_PERIOD: Millis = 500;
/** Age from which the shares for admission are computed anew: own requests change them by less than a hundredth in this time. */
const MAX_SHARES_AGE: Millis = 50;

/** Number of tokens over which the mean gap is sampled; recording each token costs more than it is worth. */
const GAP_SAMPLE_TOKENS = 16;

/** Routing inputs on models, links, regions and limits. */
export type FleetFacts = Partial<Pick<RoutingState, 'models' | 'links' | 'regions'>> & {
  readonly tuning?: Partial<RoutingState['tuning']>;
};

/** Relation of a chain to the own domain: in it, in another domain by spillover, or in another as the own one has no chain left. */
export const ChainRelation = { Own: 'own', Spillover: 'spillover', OwnFull: 'own-full' } as const;

/** A value of `ChainRelation`. */
export type ChainRelationName = (typeof ChainRelation)[keyof typeof ChainRelation];

/** Memory of the own domain for running requests of a model, as this instance sees it. */
export interface OwnRoom extends DomainRoom {
  readonly model: ModelId;
  /** Memory that requests of the own domain hold in other domains. */
  readonly abroad: readonly DomainUse[];
  readonly seenAt: Millis;
}

export interface DaemonRouting {
  readonly chooseChain: ChooseChain;
  readonly chooseRepair: ChooseRepair;
  getBootId(engine: EngineId): string | null;
  /** Number of own calls through an engine, from the choice of their chain to their end. */
  countCalls(engine: EngineId): number;
  /** This instance's share of the KV cache of its own domain's engines, in tokens; null if unknown. */
  getKvCapacity(): number | null;
  setEngineFacts(facts: readonly EngineFacts[]): void;
  setEngineLoads(reports: readonly SeenEngineLoad[]): void;
  /** Sets the rooms of other domains. */
  setRooms(rooms: readonly KnownRoom[]): void;
  /** Rooms of the own domain by its last load reports, for models whose memory is shared. */
  listOwnRooms(): readonly OwnRoom[];
  /** Shares of the memory in use that a new request meets; null if they are not known. */
  getSpillShares(variant: ModelVariant): SpillShares | null;
  setLeaving(engine: EngineId): void;
  /** An engine whose calls failed was reached over another path: its domain is not to be avoided for them. */
  noteReachable(engine: EngineId): void;
  setManifest(view: ManifestView): void;
  /** Sets routing inputs that do not come from a manifest; omitted fields keep their values. */
  setFleetFacts(facts: FleetFacts): void;
  /** Sets the number of instances in the own domain and in all other domains. */
  setInstanceCounts(own: number, foreign: number): void;
  setDomainReach(domain: DomainId, reachable: boolean): void;
  /** Wraps `open` so that gaps between tokens are recorded while a call runs. */
  trackTokenGaps(open: OpenEngineCall): OpenEngineCall;
  /** Detects slow links from the pace of the streams that share them. */
  readonly links: LinkMonitor;
  /** Engines with the slowness that own answers show, slowest first, for a report to other instances. */
  listSlowEngines(): readonly ObservedEngine[];
  /** Starts the periodic recomputation of capacity shares and of the speeds of slow engines. */
  start(): Unregister;
  getState(): RoutingState;
}

/** A choice of chains or stages, with the query that it answers. */
interface AnsweredQuery<T> {
  readonly ask: ChainQuery;
  readonly choice: T;
}

export interface DaemonRoutingOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** Engines that receive no new work while other engines can take it. */
  readonly listDraining: () => readonly EngineId[];
  /** Engines at which no call may start, by whether its request has begun; none if omitted. */
  readonly listClosed?: (isBegun: boolean) => readonly EngineId[];
  /** Versions that a new request for a model may run, the preferred one first; only the request's own if omitted. */
  readonly listVersions?: (model: ModelId) => readonly VersionId[];
  /** Whether no engine will be given a variant again, as another version is served in its place; never if omitted. */
  readonly isReplaced?: (variant: ModelVariant) => boolean;
  /**
   * If set, a decision is logged with the scores of its candidates only, without their chains. Chains of
   * a dozen engines take two kilobytes per request, most of what an instance logs.
   */
  readonly isBrief?: boolean;
  /** Called for each chain that is chosen for a model whose memory is shared. */
  readonly onChosen?: (relation: ChainRelationName) => void;
  /** How slow other instances report engines to be; null without a recent report, or if omitted. */
  readonly readPeerSlowness?: () => PeerSlowness | null;
}

export function createDaemonRouting(options: DaemonRoutingOptions): DaemonRouting {
  const { domain, timers, random, decisions } = options;
  let state = createRoutingState({ domain });
  const slowness = createSlownessMonitor({
    timers,
    decisions,
    readPeers: options.readPeerSlowness ?? (() => null),
  });

  /** Engines that hold the first layer, except those of which one must begin the chain. */
  function listOtherFirstEngines(firstEngines: readonly EngineId[]): readonly EngineId[] {
    return [...state.loads]
      .filter(([id, { load }]) => load.holding?.layers.first === 0 && !firstEngines.includes(id))
      .map(([id]) => id);
  }

  /** Variants that a request may run, the preferred one first: a single one once its answer has begun. */
  function listVariants({ spec, begunVersion }: ChainRequest): readonly ModelVariant[] {
    const { variant } = spec;
    if (begunVersion !== null) {
      return [{ ...variant, version: begunVersion }];
    }
    const [preferred = variant.version, ...others] = options.listVersions?.(variant.model) ?? [];
    const isHeldInPart = (version: VersionId): boolean =>
      [...state.pools.values()].some((p) => p.model === variant.model && p.version === version);
    const versions = [preferred, ...others.filter(isHeldInPart)];
    return versions.map((version) => ({ ...variant, version }));
  }

  function createQuery(
    request: ChainRequest,
    variant: ModelVariant,
    drained: readonly EngineId[],
  ): ChainQuery {
    const { spec, contextTokens, begunVersion, firstEngines = null } = request;
    const others = firstEngines ? listOtherFirstEngines(firstEngines) : [];
    const { layerCount, priority, maxTokens } = spec;
    const answerTokens = state.models.get(variant.model)?.usualAnswerTokens;
    return {
      variant,
      layerCount,
      domain,
      priority,
      isBegun: begunVersion !== null,
      promptTokens: contextTokens,
      maxTokens,
      ...(answerTokens === undefined ? {} : { answerTokens }),
      prefixKeys: spec.prefixKeys.map((key, i) => ({
        key,
        tokens: Math.floor((contextTokens * (i + 1)) / spec.prefixKeys.length),
      })),
      avoidEngines: new Set([...request.avoid, ...others, ...drained]),
      now: timers.now(),
    };
  }

  /**
   * Selects for the first of the variants that can run. Avoids draining engines, but uses them if the request would
   * be refused otherwise.
   */
  function selectVariant<T>(
    request: ChainRequest,
    variants: readonly ModelVariant[],
    select: (ask: ChainQuery) => Result<T, RoutingRefusal>,
  ): Result<AnsweredQuery<T>, RoutingRefusal> {
    const closed = options.listClosed?.(request.begunVersion !== null) ?? [];
    const draining = options.listDraining();
    const refusals: RoutingRefusal[] = [];
    for (const avoided of draining.length > 0 ? [[...closed, ...draining], closed] : [closed]) {
      for (const variant of variants) {
        const ask = createQuery(request, variant, avoided);
        const choice = select(ask);
        if (choice.ok) {
          return createOk({ ask, choice: choice.value });
        }
        refusals.push(choice.error);
      }
    }
    return createFailed(findWeakestRefusal(refusals));
  }

  /** Records the work of the chosen chain; the returned hold removes it when the attempt is over. */
  function startCall(
    chain: Chain,
    ask: ChainQuery,
    cachedTokens: number,
    importFrom: readonly Stage[],
  ): RequestChoice {
    const { promptTokens, maxTokens, answerTokens, prefixKeys } = ask;
    const expectedAnswer = answerTokens === undefined ? {} : { answerTokens };
    const call = { chain, promptTokens, maxTokens, ...expectedAnswer, prefixKeys, cachedTokens };
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
          const now = timers.now();
          state = recordCallEnd(state, call, toCallOutcome(outcome), hadFirstToken, now);
          if (outcome.kind === 'failed' && outcome.cause === 'refused' && outcome.engine !== null) {
            state = recordEngineRefusal(state, chain.variant.model, outcome.engine, now);
          }
        },
      },
    };
  }

  /**
   * Records the mean gap every few tokens while a call runs. If it were recorded only at the end, a slowdown
   * of an engine that generates long answers would be noticed late, and new requests would still go there.
   */
  function trackCallGaps(chain: Chain, listener: EngineCallListener): EngineCallListener {
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
    spillover?: SpillChoice,
  ): void {
    const chain = chosen.stages.map(({ engine }) => engine);
    const details = options.isBrief
      ? { scores: candidates.map(({ score }) => Math.round(score)) }
      : { chain, candidates };
    decisions.record({
      request,
      decision,
      ...details,
      ...(spillover ? { spillover: describeSpillover(spillover) } : {}),
    });
  }

  /** Whether an answer that has begun can't be completed: its version is held nowhere, and won't be. */
  function isGone({ spec, begunVersion }: ChainRequest): boolean {
    if (begunVersion === null) {
      return false;
    }
    const variant = { ...spec.variant, version: begunVersion };
    const isReplaced = options.isReplaced?.(variant) ?? false;
    return isReplaced && !isHeld(state, variant, spec.layerCount);
  }

  /** Engines that a search left out though they may hold the layers; without those that failed this request. */
  function describeLeftOut({ begunVersion }: ChainRequest): Readonly<Record<string, string>> {
    const leftOut = {
      silent: [...state.silent],
      leaving: [...state.leaving],
      closed: options.listClosed?.(begunVersion !== null) ?? [],
    };
    return Object.fromEntries(
      Object.entries(leftOut)
        .filter(([, engines]) => engines.length > 0)
        .map(([why, engines]) => [why, engines.join(',')]),
    );
  }

  function recordRefusal(request: ChainRequest, refusal: RoutingRefusal): RequestChoice {
    const { kind, retryAfter } = refusal;
    const details =
      refusal.kind === 'cut-off'
        ? {
            own: refusal.own,
            abroad: refusal.abroad
              .map(({ domain: name, reason: why }) => `${name} ${why}`)
              .join(', '),
          }
        : {};
    const { id } = request.spec;
    decisions.record({
      request: id,
      decision: 'no-chain-found',
      reason: kind,
      ...details,
      ...(options.isBrief ? {} : describeLeftOut(request)),
    });
    return {
      kind: 'none',
      isFull: kind === 'no-capacity',
      retryAfter,
      isGone: isGone(request),
    };
  }

  function chooseChain(request: ChainRequest, variants: readonly ModelVariant[]): RequestChoice {
    const found = selectVariant(request, variants, (ask) => selectChain(state, ask, random));
    if (!found.ok) {
      return recordRefusal(request, found.error);
    }
    const { chain, candidates, cachedTokens, spillover, crossedDomain } = found.value.choice;
    logChoice(request.spec.id, 'chain-chosen', candidates, chain, spillover);
    if (state.models.get(chain.variant.model)?.isMemoryShared) {
      const away = spillover ? ChainRelation.Spillover : ChainRelation.OwnFull;
      options.onChosen?.(crossedDomain ? away : ChainRelation.Own);
    }
    return startCall(chain, found.value.ask, cachedTokens, []);
  }

  return {
    chooseChain: (request) => chooseChain(request, listVariants(request)),
    chooseRepair(request) {
      const { broken, failed, spec } = request;
      const found = selectVariant(request, [broken.variant], (ask) =>
        selectRepair(state, broken, new Set(failed), ask, random),
      );
      if (found.ok) {
        const { chain, candidates, newStages } = found.value.choice;
        logChoice(spec.id, 'chain-repaired', candidates, chain);
        return startCall(chain, found.value.ask, 0, selectImports(broken, newStages, failed));
      }
      const others = listVariants(request).filter(
        ({ version }) => version !== broken.variant.version,
      );
      return others.length > 0
        ? chooseChain({ ...request, avoid: [...request.avoid, ...failed] }, others)
        : recordRefusal(request, found.error);
    },
    countCalls: (engine) => getOwnWork(state, engine).calls,
    getBootId: (engine) => state.loads.get(engine)?.load.bootId ?? null,
    getKvCapacity: () => computeKvCapacity(state, domain),
    setEngineFacts: (facts) => {
      state = setEngines(state, facts);
    },
    setEngineLoads: (reports) => {
      state = refreshSpills(setLoads(state, reports), timers.now());
    },
    setRooms: (rooms) => {
      state = refreshSpills({ ...state, rooms }, timers.now());
    },
    listOwnRooms: () =>
      [...state.spills].map(([model, { room, abroad, own }]) => ({
        capacity: room.capacity,
        used: room.used,
        model,
        abroad,
        seenAt: own.seenAt,
      })),
    getSpillShares(variant) {
      const now = timers.now();
      const plan = state.spills.get(variant.model);
      if (plan && now - plan.own.seenAt >= MAX_SHARES_AGE) {
        state = refreshSpills(state, now);
      }
      return getSpillShares(state, variant, now);
    },
    setLeaving: (engine) => {
      state = markLeaving(state, engine);
    },
    noteReachable: (engine) => {
      state = endSuspicion(state, engine);
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
    trackTokenGaps: (open) => (call, listener) =>
      isSlownessTracked(state, call.chain.variant.model)
        ? slowness.open(open, call, listener)
        : open(call, trackCallGaps(call.chain, listener)),
    links: {
      notePaces: (paces) => {
        state = recordPaces(state, paces, timers.now());
      },
      isSlow: (chain) => isOnSlowHop(state, chain),
    },
    listSlowEngines: slowness.listObserved,
    start() {
      const stops = [
        timers.registerInterval(PLAN_PERIOD, () => {
          state = refreshPlans(state, timers.now());
        }),
        timers.registerInterval(SLOWNESS_PERIOD, () => {
          state = slowness.refresh(state);
        }),
      ];
      return () => stops.forEach((stop) => stop());
    },
    getState: () => state,
  };
}

/** Fields of the decision line: the domain that gets the request, shares of memory in use, and the age of that domain's report. */
function describeSpillover({ domain, ownShare, share, age }: SpillChoice) {
  return { domain, ownShare: roundShare(ownShare), share: roundShare(share), age: Math.round(age) };
}

function roundShare(share: number): number {
  return Math.round(share * 100) / 100;
}
