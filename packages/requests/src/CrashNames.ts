/** The names of requests and parts that a crash report lists: what is new in them, and what goes to all instances. Pure. */
import type { Crash, Fingerprint } from './RequestPoison.js';
import type { PartName, PartSuspect } from './RequestSuspects.js';
import { getPartName, getTeamTag, isPartName } from './RequestSuspects.js';

/** What is listed for all instances: suspects and parts of several crashes. */
export interface KeptNames {
  readonly suspects: ReadonlySet<Fingerprint>;
  readonly parts: ReadonlySet<PartName>;
}

/** The sets of names of a crash. */
const NAME_FIELDS = ['suspects', 'cleared', 'completed', 'parts', 'begunParts'] as const;
type NameField = (typeof NAME_FIELDS)[number];

function mapNames(
  crash: Crash,
  change: (names: ReadonlySet<string>, field: NameField) => ReadonlySet<string>,
): Crash {
  const changed = NAME_FIELDS.map((field) => [field, change(crash[field], field)] as const);
  return { ...crash, ...Object.fromEntries(changed) };
}

/** What a crash has that it had not before. */
export function listNews(before: Crash | undefined, after: Crash): Crash {
  const subtract = (old: ReadonlySet<string> | undefined, names: ReadonlySet<string>) =>
    new Set([...names].filter((name) => !old?.has(name)));
  return mapNames(after, (names, field) => subtract(before?.[field], names));
}

/** Joins what was observed of a crash before with what is new. */
export function joinCrashes(known: Crash | undefined, news: Crash): Crash {
  return mapNames(news, (names, field) => new Set([...(known?.[field] ?? []), ...names]));
}

/** Keeps the names that are listed for all instances. */
export function keepNames(crash: Crash, kept: KeptNames): Crash {
  const isKept = (name: string): boolean =>
    isPartName(name) ? kept.parts.has(getPartName(name)) : kept.suspects.has(name);
  return mapNames(crash, (names, field) => {
    const listed = [...names].filter(isKept);
    return new Set(field === 'parts' ? pickSuspects(listed) : listed);
  });
}

/** Keeps two requests with each part, of two teams if possible; that is all that a verdict needs to know of them. */
function pickSuspects(suspects: readonly PartSuspect[]): readonly PartSuspect[] {
  const picked = new Map<PartName, readonly PartSuspect[]>();
  for (const suspect of [...suspects].sort()) {
    const name = getPartName(suspect);
    const [first, second] = picked.get(name) ?? [];
    const isOfOther = first !== undefined && getTeamTag(first) !== getTeamTag(suspect);
    const isSecondOfOther = first && second && getTeamTag(first) !== getTeamTag(second);
    if (first === undefined) {
      picked.set(name, [suspect]);
    } else if (second === undefined || (isOfOther && !isSecondOfOther)) {
      picked.set(name, [first, suspect]);
    }
  }
  return [...picked.values()].flat();
}

/** Describes the names of a crash, whatever their order. */
export function describeContent(crash: Crash): string {
  const names = NAME_FIELDS.map((field) => [...crash[field]].sort());
  return JSON.stringify([crash.disproven, ...names]);
}
