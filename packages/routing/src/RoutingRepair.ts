/** Replaces the failed stages of a running request's chain, or the whole chain where that fails. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import { formatChain } from '@skylarksail/core/CoreChain';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis, Result } from '@skylarksail/core/CoreTypes';
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
  /** Stages that the old chain does not have; they must prefill or import the KV cache. */
  readonly newStages: readonly Stage[];
  readonly candidates: readonly ChainCandidate[];
  readonly crossedDomain: boolean;
}

/** A chain with its failed stages replaced, and what it is expected to cost. */
interface Repair {
  readonly choice: RepairChoice;
  readonly gap: Millis;
  /** Time until its new stages have read the prompt. */
  readonly wait: Millis;
}

/**
 * Wait for a repair's first token beyond which a whole chain elsewhere is looked for. When a rack is lost,
 * the one engine left of its layers gets the prompts of all its answers, one behind the other.
 */
const PATIENCE_MS = 300;
/** Replacements that are drawn and weighed against each other. */
const CANDIDATE_COUNT = 3;

/**
 * A chain without the failed engines that keeps every other stage if it can. Engines that are full are
 * passed over only if a whole new chain can be had: work that runs goes before work that waits.
 * A chain whose new stages have many prompts to read is passed over for a whole one that is sooner.
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
  if (repair && !isFull && repair.wait <= PATIENCE_MS) {
    return createOk(repair.choice);
  }
  // Without the engines that are crowded, another domain is asked if this one has no others.
  const crowded = repair && !isFull ? repair.choice.newStages.map(({ engine }) => engine) : [];
  const others = { ...ask, avoidEngines: new Set([...avoidEngines, ...crowded]) };
  const whole = selectChain(state, others, random);
  if (!whole.ok) {
    return repair ? createOk(repair.choice) : whole;
  }
  if (repair && !isFull && estimateWait(state, ask, whole.value.chain.stages) >= repair.wait) {
    return createOk(repair.choice);
  }
  const newStages = selectNewStages(chain, whole.value.chain);
  return createOk({ ...whole.value, kind: 'whole', newStages });
}

/** Time until the slowest of these stages has read the prompts that it has of us, and this one. */
function estimateWait(state: RoutingState, ask: ChainQuery, stages: readonly Stage[]): Millis {
  const waits = stages.map(({ engine, layers }) => {
    const speed = state.engines.get(engine)?.prefillLayerTokensPerSecond ?? Infinity;
    const ahead = getOwnWork(state, engine).prefillTokens * state.tuning.instanceCount;
    const work = (ahead + ask.promptTokens) * (layers.end - layers.first);
    return (work * MILLIS_PER_SECOND) / speed;
  });
  return Math.max(0, ...waits);
}

/** The best of few ways to replace what failed, or null if the layers cannot be covered. */
function repairStages(
  state: RoutingState,
  chain: Chain,
  ask: ChainQuery,
  random: Random,
): Repair | null {
  const found: (ChainScore & { readonly chain: Chain; readonly wait: Millis })[] = [];
  for (let i = 0; i < CANDIDATE_COUNT; i++) {
    const repaired = replaceStages(state, chain, ask, random);
    if (!repaired) {
      return null;
    }
    const wait = estimateWait(state, ask, selectNewStages(chain, repaired));
    found.push({ chain: repaired, wait, ...scoreChain(state, ask, repaired) });
  }
  const best = found.reduce((a, b) => (b.finish + b.wait < a.finish + a.wait ? b : a));
  const candidates = found.map((scored) => ({
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
    if (!ask.avoidEngines.has(stage.engine) && canKeep(state, stage)) {
      stages.push(stage);
      continue;
    }
    // A chain that runs in another domain stays there: mixing domains would send each token across.
    const domain = state.engines.get(stage.engine)?.domain ?? ask.domain;
    const free = selectMembers(state, ask, domain).filter(({ id }) => !used.has(id));
    const facts = state.engines.get(stages.at(-1)?.engine ?? '');
    const kept = facts ? { facts } : null;
    const cover = coverLayers(free, stage.layers, (options, previous) =>
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
 * Whether a stage's engine is still there with its layers. An engine that was unregistered or ordered to
 * hold others since the chain was chosen cannot be kept, even if nothing was said of a failure. Nor can one
 * that leaves: the repaired chain is new work to it, which it got 3.5 s after it had said that it leaves.
 */
function canKeep(state: RoutingState, { engine, layers }: Stage): boolean {
  if (state.leaving.has(engine)) {
    return false;
  }
  const held = state.engines.has(engine) ? state.loads.get(engine)?.load.holding?.layers : null;
  return held ? held.first <= layers.first && layers.end <= held.end : false;
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
