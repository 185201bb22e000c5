/** Applies the request limits of backend servers to the choice of chains and servers. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { ChainChoice, ChainRequest } from '@skylarksail/requests/RequestTypes';
import type { ChooseServer } from '@skylarksail/requests/RouterTypes';
import type { Permit, RelayLimits } from './RelayLimits.js';

export interface PermitChoicesOptions {
  readonly limits: Pick<RelayLimits, 'listBlocked' | 'reserve'>;
  /** Whether a server receives requests itself, rather than from the engine before it in a chain. */
  readonly isFirst: (server: EngineId) => boolean;
}

/** Wrappers of the router's ports. */
export interface PermitChoices {
  /** Chooses no first engine that needs a permit and has none, and reserves one for the chain that is chosen. */
  limitChoice<R extends ChainRequest>(
    choose: (request: R) => ChainChoice,
  ): (request: R) => ChainChoice;
  /** Uses the permit of a call's chain when the call is sent. */
  usePermits(open: OpenEngineCall): OpenEngineCall;
  /** Chooses no server of a plain service that needs a permit and has none. */
  limitServers(choose: ChooseServer): ChooseServer;
}

export function createPermitChoices({ limits, isFirst }: PermitChoicesOptions): PermitChoices {
  const permits = new WeakMap<Chain, Permit>();

  function listAvoided(avoid: readonly EngineId[]): readonly EngineId[] {
    const blocked = limits.listBlocked().filter(isFirst);
    return blocked.length === 0 ? avoid : [...avoid, ...blocked];
  }

  function reserveFor(choice: ChainChoice): ChainChoice {
    const permit =
      choice.kind === 'chain' ? limits.reserve(choice.chain.stages[0]?.engine ?? '') : null;
    if (choice.kind === 'none' || permit === null) {
      return choice;
    }
    const { hold } = choice;
    permits.set(choice.chain, permit);
    return {
      ...choice,
      hold: {
        ...hold,
        release: (outcome) => {
          permit.giveBack();
          hold.release(outcome);
        },
      },
    };
  }

  return {
    limitChoice: (choose) => (request) =>
      reserveFor(choose({ ...request, avoid: listAvoided(request.avoid) })),
    usePermits: (open) => (call, listener) => {
      permits.get(call.chain)?.use();
      return open(call, listener);
    },
    limitServers: (choose) => (service, avoid) => {
      const choice = choose(service, listAvoided(avoid));
      if (choice) {
        limits.reserve(choice.server)?.use();
      }
      return choice;
    },
  };
}
