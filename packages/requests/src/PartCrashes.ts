/**
 * The known crashes by the parts of prompts that were there, without those that are disproven or forgotten, and without the
 * parts on which an answer has begun since. Verdicts look up hundreds of parts in hundreds of crashes, so each list is
 * made once for a state.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Crash, PoisonState } from './RequestPoison.js';
import { getNotedAt } from './RequestPoison.js';
import type { PartName } from './RequestSuspects.js';
import { getPartName, getRequestTag, getTeamTag } from './RequestSuspects.js';

/** A part in the hands of a team. */
export interface HeldPart {
  readonly name: PartName;
  /** Tag of the team. */
  readonly team: string;
}

/** A crash at which a part was. */
export interface PartCrash {
  readonly crash: Crash;
  readonly notedAt: Millis;
  /** Tags of the teams and requests that brought the part there. */
  readonly teams: ReadonlySet<string>;
  readonly requests: ReadonlySet<string>;
}

export interface PartCrashes {
  /** Whether a part was at a crash without an answer that began on it since. */
  has(part: PartName): boolean;
  /**
   * Crashes that count against a part in the hands of a team: those of its own requests, and those of all teams once the
   * part was at crashes of several. A team whose requests crash engines by something else does not condemn what it shares.
   */
  listOpen(part: HeldPart): readonly PartCrash[];
  /** The parts that were at a crash, once for each team. */
  listHeld(crash: Crash): readonly HeldPart[];
  /** Returns a verdict on a part in the hands of a team; computed once. */
  computeOnce(part: HeldPart, compute: () => boolean): boolean;
}

/** What was at one crash, by part. */
type CrashContent = ReadonlyMap<PartName, PartCrash>;

interface CachedCrashes {
  readonly crashes: PartCrashes;
  /** Time at which the first crash of the state is forgotten. */
  readonly validUntil: Millis;
}

const contents = new WeakMap<Crash, CrashContent>();
const cached = new WeakMap<PoisonState, CachedCrashes>();

/** Returns the crashes of a state by part. */
export function getPartCrashes(state: PoisonState, now: Millis): PartCrashes {
  const known = cached.get(state);
  if (known && now < known.validUntil) {
    return known.crashes;
  }
  const live = [...state.crashes.values()].filter(({ expiresAt }) => expiresAt > now);
  const crashes = createPartCrashes(live);
  const validUntil = Math.min(...live.map(({ expiresAt }) => expiresAt));
  cached.set(state, { crashes, validUntil });
  return crashes;
}

function createPartCrashes(live: readonly Crash[]): PartCrashes {
  const byPart = new Map<PartName, PartCrash[]>();
  const open = new Map<string, readonly PartCrash[]>();
  const verdicts = new Map<string, boolean>();
  for (const crash of live) {
    for (const [name, one] of crash.disproven ? [] : getContent(crash)) {
      const list = byPart.get(name) ?? [];
      list.push(one);
      byPart.set(name, list);
    }
  }

  function computeOpen({ name, team }: HeldPart): readonly PartCrash[] {
    const known = byPart.get(name) ?? [];
    const isOfSeveral = new Set(known.flatMap(({ teams }) => [...teams])).size > 1;
    return isOfSeveral ? known : known.filter(({ teams }) => teams.has(team));
  }

  return {
    has: (part) => byPart.has(part),
    listOpen: (part) => computeOnce(open, getKey(part), () => computeOpen(part)),
    listHeld: (crash) =>
      [...getContent(crash)].flatMap(([name, { teams }]) =>
        [...teams].map((team) => ({ name, team })),
      ),
    computeOnce: (part, compute) => computeOnce(verdicts, getKey(part), compute),
  };
}

function getKey({ name, team }: HeldPart): string {
  return `${name} ${team}`;
}

function computeOnce<T>(results: Map<string, T>, key: string, compute: () => T): T {
  const known = results.get(key);
  const result = known ?? compute();
  results.set(key, result);
  return result;
}

function getContent(crash: Crash): CrashContent {
  const content = contents.get(crash) ?? createContent(crash);
  contents.set(crash, content);
  return content;
}

function createContent(crash: Crash): CrashContent {
  const teams = new Map<PartName, Set<string>>();
  const requests = new Map<PartName, Set<string>>();
  for (const suspect of crash.parts) {
    const name = getPartName(suspect);
    if (!crash.begunParts.has(name)) {
      addTo(teams, name, getTeamTag(suspect));
      addTo(requests, name, getRequestTag(suspect));
    }
  }
  const notedAt = getNotedAt(crash);
  return new Map(
    [...teams].map(([name, ofTeams]) => [
      name,
      { crash, notedAt, teams: ofTeams, requests: requests.get(name) ?? new Set() },
    ]),
  );
}

function addTo(sets: Map<string, Set<string>>, key: string, value: string): void {
  sets.set(key, (sets.get(key) ?? new Set()).add(value));
}
