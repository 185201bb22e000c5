/** Replaces the failed stages of a running request's chain, or the whole chain where that fails. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId, Result } from '@skylarksail/core/CoreTypes';
import { createOk } from '@skylarksail/core/CoreTypes';
import type { ChainAsk, ChainCandidate, RoutingRefusal } from './RoutingChoice.js';
import { buildChain, pickOfTwo, selectChain, selectMembers } from './RoutingChoice.js';
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

/** A chain without the failed engines that keeps every other stage if it can. */
export function selectRepair(
  state: RoutingState,
  chain: Chain,
  failedEngines: ReadonlySet<EngineId>,
  ask: ChainAsk,
  random: Random,
): Result<RepairChoice, RoutingRefusal> {
  const avoidEngines = new Set([...ask.avoidEngines, ...failedEngines]);
  const repaired = replaceStages(state, chain, { ...ask, avoidEngines }, random);
  if (repaired) {
    return createOk({
      chain: repaired,
      kind: 'stages',
      newStages: selectNewStages(chain, repaired),
      candidates: [],
      crossedDomain: false,
    });
  }
  const whole = selectChain(state, { ...ask, avoidEngines }, random);
  if (!whole.ok) {
    return whole;
  }
  const newStages = selectNewStages(chain, whole.value.chain);
  return createOk({ ...whole.value, kind: 'whole', newStages });
}

function replaceStages(
  state: RoutingState,
  chain: Chain,
  ask: ChainAsk,
  random: Random,
): Chain | null {
  const kept = new Set(chain.stages.map(({ engine }) => engine));
  const members = selectMembers(state, ask, ask.domain).filter(({ id }) => !kept.has(id));
  const stages: Stage[] = [];
  const taken = new Set<EngineId>();
  for (const stage of chain.stages) {
    if (!ask.avoidEngines.has(stage.engine)) {
      stages.push(stage);
      continue;
    }
    const free = members.filter(({ id }) => !taken.has(id));
    const cover = coverLayers(free, stage.layers, (options, previous) =>
      pickOfTwo(state, ask, options, previous, random),
    );
    if (!cover) {
      return null;
    }
    cover.forEach(({ engine }) => taken.add(engine));
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
