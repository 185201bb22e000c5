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

type ChosenChain = Extract<ChainChoice, { kind: 'chain' }>;

/** Waiting helps, as a permit may come. */
const NO_PERMIT: ChainChoice = { kind: 'none', isFull: true, retryAfter: 0 };

export function createPermitChoices({ limits, isFirst }: PermitChoicesOptions): PermitChoices {
  const permits = new WeakMap<Chain, Permit>();

  function listBlocked(): readonly EngineId[] {
    return limits.listBlocked().filter(isFirst);
  }

  function reserveFor(choice: ChainChoice, blocked: readonly EngineId[]): ChainChoice {
    if (choice.kind === 'none') {
      return choice;
    }
    const first = choice.chain.stages[0]?.engine ?? '';
    if (blocked.includes(first)) {
      // A repair keeps the engines that are left of a chain, whatever it should avoid.
      choice.hold.release({ kind: 'cancelled' });
      return NO_PERMIT;
    }
    const permit = limits.reserve(first);
    return permit === null ? choice : holdPermit(choice, permit);
  }

  /** Returns the permit with the chain's capacity if the chain is not used. */
  function holdPermit(choice: ChosenChain, permit: Permit): ChosenChain {
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
    limitChoice: (choose) => (request) => {
      const blocked = listBlocked();
      return reserveFor(choose({ ...request, avoid: [...request.avoid, ...blocked] }), blocked);
    },
    usePermits: (open) => (call, listener) => {
      permits.get(call.chain)?.use();
      return open(call, listener);
    },
    limitServers: (choose) => (service, avoid) => {
      const choice = choose(service, [...avoid, ...listBlocked()]);
      if (choice) {
        limits.reserve(choice.server)?.use();
      }
      return choice;
    },
  };
}
