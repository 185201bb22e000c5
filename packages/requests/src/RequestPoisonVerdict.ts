/** Judges by the known crashes whether a request crashes the engines that run it. Pure. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Crash, Fingerprint, PoisonState } from './RequestPoison.js';
import { CRASH_RETENTION, getCrashedProcess } from './RequestPoison.js';

/** Assessment of a request. */
export const PoisonVerdict = {
  Clean: 'clean',
  /** It was running at a crash: run it on other engines than the other suspects of that crash. */
  Suspect: 'suspect',
  /**
   * It has reached the crash limit, but at each crash another suspect has too: delay new requests with this
   * content for a while, and continue begun ones on separate engines.
   */
  Ambiguous: 'ambiguous',
  /** It seems to have caused them, but late reports of other instances may add suspects: delay it. */
  Doubted: 'doubted',
  /** At least one crash has no other suspect of several, and none is explained by a stronger suspect: refuse it. */
  Condemned: 'condemned',
  /** It has shared so many crashes that no further engine is risked to tell which suspect caused them: refuse it. */
  Held: 'held',
} as const;

export type PoisonVerdictName = (typeof PoisonVerdict)[keyof typeof PoisonVerdict];

/** Time allowed for the reports of a crash from other instances to arrive. */
const REPORT_DELAY: Millis = 500;
/** Pause after the last shared crash before a suspect that can't be told from another runs again. */
const AMBIGUOUS_PAUSE: Millis = 2000;
const MAX_SHARED_CRASHES = 5;
/** A crash within this time of `OUTAGE_CRASHES` crashes of unrelated engines is attributed to an external cause. */
const OUTAGE_WINDOW: Millis = 1000;
const OUTAGE_CRASHES = 3;
/** Crashes of one request that outages excuse; two requests that crash engines by turns look like an outage to each other. */
const MAX_EXCUSED_CRASHES = 2;
/** Crashes from which on progress no longer clears a request; one that crashes engines late makes progress in each run. */
const MAX_CLEARED_CRASHES = 4;

export function judgeRequest(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): PoisonVerdictName {
  const counted = listCountedCrashes(state, fingerprint, now);
  if (counted.length < state.crashLimit) {
    return counted.length === 0 ? PoisonVerdict.Clean : PoisonVerdict.Suspect;
  }
  const ownCrashes = countCrashesAlone(state, fingerprint, now);
  const unexplained = counted.filter(
    (crash) =>
      !listRivals(state, crash, fingerprint, now).some(
        (rival) => countCrashesAlone(state, rival, now) > ownCrashes,
      ),
  );
  if (unexplained.length < state.crashLimit) {
    return PoisonVerdict.Suspect;
  }
  const newest = Math.max(...unexplained.map((crash) => crash.expiresAt));
  const age = CRASH_RETENTION - (newest - now);
  if (ownCrashes === 0) {
    return judgeAmbiguous(unexplained.length, state.crashLimit, age);
  }
  return age < REPORT_DELAY ? PoisonVerdict.Doubted : PoisonVerdict.Condemned;
}

/** A request that shares all its crashes runs again after a pause, which grows, until there are too many of them. */
function judgeAmbiguous(crashes: number, crashLimit: number, age: Millis): PoisonVerdictName {
  if (crashes >= MAX_SHARED_CRASHES) {
    return PoisonVerdict.Held;
  }
  const pause = AMBIGUOUS_PAUSE * 2 ** (crashes - crashLimit);
  return age < pause ? PoisonVerdict.Ambiguous : PoisonVerdict.Suspect;
}

/** Whether a request is refused, and its runs are stopped. */
export function isRefused(verdict: PoisonVerdictName): boolean {
  return verdict === PoisonVerdict.Condemned || verdict === PoisonVerdict.Held;
}

/** How the crashes known of a request count towards its verdict. */
export interface PoisonTally {
  readonly verdict: PoisonVerdictName;
  /** Crashes at which it was running, whether they count or not. */
  readonly known: number;
  readonly counted: number;
  /** Near ends of unrelated engines; a few such crashes are left out. */
  readonly inOutages: number;
  /** The request made progress afterwards; such crashes count only if there are many. */
  readonly cleared: number;
  /** Left out, since the engine's process was seen alive afterwards. */
  readonly disproven: number;
}

/** Lists how the crashes known of a request count, for the log. */
export function tallyCrashes(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): PoisonTally {
  const known = [...state.crashes.values()].filter(
    ({ expiresAt, suspects }) => expiresAt > now && suspects.has(fingerprint),
  );
  return {
    verdict: judgeRequest(state, fingerprint, now),
    known: known.length,
    counted: listCountedCrashes(state, fingerprint, now).length,
    inOutages: known.filter((crash) => isPartOfOutage(state, crash, fingerprint)).length,
    cleared: known.filter(
      ({ cleared, completed }) => cleared.has(fingerprint) || completed.has(fingerprint),
    ).length,
    disproven: known.filter(({ disproven }) => disproven).length,
  };
}

/** Lists uncleared suspects that share a crash with the request and should run on other engines. */
export function listCoSuspects(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): ReadonlySet<Fingerprint> {
  const coSuspects = new Set<Fingerprint>();
  for (const crash of listCountedCrashes(state, fingerprint, now)) {
    for (const suspect of listUncleared(crash)) {
      if (suspect !== fingerprint) {
        coSuspects.add(suspect);
      }
    }
  }
  return coSuspects;
}

/** Crashes of a request that has not been run to its end since. */
function listUndisproven(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): readonly Crash[] {
  return [...state.crashes.values()].filter(
    ({ disproven, expiresAt, suspects, completed }) =>
      !disproven && expiresAt > now && suspects.has(fingerprint) && !completed.has(fingerprint),
  );
}

function listCountedCrashes(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): readonly Crash[] {
  const known = listUndisproven(state, fingerprint, now);
  const isLimitReached = known.length >= MAX_CLEARED_CRASHES;
  const crashes = known.filter((crash) => isLimitReached || !crash.cleared.has(fingerprint));
  const excused = new Set(
    crashes
      .filter((crash) => isPartOfOutage(state, crash, fingerprint))
      .sort((a, b) => a.expiresAt - b.expiresAt)
      .slice(0, MAX_EXCUSED_CRASHES),
  );
  return crashes.filter((crash) => !excused.has(crash));
}

/**
 * Whether a crash was part of an outage unrelated to the request: the loss of a rack or switch also takes
 * down engines that never ran it.
 */
function isPartOfOutage(state: PoisonState, crash: Crash, fingerprint: Fingerprint): boolean {
  const engines = new Set<string>();
  const ownEngines = new Set<string>();
  for (const [id, other] of state.crashes) {
    const engine = getCrashedProcess(id);
    if (other.suspects.has(fingerprint)) {
      ownEngines.add(engine);
    } else if (Math.abs(other.expiresAt - crash.expiresAt) <= OUTAGE_WINDOW) {
      engines.add(engine);
    }
  }
  // A crash can have two reports: one of long-running suspects and one of the others.
  const others = [...engines].filter((engine) => !ownEngines.has(engine));
  return others.length >= OUTAGE_CRASHES;
}

function listUncleared(crash: Crash): readonly Fingerprint[] {
  const { suspects, cleared, completed } = crash;
  return [...suspects].filter((suspect) => !cleared.has(suspect) && !completed.has(suspect));
}

/** Number of counted crashes of a request that no other request can have caused. */
function countCrashesAlone(state: PoisonState, fingerprint: Fingerprint, now: Millis): number {
  return listCountedCrashes(state, fingerprint, now).filter(
    (crash) => listRivals(state, crash, fingerprint, now).length === 0,
  ).length;
}

/** Other suspects of a crash that have reached the crash limit too, and so may have caused it. */
function listRivals(
  state: PoisonState,
  crash: Crash,
  fingerprint: Fingerprint,
  now: Millis,
): readonly Fingerprint[] {
  const reports = listReportsOf(state, crash);
  const suspects = new Set(reports.flatMap((report) => [...report.suspects]));
  return [...suspects].filter((suspect) => {
    if (suspect === fingerprint || !hasSeveralCrashes(state, suspect)) {
      return false;
    }
    const counted = listCountedCrashes(state, suspect, now);
    return counted.length >= state.crashLimit && reports.some((report) => counted.includes(report));
  });
}

/** A crash and, if its suspects had run for long, the report of those of the same crash that had just begun. */
function listReportsOf(state: PoisonState, crash: Crash): readonly Crash[] {
  const fresh = state.crashes.get(getCrashedProcess(crash.id));
  return fresh && fresh !== crash ? [crash, fresh] : [crash];
}

/** Whether a request was at two crashes at least; a cheap check, since most suspects were at one. */
function hasSeveralCrashes(state: PoisonState, suspect: Fingerprint): boolean {
  let isFirstFound = false;
  for (const { suspects } of state.crashes.values()) {
    if (suspects.has(suspect)) {
      if (isFirstFound) {
        return true;
      }
      isFirstFound = true;
    }
  }
  return false;
}
