/**
 * Judges by the known crashes whether a part of a prompt crashes the engines that begin an answer on it. Pure.
 *
 * Most parts at a crash belong to bystanders, and a part that sound requests share is at nearly every crash. What tells
 * them from the cause is that answers begin on them: a part is cleared of all crashes before that.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { HeldPart, PartCrash, PartCrashes } from './PartCrashes.js';
import { getPartCrashes } from './PartCrashes.js';
import type { Crash, PoisonState } from './RequestPoison.js';
import type { PoisonVerdictName } from './RequestPoisonVerdict.js';
import { PoisonVerdict } from './RequestPoisonVerdict.js';
import type { PartName, PromptPart } from './RequestSuspects.js';
import { getPartName, getTeamTag } from './RequestSuspects.js';

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

/** Verdicts on the parts of a request that were at a crash. */
export function judgeParts(state: PoisonState, asked: PartsAsked): readonly PartVerdict[] {
  const known = getPartCrashes(state, asked.now);
  return asked.parts
    .filter(({ name }) => known.has(name))
    .map((part) => ({ part, verdict: judgePart(known, part, asked) }));
}

/** Whether a crash has a part that is condemned by itself, or about to be, and that a request does not hold. */
export function isExplainedByPart(
  state: PoisonState,
  crash: Crash,
  own: ReadonlySet<PartName>,
  now: Millis,
): boolean {
  const known = getPartCrashes(state, now);
  return known
    .listHeld(crash)
    .some(
      (part) =>
        !own.has(part.name) &&
        known.computeOnce(part, () => isShown(known, part, new Set([part.name]))),
    );
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
  const known = getPartCrashes(state, now);
  const own = listNames(parts);
  const [first] = parts
    .map((part) => ({ name: part.name, crashes: known.listOpen(toHeld(part)) }))
    .filter(({ crashes }) => crashes.length >= (isFirst ? TRIAL_CRASHES : 1))
    .filter(({ name, crashes }) =>
      crashes.some((one) => !hasRival(known, one, name, own, crashes.length + 1)),
    )
    .sort((a, b) => b.crashes.length - a.crashes.length || (a.name < b.name ? -1 : 1));
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

function judgePart(
  known: PartCrashes,
  part: PromptPart,
  { parts, now, wasSound }: PartsAsked,
): PoisonVerdictName {
  const held = toHeld(part);
  const crashes = known.listOpen(held);
  if (crashes.length === 0) {
    return PoisonVerdict.Clean;
  }
  if (!isShown(known, held, listNames(parts))) {
    return PoisonVerdict.Suspect;
  }
  const age = now - getNewest(crashes);
  if (age < REPORT_DELAY) {
    return PoisonVerdict.Doubted;
  }
  const events = countEvents(crashes);
  const pause = wasSound(part.name) ? SOUND_RETRIAL_PAUSE : RETRIAL_PAUSE;
  const mayTryAgain = events < MOST_EVENTS && age >= pause * 2 ** (events - LEAST_EVENTS);
  return mayTryAgain ? PoisonVerdict.Suspect : PoisonVerdict.Condemned;
}

function toHeld({ name, suspect }: PromptPart): HeldPart {
  return { name, team: getTeamTag(suspect) };
}

function listNames(parts: readonly PromptPart[]): ReadonlySet<PartName> {
  return new Set(parts.map(({ name }) => name));
}

/** Whether its crashes show that the part causes them, or one of those that the same request holds beside it. */
function isShown(known: PartCrashes, part: HeldPart, own: ReadonlySet<PartName>): boolean {
  const crashes = known.listOpen(part);
  if (
    crashes.length < CRASH_LIMIT ||
    countEvents(crashes) < LEAST_EVENTS ||
    isOfOneRequest(crashes)
  ) {
    return false;
  }
  const alone = crashes.filter((one) => !hasRival(known, one, part.name, own, crashes.length));
  return alone.length >= LEAST_OWN_CRASHES;
}

/** Whether one request alone brought the part to all crashes: then it is blamed, and not what it shares with others. */
function isOfOneRequest(crashes: readonly PartCrash[]): boolean {
  return new Set(crashes.flatMap(({ requests }) => [...requests])).size === 1;
}

/** Whether a crash has another part, which the request does not hold, that was at so many crashes or more. */
function hasRival(
  known: PartCrashes,
  { crash }: PartCrash,
  name: PartName,
  own: ReadonlySet<PartName>,
  leastCrashes: number,
): boolean {
  return known
    .listHeld(crash)
    .some(
      (rival) =>
        rival.name !== name && !own.has(rival.name) && known.listOpen(rival).length >= leastCrashes,
    );
}

/** Counts events: crashes that begin an event are `EVENT_TIME` apart from the begin of the one before. */
function countEvents(crashes: readonly PartCrash[]): number {
  let events = 0;
  let begunAt = -Infinity;
  for (const at of crashes.map(({ notedAt }) => notedAt).sort((a, b) => a - b)) {
    if (at - begunAt >= EVENT_TIME) {
      events += 1;
      begunAt = at;
    }
  }
  return events;
}

function getNewest(crashes: readonly PartCrash[]): Millis {
  return Math.max(...crashes.map(({ notedAt }) => notedAt));
}
