/** Applies the request limits and backoffs of backend servers to the choice of chains and servers. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { ChainChoice, ChainRequest } from '@skylarksail/requests/RequestTypes';
import type { ChooseServer } from '@skylarksail/requests/RouterTypes';
import type { Permit, RelayLimits } from './RelayLimits.js';
import type { RelayBackoffs } from './RelayBackoffs.js';

export interface PermitChoicesOptions {
  readonly limits: Pick<RelayLimits, 'listBlocked' | 'reserve'>;
  readonly backoffs: Pick<RelayBackoffs, 'listBackedOff' | 'getTimeLeft'>;
  /** Whether a server receives requests itself, rather than from the engine before it in a chain. */
  readonly isFirst: (server: EngineId) => boolean;
}

/** Wrappers of the router's ports. */
export interface PermitChoices {
  /**
   * Chooses no engine that asked for a backoff, and no first one that needs a permit and has none; reserves one for the
   * chain that is chosen.
   */
  limitChoice<R extends ChainRequest>(
    choose: (request: R) => ChainChoice,
  ): (request: R) => ChainChoice;
  /** Uses the permit of a call's chain when the call is sent. */
  usePermits(open: OpenEngineCall): OpenEngineCall;
  /** Chooses no server of a plain service that asked for a backoff, or needs a permit and has none. */
  limitServers(choose: ChooseServer): ChooseServer;
}

type ChosenChain = Extract<ChainChoice, { kind: 'chain' }>;

/** Waiting helps, as a permit may come. */
const NO_PERMIT: ChainChoice = { kind: 'none', isFull: true, retryAfter: 0 };

export function createPermitChoices({
  limits,
  backoffs,
  isFirst,
}: PermitChoicesOptions): PermitChoices {
  const permits = new WeakMap<Chain, Permit>();

  function listBlocked(): readonly EngineId[] {
    return limits.listBlocked().filter(isFirst);
  }

  /** Tells how long the backoffs last if there would be a chain without them. */
  function explainNone<R extends ChainRequest>(
    none: ChainChoice,
    choose: (request: R) => ChainChoice,
    request: R,
    backedOff: readonly EngineId[],
  ): ChainChoice {
    // They may be avoided for having refused, too.
    const avoid = request.avoid.filter((engine) => !backedOff.includes(engine));
    const withThem = backedOff.length > 0 ? choose({ ...request, avoid }) : none;
    if (withThem.kind === 'none') {
      return none;
    }
    withThem.hold.release({ kind: 'cancelled' });
    const times = withThem.chain.stages.map(({ engine }) => backoffs.getTimeLeft(engine));
    return { kind: 'none', isFull: true, retryAfter: 0, backoffLeft: Math.max(...times) };
  }

  function reserveFor(
    choice: ChosenChain,
    blocked: readonly EngineId[],
    backedOff: readonly EngineId[],
  ): ChainChoice {
    const first = choice.chain.stages[0]?.engine ?? '';
    if (blocked.includes(first) || choice.chain.stages.some((s) => backedOff.includes(s.engine))) {
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
      const backedOff = backoffs.listBackedOff();
      const limited = { ...request, avoid: [...request.avoid, ...blocked] };
      const choice = choose({ ...limited, avoid: [...limited.avoid, ...backedOff] });
      return choice.kind === 'none'
        ? explainNone(choice, choose, limited, backedOff)
        : reserveFor(choice, blocked, backedOff);
    },
    usePermits: (open) => (call, listener) => {
      permits.get(call.chain)?.use();
      return open(call, listener);
    },
    limitServers: (choose) => (service, avoid) => {
      const choice = choose(service, [...avoid, ...listBlocked(), ...backoffs.listBackedOff()]);
      if (choice) {
        limits.reserve(choice.server)?.use();
      }
      return choice;
    },
  };
}
