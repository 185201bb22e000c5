/** Counts this instance's open calls to engines, for each engine of their chains. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';

/** A function that opens calls, and the number of those that are open. */
export interface EngineCalls {
  readonly open: OpenEngineCall;
  /** Calls whose chain contains the engine, at any stage. */
  countCalls(engine: EngineId): number;
}

/** Wraps a function that opens calls so that the open ones are counted. */
export function createEngineCalls(open: OpenEngineCall): EngineCalls {
  const counts = new Map<EngineId, number>();

  function addToCounts({ stages }: Chain, change: 1 | -1): void {
    stages.forEach(({ engine }) => {
      const count = (counts.get(engine) ?? 0) + change;
      if (count > 0) {
        counts.set(engine, count);
      } else {
        counts.delete(engine);
      }
    });
  }

  return {
    countCalls: (engine) => counts.get(engine) ?? 0,
    open(call, listener) {
      let isOpen = true;
      function close(): void {
        if (isOpen) {
          isOpen = false;
          addToCounts(call.chain, -1);
        }
      }
      addToCounts(call.chain, 1);
      const cancel = open(call, {
        onAcknowledged: (acknowledgement) => listener.onAcknowledged(acknowledgement),
        onToken: (index, token) => listener.onToken(index, token),
        onEnd(reason, tokenCount) {
          close();
          listener.onEnd(reason, tokenCount);
        },
        onFailure(failure) {
          close();
          listener.onFailure(failure);
        },
      });
      return () => {
        close();
        cancel();
      };
    },
  };
}
