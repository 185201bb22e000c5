/**
 * Weighted fair queue: start-time fair queuing between teams, and strict priorities within a team. A team
 * that sends too many requests lengthens only its own queue.
 */
import { PRIORITY_ORDER } from '@skylarksail/core/CoreConstants';
import type { RequestId, TeamId } from '@skylarksail/core/CoreTypes';

/** A waiting request. */
export interface QueueEntry {
  readonly id: RequestId;
  readonly team: TeamId;
  /** Weight of the team. */
  readonly share: number;
  /** Rank of the priority; higher ranks are served first. */
  readonly rank: number;
  /** Work in tokens. */
  readonly cost: number;
}

export interface QueueBounds {
  /** Maximum number of entries of all teams. */
  readonly total: number;
}

/** The entry was queued, was queued in place of an evicted entry, or was rejected. */
export type PushOutcome =
  | { readonly kind: 'queued' }
  | { readonly kind: 'displaced'; readonly evicted: QueueEntry }
  | { readonly kind: 'full' };

/** The waiting requests of one instance. */
export interface FairQueue {
  push(entry: QueueEntry, teamLimit: number): PushOutcome;
  /** Removes and returns the next entry if `fits` accepts it. */
  pop(fits: (entry: QueueEntry) => boolean): QueueEntry | null;
  remove(id: RequestId): void;
  entries(): readonly QueueEntry[];
  size(): number;
  /** Estimated work of all teams that is served before a new entry of the team and rank. */
  getWorkAhead(team: TeamId, share: number, rank: number): number;
  /** Number of teams that are kept: those with entries, and some others with the work that they got before. */
  countTeams(): number;
}

interface TeamQueue {
  readonly byRank: QueueEntry[][];
  share: number;
  count: number;
  cost: number;
  /** Virtual finish time of the work dequeued so far. */
  finish: number;
}

const RANK_COUNT = PRIORITY_ORDER.length;
/**
 * Maximum number of idle teams that a cleanup keeps: those that got the most work ahead of the others. Each choice goes
 * over all teams that are kept.
 */
const MAX_IDLE_TEAMS = 512;

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
    // Teams with entries stay, so a cleanup waits until it can remove at least half of what it goes over.
    if (teams.size >= 2 * (waiting.size + MAX_IDLE_TEAMS)) {
      removeIdleTeams();
    }
    const created: TeamQueue = {
      byRank: Array.from({ length: RANK_COUNT }, () => []),
      share: entry.share,
      count: 0,
      cost: 0,
      finish: virtualTime,
    };
    teams.set(entry.team, created);
    return created;
  }

  /**
   * While each team sends few requests, virtual time hardly advances and nearly all idle teams are ahead of it. The
   * removed ones forget that lead, which is the smallest of all.
   */
  function removeIdleTeams(): void {
    const idle = [...teams].filter(([, { count }]) => count === 0);
    const ahead = idle.filter(([, { finish }]) => finish > virtualTime);
    ahead.sort(([, a], [, b]) => b.finish - a.finish);
    const kept = new Set(ahead.slice(0, MAX_IDLE_TEAMS).map(([id]) => id));
    idle.filter(([id]) => !kept.has(id)).forEach(([id]) => teams.delete(id));
  }

  function enqueue(entry: QueueEntry): void {
    const team = getTeam(entry);
    if (team.count === 0) {
      // An idle team accumulates no credit, but work it dequeued ahead of virtual time still counts.
      team.finish = Math.max(team.finish, virtualTime);
    }
    team.byRank[entry.rank]?.push(entry);
    team.count += 1;
    team.cost += entry.cost;
    waiting.set(entry.id, entry);
  }

  function dequeue(entry: QueueEntry): void {
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

  /** Finds the team with the most waiting work relative to its share. */
  function findMostBackloggedTeam(): TeamQueue | null {
    let mostBacklogged: TeamQueue | null = null;
    for (const team of teams.values()) {
      if (
        team.count > 0 &&
        (!mostBacklogged || team.cost / team.share > mostBacklogged.cost / mostBacklogged.share)
      ) {
        mostBacklogged = team;
      }
    }
    return mostBacklogged;
  }

  /** Finds the entry to evict from a team: the newest of the lowest waiting rank below `belowRank`. */
  function findEvictionIn(team: TeamQueue, belowRank: number): QueueEntry | null {
    const row = team.byRank.slice(0, belowRank).find((entries) => entries.length > 0);
    return row?.at(-1) ?? null;
  }

  function findEvictionFor(entry: QueueEntry): QueueEntry | null {
    const mostBacklogged = findMostBackloggedTeam();
    const own = getTeam(entry);
    if (!mostBacklogged || mostBacklogged === own) {
      return findEvictionIn(own, entry.rank);
    }
    const ownLoad = (own.cost + entry.cost) / own.share;
    const isWithinShare = ownLoad <= mostBacklogged.cost / mostBacklogged.share;
    return isWithinShare
      ? findEvictionIn(mostBacklogged, RANK_COUNT)
      : findEvictionIn(own, entry.rank);
  }

  return {
    push(entry, teamLimit) {
      const team = getTeam(entry);
      const isTeamFull = team.count >= teamLimit;
      if (!isTeamFull && waiting.size < bounds.total) {
        enqueue(entry);
        return { kind: 'queued' };
      }
      const evicted = isTeamFull ? findEvictionIn(team, entry.rank) : findEvictionFor(entry);
      if (!evicted) {
        return { kind: 'full' };
      }
      dequeue(evicted);
      enqueue(entry);
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
      dequeue(entry);
      return entry;
    },
    remove(id) {
      const entry = waiting.get(id);
      if (entry) {
        dequeue(entry);
      }
    },
    entries: () => [...waiting.values()],
    size: () => waiting.size,
    countTeams: () => teams.size,
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
      const workAhead = own ? sumCosts(own.byRank.slice(rank)) : 0;
      const debt = own ? Math.max(0, own.finish - virtualTime) * share : 0;
      return Math.min(total, ((workAhead + debt) * activeShares) / share);
    },
  };
}

function sumCosts(rows: readonly (readonly QueueEntry[])[]): number {
  return rows.reduce((sum, row) => sum + row.reduce((part, entry) => part + entry.cost, 0), 0);
}
