/** Replaces the failed stages of a running request's chain, or the whole chain if that fails. */
import type { Chain, ModelVariant, Stage } from '@skylarksail/core/CoreChain';
import { formatChain } from '@skylarksail/core/CoreChain';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId, LayerRange, Millis, Result } from '@skylarksail/core/CoreTypes';
import { createOk } from '@skylarksail/core/CoreTypes';
import { getOwnWork } from './RoutingCalls.js';
import type { ChainQuery, ChainCandidate, ChainScore, RoutingRefusal } from './RoutingChoice.js';
import { buildChain, pickOfTwo, scoreChain, selectChain, selectMembers } from './RoutingChoice.js';
import { coverLayers } from './RoutingCover.js';
import { getGapLimit } from './RoutingScore.js';
import type { RoutingState } from './RoutingState.js';

export interface RepairChoice {
  readonly chain: Chain;
  /** Whether the stages that still work were kept. */
  readonly kind: 'stages' | 'whole';
  /** Stages that are not in the old chain; they must prefill or import the KV cache. */
  readonly newStages: readonly Stage[];
  readonly candidates: readonly ChainCandidate[];
  readonly crossedDomain: boolean;
}

/** A chain with its failed stages replaced, and its expected cost. */
interface Repair {
  readonly choice: RepairChoice;
  readonly gap: Millis;
  /** Time until its new stages have prefilled the prompt. */
  readonly wait: Millis;
}

/**
 * Maximum wait for the prefill of a repair; if it is longer, a whole new chain is considered. After the loss of a
 * rack, the one remaining engine for its layers would prefill the prompts of all its answers one after another.
 */
const MAX_REPAIR_WAIT_MS = 300;
/** Number of random replacements that are compared. */
const CANDIDATE_COUNT = 3;

/**
 * Selects a chain without the failed engines that keeps all other stages if possible. A repair on full engines
 * is rejected only if a whole new chain is available: running work has precedence over waiting work. A repair
 * whose new stages have many prompts to prefill is rejected if a whole new chain has a shorter wait.
 */
export function selectRepair(
  state: RoutingState,
  chain: Chain,
  failedEngines: ReadonlySet<EngineId>,
  ask: ChainQuery,
  random: Random,
): Result<RepairChoice, RoutingRefusal> {
  const avoidEngines = new Set([...ask.avoidEngines, ...failedEngines]);
  const repair = repairStages(state, chain, { ...ask, avoidEngines }, random);
  const isFull = repair !== null && repair.gap > getGapLimit(state, ask.priority);
  if (repair && !isFull && repair.wait <= MAX_REPAIR_WAIT_MS) {
    return createOk(repair.choice);
  }
  // Excluding the busy engines lets the selection move to another domain if this one has no others.
  const busyEngines = repair && !isFull ? repair.choice.newStages.map(({ engine }) => engine) : [];
  const wholeChainAsk = { ...ask, avoidEngines: new Set([...avoidEngines, ...busyEngines]) };
  const whole = selectChain(state, wholeChainAsk, random);
  if (!whole.ok) {
    return repair ? createOk(repair.choice) : whole;
  }
  if (repair && !isFull && estimateWait(state, ask, whole.value.chain.stages) >= repair.wait) {
    return createOk(repair.choice);
  }
  const newStages = selectNewStages(chain, whole.value.chain);
  return createOk({ ...whole.value, kind: 'whole', newStages });
}

/** Time until the slowest of these stages has prefilled its expected queue of prompts and this one. */
function estimateWait(state: RoutingState, ask: ChainQuery, stages: readonly Stage[]): Millis {
  const waits = stages.map(({ engine, layers }) => {
    const speed = state.engines.get(engine)?.prefillLayerTokensPerSecond ?? Infinity;
    const queuedTokens = getOwnWork(state, engine).prefillTokens * state.tuning.instanceCount;
    const work = (queuedTokens + ask.promptTokens) * (layers.end - layers.first);
    return (work * MILLIS_PER_SECOND) / speed;
  });
  return Math.max(0, ...waits);
}

/** Selects the best of a few random replacements of the failed stages, or null if the layers cannot be covered. */
function repairStages(
  state: RoutingState,
  chain: Chain,
  ask: ChainQuery,
  random: Random,
): Repair | null {
  const repairs: (ChainScore & { readonly chain: Chain; readonly wait: Millis })[] = [];
  for (let i = 0; i < CANDIDATE_COUNT; i++) {
    const repaired = replaceStages(state, chain, ask, random);
    if (!repaired) {
      return null;
    }
    const wait = estimateWait(state, ask, selectNewStages(chain, repaired));
    repairs.push({ chain: repaired, wait, ...scoreChain(state, ask, repaired) });
  }
  const best = repairs.reduce((a, b) => (b.finish + b.wait < a.finish + a.wait ? b : a));
  const candidates = repairs.map((scored) => ({
    chain: formatChain(scored.chain),
    score: scored.finish,
    reason: scored === best ? 'least expected finish' : 'later expected finish',
  }));
  const choice: RepairChoice = {
    chain: best.chain,
    kind: 'stages',
    newStages: selectNewStages(chain, best.chain),
    candidates,
    crossedDomain: best.chain.stages.some(
      ({ engine }) => state.engines.get(engine)?.domain !== ask.domain,
    ),
  };
  return { choice, gap: best.gap, wait: best.wait };
}

function replaceStages(
  state: RoutingState,
  chain: Chain,
  ask: ChainQuery,
  random: Random,
): Chain | null {
  const used = new Set(chain.stages.map(({ engine }) => engine));
  const stages: Stage[] = [];
  for (const stage of chain.stages) {
    if (!ask.avoidEngines.has(stage.engine) && canKeep(state, stage, ask.variant)) {
      stages.push(stage);
      continue;
    }
    // A chain in another domain stays there: with mixed domains, each token would cross between them.
    const domain = state.engines.get(stage.engine)?.domain ?? ask.domain;
    const unused = selectMembers(state, ask, domain).filter(({ id }) => !used.has(id));
    const facts = state.engines.get(stages.at(-1)?.engine ?? '');
    const kept = facts ? { facts } : null;
    const cover = coverLayers(unused, stage.layers, (options, previous) =>
      pickOfTwo(state, ask, options, previous ?? kept, random),
    );
    if (!cover) {
      return null;
    }
    cover.forEach(({ engine }) => used.add(engine));
    stages.push(...cover);
  }
  return buildChain(ask, stages);
}

/**
 * Whether a stage's engine is still registered and holds its layers of the variant. An engine that was unregistered or
 * ordered to hold other layers or another version cannot be kept, even without a reported failure. Nor can a
 * leaving engine, since the repaired chain is new work to it: without this check, an engine received new work
 * 3.5 s after it announced that it was leaving.
 */
function canKeep(
  state: RoutingState,
  { engine, layers }: Stage,
  { model, version }: ModelVariant,
): boolean {
  if (state.leaving.has(engine)) {
    return false;
  }
  const held = state.engines.has(engine) ? state.loads.get(engine)?.load.holding : null;
  return held?.model === model && held.version === version && isWithin(layers, held.layers);
}

function isWithin(inner: LayerRange, outer: LayerRange): boolean {
  return outer.first <= inner.first && inner.end <= outer.end;
}

function selectNewStages(before: Chain, after: Chain): readonly Stage[] {
  return after.stages.filter(
    (stage) =>
      !before.stages.some(
        ({ engine, layers }) =>
          engine === stage.engine &&
          layers.first === stage.layers.first &&
          layers.end === stage.layers.end,
      ),
  );
}
