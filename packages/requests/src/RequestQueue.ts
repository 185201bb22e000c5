/**
 * Weighted fair queue between teams: start-time fair queuing over the teams that wait, and priorities
 * within a team. A team that floods lengthens its own queue only.
 */
import { PRIORITY_ORDER } from '@skylarksail/core/CoreConstants';
import type { RequestId, TeamId } from '@skylarksail/core/CoreTypes';

/** A request that waits. */
export interface QueueEntry {
  readonly id: RequestId;
  readonly team: TeamId;
  /** Weight of the team. */
  readonly share: number;
  /** Rank of its priority; a higher one goes first. */
  readonly rank: number;
  /** Work in tokens. */
  readonly cost: number;
}

/** Bounds of the queue. */
export interface QueueBounds {
  /** Entries of all teams together. */
  readonly total: number;
}

/** A place was found, another entry had to go for it, or there is none. */
export type PushOutcome =
  | { readonly kind: 'queued' }
  | { readonly kind: 'displaced'; readonly evicted: QueueEntry }
  | { readonly kind: 'full' };

/** The waiting requests of one instance. */
export interface FairQueue {
  push(entry: QueueEntry, teamLimit: number): PushOutcome;
  /** Takes the next entry, unless `fits` refuses it. */
  pop(fits: (entry: QueueEntry) => boolean): QueueEntry | null;
  remove(id: RequestId): void;
  entries(): readonly QueueEntry[];
  size(): number;
  /** Work that would be served before a new entry of the team and rank, counted at its team's share. */
  getWorkAhead(team: TeamId, share: number, rank: number): number;
}

interface TeamQueue {
  readonly byRank: QueueEntry[][];
  share: number;
  count: number;
  cost: number;
  /** Virtual time at which the work taken so far is paid for. */
  finish: number;
}

const RANKS = PRIORITY_ORDER.length;
/** Teams that are idle and owe nothing are forgotten once there are this many. */
const IDLE_TEAMS = 1024;

/** Creates an empty queue. */
export function createFairQueue(bounds: QueueBounds): FairQueue {
  const teams = new Map<TeamId, TeamQueue>();
  const waiting = new Map<RequestId, QueueEntry>();
  let virtualTime = 0;

  function getTeam(entry: QueueEntry): TeamQueue {
    const found = teams.get(entry.team);
    if (found) {
      found.share = entry.share;
      return found;
    }
    if (teams.size > IDLE_TEAMS) {
      forgetIdleTeams();
    }
    const created: TeamQueue = {
      byRank: Array.from({ length: RANKS }, () => []),
      share: entry.share,
      count: 0,
      cost: 0,
      finish: virtualTime,
    };
    teams.set(entry.team, created);
    return created;
  }

  function forgetIdleTeams(): void {
    for (const [id, team] of teams) {
      if (team.count === 0 && team.finish <= virtualTime) {
        teams.delete(id);
      }
    }
  }

  function insert(entry: QueueEntry): void {
    const team = getTeam(entry);
    if (team.count === 0) {
      // A team that was idle has saved up nothing, and owes what it took last.
      team.finish = Math.max(team.finish, virtualTime);
    }
    team.byRank[entry.rank]?.push(entry);
    team.count += 1;
    team.cost += entry.cost;
    waiting.set(entry.id, entry);
  }

  function take(entry: QueueEntry): void {
    const team = teams.get(entry.team);
    const row = team?.byRank[entry.rank];
    if (!team || !row || !waiting.delete(entry.id)) {
      return;
    }
    row.splice(row.indexOf(entry), 1);
    team.count -= 1;
    team.cost -= entry.cost;
  }

  function findNextTeam(): TeamQueue | null {
    let next: TeamQueue | null = null;
    for (const team of teams.values()) {
      if (team.count > 0 && (!next || team.finish < next.finish)) {
        next = team;
      }
    }
    return next;
  }

  /** The team that waits with the most work for its share: the one that floods. */
  function findLongestTeam(): TeamQueue | null {
    let longest: TeamQueue | null = null;
    for (const team of teams.values()) {
      if (team.count > 0 && (!longest || team.cost / team.share > longest.cost / longest.share)) {
        longest = team;
      }
    }
    return longest;
  }

  /** Makes room in a team for a rank: its newest entry of the lowest rank below. */
  function displaceIn(team: TeamQueue, belowRank: number): QueueEntry | null {
    const row = team.byRank.slice(0, belowRank).find((entries) => entries.length > 0);
    return row?.at(-1) ?? null;
  }

  function displaceFor(entry: QueueEntry): QueueEntry | null {
    const longest = findLongestTeam();
    const own = getTeam(entry);
    if (!longest || longest === own) {
      return displaceIn(own, entry.rank);
    }
    const ownLoad = (own.cost + entry.cost) / own.share;
    const isWithinShare = ownLoad <= longest.cost / longest.share;
    return isWithinShare ? displaceIn(longest, RANKS) : displaceIn(own, entry.rank);
  }

  return {
    push(entry, teamLimit) {
      const team = getTeam(entry);
      const isTeamFull = team.count >= teamLimit;
      if (!isTeamFull && waiting.size < bounds.total) {
        insert(entry);
        return { kind: 'queued' };
      }
      const evicted = isTeamFull ? displaceIn(team, entry.rank) : displaceFor(entry);
      if (!evicted) {
        return { kind: 'full' };
      }
      take(evicted);
      insert(entry);
      return { kind: 'displaced', evicted };
    },
    pop(fits) {
      const team = findNextTeam();
      const row = team?.byRank.findLast((entries) => entries.length > 0);
      const entry = row?.[0];
      if (!team || !entry || !fits(entry)) {
        return null;
      }
      virtualTime = Math.max(virtualTime, team.finish);
      team.finish += entry.cost / team.share;
      take(entry);
      return entry;
    },
    remove(id) {
      const entry = waiting.get(id);
      if (entry) {
        take(entry);
      }
    },
    entries: () => [...waiting.values()],
    size: () => waiting.size,
    getWorkAhead(team, share, rank) {
      let total = 0;
      let activeShares = share;
      for (const [id, other] of teams) {
        if (other.count > 0) {
          total += other.cost;
          activeShares += id === team ? 0 : other.share;
        }
      }
      const own = teams.get(team);
      const before = own ? sumCosts(own.byRank.slice(rank)) : 0;
      const debt = own ? Math.max(0, own.finish - virtualTime) * share : 0;
      return Math.min(total, ((before + debt) * activeShares) / share);
    },
  };
}

function sumCosts(rows: readonly (readonly QueueEntry[])[]): number {
  return rows.reduce((sum, row) => sum + row.reduce((part, entry) => part + entry.cost, 0), 0);
}
