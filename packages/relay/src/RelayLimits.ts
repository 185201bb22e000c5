/** Records the requests a second that backend servers say they take from all instances together. */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';

export interface RelayLimitsOptions {
  readonly logger: Pick<DaemonLogger, 'info'>;
  /** Called for each request to a server that has named a limit. */
  readonly onLimitedRequest: () => void;
}

export interface RelayLimits {
  /** A server named its limit in an answer, in requests a second, or null if the answer named none. */
  noteLimit(server: EngineId, limit: number | null): void;
  /** A request is about to be sent to a server. */
  noteRequest(server: EngineId): void;
}

export function createRelayLimits(options: RelayLimitsOptions): RelayLimits {
  const limits = new Map<EngineId, number>();

  return {
    noteLimit(server, limit) {
      const before = limits.get(server) ?? null;
      if (limit === before) {
        return;
      }
      options.logger.info({ server, limit, before }, 'request limit of a server');
      if (limit === null) {
        limits.delete(server);
      } else {
        limits.set(server, limit);
      }
    },
    noteRequest(server) {
      if (limits.has(server)) {
        options.onLimitedRequest();
      }
    },
  };
}
