/** Reads the memory for running requests of this instance's domain, for the admission of requests. */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, Millis, ModelId, TeamId } from '@skylarksail/core/CoreTypes';
import type { RoomView } from '@skylarksail/requests/RequestRoom';
import { SHORT_ROOM_SHARE } from '@skylarksail/requests/RequestRoom';
import type { RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { DomainRoom } from '@skylarksail/routing/RoutingRoom';
import { getDomainRoom, getRoomShare } from '@skylarksail/routing/RoutingRoom';
import type { SpillShares } from '@skylarksail/routing/RoutingSpillover';
import type { RoutingState } from '@skylarksail/routing/RoutingTypes';
import type { RelayTeamWork } from './RelayTeamWork.js';
import type { RelayWork } from './RelayWork.js';

export interface RelayRoomOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly getState: () => RoutingState;
  /** Number of live instances in this instance's failure domain, including itself. */
  readonly countOwnInstances: () => number;
  readonly work: Pick<RelayWork, 'getTeamWork' | 'countTeams' | 'getReportAge'>;
  readonly teams: Pick<RelayTeamWork, 'get' | 'listTeams'>;
  /** Shares that a new request meets in the own domain and where spillover sends a part of them; unknown if omitted. */
  readonly getSpillShares?: (variant: ModelVariant) => SpillShares | null;
}

export interface RelayRoom {
  /** Memory by which requests are admitted; null if it is unknown or if the model's requests do not share memory. */
  read(spec: RequestSpec): RoomView | null;
  /** Whether engines of the own domain let requests of the model wait for memory. */
  isShort(spec: RequestSpec): boolean;
  /** Largest share in use of the own domain over all models with requests so far; 0 if none is known. */
  getShare(): number;
}

/** In this time, this instance's own new requests change the share by less than a hundredth. */
const MAX_VIEW_AGE: Millis = 50;

/** What determines the room of a request. */
type RoomKey = Pick<RequestSpec, 'model' | 'variant' | 'layerCount'>;

interface CachedRoom {
  readonly key: RoomKey;
  readonly at: Millis;
  readonly loads: RoutingState['loads'];
  /** Null if no engine of the domain holds the model, or some layer is held by none. */
  readonly room: DomainRoom | null;
}

export function createRelayRoom(options: RelayRoomOptions): RelayRoom {
  const { domain, timers, getState, work, teams } = options;
  const rooms = new Map<ModelId, CachedRoom>();

  /** The room of the own domain, recalculated after each load report and after `MAX_VIEW_AGE`. */
  function getRoom(key: RoomKey, state: RoutingState): DomainRoom | null {
    const { model, variant, layerCount } = key;
    const now = timers.now();
    const before = rooms.get(model);
    if (before && before.loads === state.loads && now - before.at < MAX_VIEW_AGE) {
      return before.room;
    }
    const found = getDomainRoom(state, variant, layerCount, domain, now);
    const room = found !== null && found.capacity > 0 ? found : null;
    rooms.set(model, { key: { model, variant, layerCount }, at: now, loads: state.loads, room });
    return room;
  }

  /** The room, or null if this instance does not know enough of it. */
  function readRoom(key: RoomKey): DomainRoom | null {
    const state = getState();
    if (!state.models.get(key.model)?.isMemoryShared || !isKnown()) {
      rooms.delete(key.model);
      return null;
    }
    return getRoom(key, state);
  }

  /** Shares at the last load report, which include requests of other domains; null if they are unknown or without memory. */
  function readSpillShares({ variant }: RoomKey): SpillShares | null {
    const shares = options.getSpillShares?.(variant) ?? null;
    return shares !== null && Number.isFinite(shares.own) ? shares : null;
  }

  /** Share in use of the own domain; 0 if it is unknown. The room itself lacks requests of other domains. */
  function readOwnShare(key: RoomKey): number {
    const room = readRoom(key);
    return room === null ? 0 : Math.max(getRoomShare(room), readSpillShares(key)?.own ?? 0);
  }

  /** Own work alone shows the use of the memory only where no other instance uses it. */
  function isKnown(): boolean {
    return work.getReportAge() !== null || options.countOwnInstances() <= 1;
  }

  function getTeamShare(team: TeamId, { capacity }: DomainRoom): number {
    const used = teams.get(team) + (work.getTeamWork(team) ?? 0);
    const count = Math.max(1, work.countTeams(teams.listTeams()));
    return (used * count) / capacity;
  }

  return {
    read(spec) {
      const room = readRoom(spec);
      if (room === null) {
        return null;
      }
      const spill = readSpillShares(spec);
      return {
        share: spill === null ? getRoomShare(room) : getMeanShare(spill),
        age: work.getReportAge() ?? 0,
        teamShare: getTeamShare(spec.team, room),
      };
    },
    isShort: (spec) => readOwnShare(spec) >= SHORT_ROOM_SHARE,
    getShare: () => Math.max(0, ...[...rooms.values()].map(({ key }) => readOwnShare(key))),
  };
}

/** Mean share in use over the domains that new requests go to, as a part of them is sent to another domain. */
function getMeanShare({ own, emptiest }: SpillShares): number {
  return emptiest === null || emptiest.share >= own
    ? own
    : own + emptiest.probability * (emptiest.share - own);
}
