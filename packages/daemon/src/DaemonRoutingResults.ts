/** Pure functions of routing's adapter: what it reports to the router and to the routing state. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { DomainId, EngineId } from '@skylarksail/core/CoreTypes';
import type { AttemptOutcome } from '@skylarksail/requests/RequestTypes';
import type { RoutingRefusal } from '@skylarksail/routing/RoutingChoice';
import type { CallOutcome, RoutingState } from '@skylarksail/routing/RoutingTypes';

/** Engines that are full may take the request soon, so that reason is reported before missing layers. */
export function findWeakestRefusal(refusals: readonly RoutingRefusal[]): RoutingRefusal {
  const weakest = refusals.find(({ kind }) => kind === 'no-capacity') ?? refusals[0];
  invariant(weakest, 'a request has at least one variant');
  return weakest;
}

/** Converts how an attempt ended to what it shows about the engines of its chain. */
export function toCallOutcome(outcome: AttemptOutcome): CallOutcome {
  switch (outcome.kind) {
    case 'answered':
      return {
        kind: 'answered',
        firstTokenMs: outcome.firstToken,
        tokenGapMs: outcome.meanGap,
      };
    case 'failed':
      // A refusal is no sign of a fault: the engine is full, or has loaded other layers since its last report.
      return outcome.cause === 'refused' || outcome.cause === 'cut-off'
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

/** Working stages of the broken chain whose layers are taken over, at least in part, by a new stage. */
export function selectImports(
  broken: Chain,
  newStages: readonly Stage[],
  failed: readonly EngineId[],
): readonly Stage[] {
  const isTakenOver = ({ layers }: Stage): boolean =>
    newStages.some((stage) => stage.layers.first < layers.end && layers.first < stage.layers.end);
  return broken.stages.filter((stage) => !failed.includes(stage.engine) && isTakenOver(stage));
}

/**
 * Share of one instance in the domain's KV capacity. Engines state their capacity in layers times tokens, so
 * the sum over a model's engines is divided by the number of layers of the model.
 */
export function computeKvCapacity(state: RoutingState, domain: DomainId): number | null {
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
