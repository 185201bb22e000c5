/**
 * Judges by the known crashes whether a part of a prompt crashes the engines that begin an answer on it. Pure.
 *
 * Most parts at a crash belong to bystanders, and a part that sound requests share is at nearly every crash. What tells
 * them from the cause is that answers begin on them: a part is cleared of all crashes before that.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Crash, PoisonState } from './RequestPoison.js';
import { getNotedAt } from './RequestPoison.js';
import type { PoisonVerdictName } from './RequestPoisonVerdict.js';
import { PoisonVerdict } from './RequestPoisonVerdict.js';
import type { PartName, PartSuspect, PromptPart } from './RequestSuspects.js';
import { getPartName, getRequestTag, getTeamTag } from './RequestSuspects.js';

/** Crashes at which a part was, without an answer that began on it since, from which on it is condemned. */
const CRASH_LIMIT = 3;
/** Of them, those that no other part can have caused as well. */
const LEAST_OWN_CRASHES = 2;
/**
 * Crashes closer together count as one event: when a rack is lost, nothing could have begun between them. A part is
 * condemned only by two events.
 */
const EVENT_TIME: Millis = 300;
const LEAST_EVENTS = 2;
/** Events from which on a condemned part is not tried again. */
const MOST_EVENTS = 4;
/** Pause before a condemned part is tried once more, doubled by each event; shorter for one on which answers have begun. */
const RETRIAL_PAUSE: Millis = 60_000;
const SOUND_RETRIAL_PAUSE: Millis = 5000;
/** Time for the reports of a crash, and of begins after it, to arrive, also if some are lost. */
const REPORT_DELAY: Millis = 1000;
/** Crashes of a part from which on the first attempts of requests with it are trials. */
const TRIAL_CRASHES = 2;
/** Time after the last crash of such a part before a request that was at one is repeated with it. */
const REPEAT_PAUSE: Millis = 1000;

/** What is known of the parts of one request. */
export interface PartsAsked {
  readonly parts: readonly PromptPart[];
  readonly now: Millis;
  /** Whether an answer has begun on the part lately, before its crashes or since. */
  readonly wasSound: (part: PartName) => boolean;
}

/** A verdict and the part that it is on. */
export interface PartVerdict {
  readonly verdict: PoisonVerdictName;
  readonly part: PromptPart;
}

/** Crashes at which each part was, but for those that are disproven and those after which an answer began on it. */
type PartIndex = ReadonlyMap<PartName, readonly PartCrash[]>;

interface PartCrash {
  readonly crash: Crash;
  /** Teams and requests that brought the part there. */
  readonly teams: ReadonlySet<string>;
  readonly requests: ReadonlySet<string>;
}

const indexes = new WeakMap<PoisonState, PartIndex>();

/** Verdicts on the parts of a request that were at a crash. */
export function judgeParts(state: PoisonState, asked: PartsAsked): readonly PartVerdict[] {
  const index = getIndex(state);
  return asked.parts
    .filter(({ name }) => index.has(name))
    .map((part) => ({ part, verdict: judgePart(index, part, asked) }));
}

/** Whether a part is condemned, or about to be, by itself; so it explains the crashes at which it was. */
export function isGuilty(state: PoisonState, suspect: PartSuspect, now: Millis): boolean {
  const index = getIndex(state);
  const name = getPartName(suspect);
  const crashes = listOpen(index, suspect, now);
  return isShown(index, name, crashes, new Set([name]), now);
}

/** How a run of a request depends on parts of its prompt that may crash engines. */
export type PartHold =
  /** It may begin only as a trial of the part. */
  | { readonly kind: 'trial'; readonly part: PartName }
  /** It asks again after the delay. */
  | { readonly kind: 'later'; readonly delay: Millis };

/**
 * Whether a run must wait for one of its parts. A first attempt is held from the second crash on; a request that was at a
 * crash itself from the first on, as its repetition would else cost the next engine at once.
 */
export function findPartHold(
  state: PoisonState,
  { parts, now }: PartsAsked,
  isFirst: boolean,
): PartHold | null {
  const index = getIndex(state);
  const own = new Set(parts.map(({ name }) => name));
  const held = parts
    .map(({ name, suspect }) => ({ name, crashes: listOpen(index, suspect, now) }))
    .filter(({ crashes }) => crashes.length >= (isFirst ? TRIAL_CRASHES : 1))
    .filter(({ name, crashes }) =>
      crashes.some(({ crash }) => !hasRival(index, crash, name, own, crashes.length + 1, now)),
    )
    .sort((a, b) => b.crashes.length - a.crashes.length || (a.name < b.name ? -1 : 1));
  const [first] = held;
  if (!first) {
    return null;
  }
  const wait = REPEAT_PAUSE - (now - getNewest(first.crashes));
  return !isFirst && first.crashes.length >= TRIAL_CRASHES && wait > 0
    ? { kind: 'later', delay: wait }
    : { kind: 'trial', part: first.name };
}

/** Number of crashes at which a part was, whichever team brought it there, and whether or not answers began on it since. */
export function countPartCrashes(state: PoisonState, part: PartName, now: Millis): number {
  return [...state.crashes.values()].filter(
    ({ expiresAt, parts }) => expiresAt > now && [...parts].map(getPartName).includes(part),
  ).length;
}

/** Whether any answer that begins on the part would clear it of a crash. */
export function isPartSuspected(state: PoisonState, part: PartName): boolean {
  return getIndex(state).has(part);
}

function judgePart(
  index: PartIndex,
  { name, suspect }: PromptPart,
  { parts, now, wasSound }: PartsAsked,
): PoisonVerdictName {
  const crashes = listOpen(index, suspect, now);
  if (crashes.length === 0) {
    return PoisonVerdict.Clean;
  }
  const own = new Set(parts.map((part) => part.name));
  if (!isShown(index, name, crashes, own, now)) {
    return PoisonVerdict.Suspect;
  }
  const age = now - getNewest(crashes);
  if (age < REPORT_DELAY) {
    return PoisonVerdict.Doubted;
  }
  const events = countEvents(crashes);
  const pause = wasSound(name) ? SOUND_RETRIAL_PAUSE : RETRIAL_PAUSE;
  const mayTryAgain = events < MOST_EVENTS && age >= pause * 2 ** (events - LEAST_EVENTS);
  return mayTryAgain ? PoisonVerdict.Suspect : PoisonVerdict.Condemned;
}

/** Whether its crashes show that the part causes them, or one of those that the same request holds beside it. */
function isShown(
  index: PartIndex,
  name: PartName,
  crashes: readonly PartCrash[],
  own: ReadonlySet<PartName>,
  now: Millis,
): boolean {
  if (
    crashes.length < CRASH_LIMIT ||
    countEvents(crashes) < LEAST_EVENTS ||
    isOfOneRequest(crashes)
  ) {
    return false;
  }
  const alone = crashes.filter(
    ({ crash }) => !hasRival(index, crash, name, own, crashes.length, now),
  );
  return alone.length >= LEAST_OWN_CRASHES;
}

/** Whether one request alone brought the part to all crashes: then it is blamed, and not what it shares with others. */
function isOfOneRequest(crashes: readonly PartCrash[]): boolean {
  return new Set(crashes.flatMap(({ requests }) => [...requests])).size === 1;
}

/** Whether a crash has another part, which the request does not hold, that was at so many crashes or more. */
function hasRival(
  index: PartIndex,
  crash: Crash,
  name: PartName,
  own: ReadonlySet<PartName>,
  leastCrashes: number,
  now: Millis,
): boolean {
  return [...crash.parts].some((suspect) => {
    const rival = getPartName(suspect);
    return (
      rival !== name &&
      !own.has(rival) &&
      !crash.begunParts.has(rival) &&
      listOpen(index, suspect, now).length >= leastCrashes
    );
  });
}

/**
 * Crashes that count against a part in the hands of a team: those of its own requests, and those of all teams once the
 * part was at crashes of several. A team whose requests crash engines by something else does not condemn what it shares.
 */
function listOpen(index: PartIndex, suspect: PartSuspect, now: Millis): readonly PartCrash[] {
  const known = (index.get(getPartName(suspect)) ?? []).filter(
    ({ crash }) => crash.expiresAt > now,
  );
  const teams = new Set(known.flatMap((one) => [...one.teams]));
  const isOfSeveral = teams.size > 1;
  return known.filter((one) => isOfSeveral || one.teams.has(getTeamTag(suspect)));
}

/** Counts events: crashes that begin an event are `EVENT_TIME` apart from the begin of the one before. */
function countEvents(crashes: readonly PartCrash[]): number {
  let events = 0;
  let begunAt = -Infinity;
  for (const at of crashes.map(({ crash }) => getNotedAt(crash)).sort((a, b) => a - b)) {
    if (at - begunAt >= EVENT_TIME) {
      events += 1;
      begunAt = at;
    }
  }
  return events;
}

function getNewest(crashes: readonly PartCrash[]): Millis {
  return Math.max(...crashes.map(({ crash }) => getNotedAt(crash)));
}

function getIndex(state: PoisonState): PartIndex {
  const index = indexes.get(state) ?? createIndex(state);
  indexes.set(state, index);
  return index;
}

function createIndex(state: PoisonState): PartIndex {
  const index = new Map<PartName, PartCrash[]>();
  for (const crash of state.crashes.values()) {
    for (const [name, suspects] of crash.disproven ? [] : groupByPart(crash)) {
      const teams = new Set(suspects.map(getTeamTag));
      const requests = new Set(suspects.map(getRequestTag));
      index.set(name, [...(index.get(name) ?? []), { crash, teams, requests }]);
    }
  }
  return index;
}

/** The parts of a crash on which no answer has begun since, each as it was in the prompts of several requests. */
function groupByPart({ parts, begunParts }: Crash): ReadonlyMap<PartName, readonly PartSuspect[]> {
  const groups = new Map<PartName, PartSuspect[]>();
  for (const suspect of parts) {
    const name = getPartName(suspect);
    if (!begunParts.has(name)) {
      groups.set(name, [...(groups.get(name) ?? []), suspect]);
    }
  }
  return groups;
}
