/** Replaces the failed stages of a running request's chain, or the whole chain where that fails. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import { formatChain } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis, Result } from '@skylarksail/core/CoreTypes';
import { createOk } from '@skylarksail/core/CoreTypes';
import type { ChainAsk, ChainCandidate, ChainScore, RoutingRefusal } from './RoutingChoice.js';
import { buildChain, pickOfTwo, scoreChain, selectChain, selectMembers } from './RoutingChoice.js';
import { coverLayers } from './RoutingCover.js';
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

/** Replacements that are drawn and weighed against each other. */
const CANDIDATE_COUNT = 3;

/**
 * A chain without the failed engines that keeps every other stage if it can. Engines that are full are
 * passed over only if a whole new chain can be had: work that runs goes before work that waits.
 */
export function selectRepair(
  state: RoutingState,
  chain: Chain,
  failedEngines: ReadonlySet<EngineId>,
  ask: ChainAsk,
  random: Random,
): Result<RepairChoice, RoutingRefusal> {
  const avoidEngines = new Set([...ask.avoidEngines, ...failedEngines]);
  const repair = repairStages(state, chain, { ...ask, avoidEngines }, random);
  if (repair && repair.gap < Infinity) {
    return createOk(repair.choice);
  }
  const whole = selectChain(state, { ...ask, avoidEngines }, random);
  if (whole.ok) {
    const newStages = selectNewStages(chain, whole.value.chain);
    return createOk({ ...whole.value, kind: 'whole', newStages });
  }
  return repair ? createOk(repair.choice) : whole;
}

/** The best of few ways to replace what failed, or null if the layers cannot be covered. */
function repairStages(
  state: RoutingState,
  chain: Chain,
  ask: ChainAsk,
  random: Random,
): { readonly choice: RepairChoice; readonly gap: Millis } | null {
  const found: (ChainScore & { readonly chain: Chain })[] = [];
  for (let i = 0; i < CANDIDATE_COUNT; i++) {
    const repaired = replaceStages(state, chain, ask, random);
    if (!repaired) {
      return null;
    }
    found.push({ chain: repaired, ...scoreChain(state, ask, repaired) });
  }
  const best = found.reduce((a, b) => (b.finish < a.finish ? b : a));
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
  return { choice, gap: best.gap };
}

function replaceStages(
  state: RoutingState,
  chain: Chain,
  ask: ChainAsk,
  random: Random,
): Chain | null {
  const used = new Set(chain.stages.map(({ engine }) => engine));
  const stages: Stage[] = [];
  for (const stage of chain.stages) {
    if (!ask.avoidEngines.has(stage.engine)) {
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
