/** Sums the memory that teams' running requests hold, from reports of other instances. Pure. */
import type { TeamId } from '@skylarksail/core/CoreTypes';
import type { TeamWork, WorkReport } from './RelayWork.js';

/** Maximum number of teams whose sums are kept; it bounds memory where the reports of many instances name different teams. */
const MAX_TEAMS = 256;
/** A report of more tokens for one team is a fault: the engines of a whole domain hold fewer than ten million. */
const MAX_TEAM_TOKENS = 1e8;

/** Sums the work of each team; a report counts with at most `limit` teams, entries with impossible values with none. */
export function sumTeams(
  reports: readonly Pick<WorkReport, 'teams'>[],
  limit: number,
): ReadonlyMap<TeamId, number> {
  const sums = new Map<TeamId, number>();
  for (const { teams = [] } of reports) {
    for (const { team, kvTokens } of teams.slice(0, limit)) {
      if (kvTokens > 0 && kvTokens <= MAX_TEAM_TOKENS) {
        sums.set(team, (sums.get(team) ?? 0) + kvTokens);
      }
    }
  }
  return sums.size <= MAX_TEAMS
    ? sums
    : new Map(listHeaviest(sums, MAX_TEAMS).map(({ team, kvTokens }) => [team, kvTokens]));
}

/** The teams with the most work, heaviest first; none without work. */
export function listHeaviest(
  sums: ReadonlyMap<TeamId, number>,
  limit: number,
): readonly TeamWork[] {
  return [...sums]
    .filter(([, kvTokens]) => kvTokens > 0)
    .map(([team, kvTokens]) => ({ team, kvTokens }))
    .sort((a, b) => b.kvTokens - a.kvTokens)
    .slice(0, limit);
}
