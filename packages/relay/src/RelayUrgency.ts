/** Marks calls that yield to others of their priority in the engines' queues, for models whose engines' memory is shared. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { RoutedModel } from '@skylarksail/routing/RoutingTypes';
import { shouldYield } from '@skylarksail/routing/RoutingUrgency';

export interface YieldingOptions {
  readonly random: Pick<Random, 'nextFloat'>;
  readonly getModel: (model: string) => RoutedModel | undefined;
}

/**
 * Wraps `open` so that calls with a long prompt yield. Calls of models whose memory is not shared
 * pass unchanged, without a random draw.
 */
export function markYieldingCalls(
  open: OpenEngineCall,
  { random, getModel }: YieldingOptions,
): OpenEngineCall {
  return (call, listener) => {
    const model = getModel(call.chain.variant.model);
    const { contextTokens, attempt } = call;
    if (
      !model?.isMemoryShared ||
      model.usualPromptTokens === undefined ||
      contextTokens === undefined
    ) {
      return open(call, listener);
    }
    const draw = random.nextFloat();
    const isYielding = shouldYield(contextTokens, model.usualPromptTokens, attempt, draw);
    return open({ ...call, isYielding }, listener);
  };
}
