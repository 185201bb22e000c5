/** Ports of this instance's own links, whose calls show whether the links carry. */
import type { EngineId, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  OpenEngineCall,
  OpenServiceCall,
} from '@skylarksail/requests/RequestPorts';
import { isUnreached } from '@skylarksail/requests/RequestFailures';
import { createLinkFailure } from './RelayForwarding.js';
import type { RelayPaths } from './RelayPaths.js';
import type { BackendPorts } from './RelayPorts.js';

/** Wraps the ports of this instance's own links, so that what its calls show of them is known. */
export function createWatchedPorts(own: BackendPorts, paths: RelayPaths): BackendPorts {
  function noteFailure(failure: AttemptFailure, server: EngineId): void {
    if (isUnreached(failure)) {
      paths.noteOwnFailure(server);
    }
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const server = call.chain.stages[0]?.engine ?? '';
    let cancel: Unregister = () => undefined;
    const watch = paths.watch(server, () => {
      cancel();
      listener.onFailure(createLinkFailure(server));
    });
    cancel = own.openEngineCall(call, {
      onConnection: (isSent) => listener.onConnection?.(isSent),
      onAcknowledged(acknowledgement) {
        watch.noteSign();
        listener.onAcknowledged(acknowledgement);
      },
      onToken(index, token) {
        watch.noteSign();
        listener.onToken(index, token);
      },
      onEnd(reason, tokenCount) {
        watch.noteSign();
        watch.end();
        listener.onEnd(reason, tokenCount);
      },
      onFailure(failure) {
        watch.end();
        noteFailure(failure, server);
        listener.onFailure(failure);
      },
    });
    return () => {
      watch.end();
      cancel();
    };
  };

  /** A call that may have run is left to its answer: the link may carry again before its deadline. */
  const openServiceCall: OpenServiceCall = (call, listener) => {
    const watch = paths.watch(call.server, () => undefined);
    let isConnecting = false;
    const cancel = own.openServiceCall(call, {
      onConnection(isSent) {
        isConnecting = !isSent;
        listener.onConnection?.(isSent);
      },
      onAnswer(answer) {
        watch.noteSign();
        watch.end();
        listener.onAnswer(answer);
      },
      onFailure(failure) {
        watch.end();
        noteFailure(failure, call.server);
        listener.onFailure(failure);
      },
    });
    return () => {
      watch.end();
      cancel();
      if (isConnecting) {
        // Its caller had no more time for this server, so nothing else shows whether the link is cut.
        paths.suspect(call.server);
      }
    };
  };

  return { ...own, openEngineCall, openServiceCall };
}
