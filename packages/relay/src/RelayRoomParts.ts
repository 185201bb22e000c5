/** Creates and connects the components that admit requests by the memory of the own domain. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId } from '@skylarksail/core/CoreTypes';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import type { RoutingState } from '@skylarksail/routing/RoutingTypes';
import type { Catalogue } from './RelayCatalogue.js';
import type { RelayRoom, RelayRoomOptions } from './RelayRoom.js';
import { createRelayRoom } from './RelayRoom.js';
import type { RelayTeamWork } from './RelayTeamWork.js';
import { createRelayTeamWork } from './RelayTeamWork.js';
import type { TeamWork } from './RelayWork.js';

export interface RoomPartsOptions extends Pick<
  RelayRoomOptions,
  'countOwnInstances' | 'work' | 'getSpillShares'
> {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly getState: () => RoutingState;
  readonly catalogue: Pick<Catalogue, 'get'>;
  readonly metrics: Pick<DaemonMetrics, 'registerGauge'>;
}

/** The domain's room, and the work of teams that is counted for it. */
export interface RoomParts {
  readonly room: RelayRoom;
  readonly watchChoice: RelayTeamWork['watchChoice'];
  /** The `teams` field of this instance's work report; none without team work. */
  readTeams(): { readonly teams?: readonly TeamWork[] };
}

/** Creates the room of the own domain with its gauge. */
export function createRoomParts(options: RoomPartsOptions): RoomParts {
  const { domain, getState, catalogue, metrics } = options;
  const teams = createRelayTeamWork({
    domain,
    getModel: (model) => getState().models.get(model),
    getDomain: (engine) => catalogue.get(engine)?.domain ?? null,
  });
  const room = createRelayRoom({ ...options, teams });
  metrics.registerGauge(
    'room_share',
    'share in use of the memory for running requests',
    room.getShare,
  );
  return {
    room,
    watchChoice: teams.watchChoice,
    readTeams() {
      const report = teams.readReport();
      return report === null ? {} : { teams: report };
    },
  };
}
