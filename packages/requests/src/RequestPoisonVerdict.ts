/** Judges by the known crashes whether a request crashes the engines that run it. Pure. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Crash, CrashId, Fingerprint, PoisonState } from './RequestPoison.js';
import { CRASH_RETENTION, getCrashedProcess, getLongReportId } from './RequestPoison.js';

/** Assessment of a request. */
export const PoisonVerdict = {
  Clean: 'clean',
  /** It was running at a crash: run it on other engines than the other suspects of that crash. */
  Suspect: 'suspect',
  /**
   * It has reached the crash limit, but at each crash another suspect has too: refuse new requests with this
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
export const AMBIGUOUS_PAUSE: Millis = 2000;
/**
 * Crashes that nothing else explains, of those that reach the limit. If all had to be unexplained, a stronger suspect of
 * one of them would free a request that had crashed the others alone.
 */
const LEAST_OWN_CRASHES = 2;
const MAX_SHARED_CRASHES = 4;
/**
 * Crashes from which on a request is refused, whatever excuses them: outages, progress and other suspects add up to more
 * engines than a request may cost.
 */
const MAX_OPEN_CRASHES = 5;
/** A crash within this time of `OUTAGE_CRASHES` crashes of unrelated engines is attributed to an external cause. */
const OUTAGE_WINDOW: Millis = 1000;
const OUTAGE_CRASHES = 3;
/** Crashes of one request that outages excuse; two requests that crash engines by turns look like an outage to each other. */
const MAX_EXCUSED_CRASHES = 2;
/** Crashes from which on progress no longer clears a request; one that crashes engines late makes progress in each run. */
const MAX_CLEARED_CRASHES = 4;

/** Judges a request as a whole; `isElsewhere` tells crashes that something else explains, which the request does not hold. */
export function judgeRequest(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
  isElsewhere: (crash: Crash) => boolean = () => false,
): PoisonVerdictName {
  const evidence = createEvidence(state, now);
  const counted = evidence.listCounted(fingerprint);
  const isUnexplained = (crash: Crash): boolean =>
    !isElsewhere(crash) && !isExplained(evidence, crash, fingerprint);
  if (counted.length < state.crashLimit) {
    return counted.length === 0 ? PoisonVerdict.Clean : PoisonVerdict.Suspect;
  }
  const alone = evidence.countAlone(fingerprint);
  if (evidence.listOpen(fingerprint).length >= MAX_OPEN_CRASHES) {
    return alone > 0 ? PoisonVerdict.Condemned : PoisonVerdict.Held;
  }
  const unexplained = counted.filter(isUnexplained);
  if (unexplained.length < Math.min(LEAST_OWN_CRASHES, state.crashLimit)) {
    return PoisonVerdict.Suspect;
  }
  const newest = Math.max(...unexplained.map((crash) => crash.expiresAt));
  const age = CRASH_RETENTION - (newest - now);
  if (alone === 0) {
    return judgeAmbiguous(Math.max(unexplained.length, state.crashLimit), state.crashLimit, age);
  }
  return age < REPORT_DELAY ? PoisonVerdict.Doubted : PoisonVerdict.Condemned;
}

/**
 * Whether a crash has a stronger suspect: one with more crashes that no other can have caused, or as many of those and
 * more in all. Requests are ordered by both, so that no two explain each other's crashes.
 */
function isExplained(evidence: Evidence, crash: Crash, fingerprint: Fingerprint): boolean {
  const alone = evidence.countAlone(fingerprint);
  const open = evidence.listOpen(fingerprint).length;
  return evidence.listRivals(crash).some((rival) => {
    const rivalAlone = evidence.countAlone(rival);
    return rivalAlone === alone ? evidence.listOpen(rival).length > open : rivalAlone > alone;
  });
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

/** Number of crashes of a request that are neither disproven nor followed by a whole run. */
export function countOpenCrashes(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): number {
  return listOpenCrashes(state, fingerprint, now).length;
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
  isElsewhere: (crash: Crash) => boolean = () => false,
): PoisonTally {
  const evidence = createEvidence(state, now);
  const known = [...state.crashes.values()].filter(
    ({ expiresAt, suspects }) => expiresAt > now && suspects.has(fingerprint),
  );
  return {
    verdict: judgeRequest(state, fingerprint, now, isElsewhere),
    known: known.length,
    counted: evidence.listCounted(fingerprint).length,
    inOutages: known.filter((crash) => isPartOfOutage(crash, fingerprint, evidence.listNeighbours))
      .length,
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
  for (const crash of createEvidence(state, now).listCounted(fingerprint)) {
    for (const suspect of listUncleared(crash)) {
      if (suspect !== fingerprint) {
        coSuspects.add(suspect);
      }
    }
  }
  return coSuspects;
}

/** Crashes of a request, but for those that are disproven or after which it was run to its end. */
function listOpenCrashes(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): readonly Crash[] {
  return [...state.crashes.values()].filter(
    ({ disproven, expiresAt, suspects, completed }) =>
      !disproven && expiresAt > now && suspects.has(fingerprint) && !completed.has(fingerprint),
  );
}

/** Crashes of a request that count towards its verdict. */
function listCountedCrashes(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
  listNeighbours: ListNeighbours,
): readonly Crash[] {
  const known = listOpenCrashes(state, fingerprint, now);
  const isLimitReached = known.length >= MAX_CLEARED_CRASHES;
  const crashes = known.filter((crash) => isLimitReached || !crash.cleared.has(fingerprint));
  const excused = new Set(
    crashes
      .filter((crash) => isPartOfOutage(crash, fingerprint, listNeighbours))
      .sort((a, b) => a.expiresAt - b.expiresAt)
      .slice(0, MAX_EXCUSED_CRASHES),
  );
  return crashes.filter((crash) => !excused.has(crash));
}

/**
 * Whether a crash was part of an outage unrelated to the request: the loss of a rack or switch also takes
 * down engines that never ran it.
 */
function isPartOfOutage(
  crash: Crash,
  fingerprint: Fingerprint,
  listNeighbours: ListNeighbours,
): boolean {
  const unrelated = listNeighbours(crash).filter((suspects) => !suspects.has(fingerprint));
  return unrelated.length >= OUTAGE_CRASHES;
}

/** Lists the suspects of each other engine that ended within the window of an outage. */
type ListNeighbours = (crash: Crash) => readonly ReadonlySet<Fingerprint>[];

/**
 * A crash can have two reports: one of long-running suspects and one of the others. Ends that were disproven are none:
 * connections that are reset would else excuse the crashes beside them.
 */
function findNeighbours(state: PoisonState, crash: Crash): readonly ReadonlySet<Fingerprint>[] {
  const own = getCrashedProcess(crash.id);
  const processes = new Set(
    [...state.crashes.values()]
      .filter(
        ({ expiresAt, disproven }) =>
          !disproven && Math.abs(expiresAt - crash.expiresAt) <= OUTAGE_WINDOW,
      )
      .map(({ id }) => getCrashedProcess(id))
      .filter((id) => id !== own),
  );
  return [...processes].map((id) => listSuspectsOf(state, id));
}

/** All suspects of a crashed process, whether they had run for long or not. */
function listSuspectsOf(state: PoisonState, crashedProcess: CrashId): ReadonlySet<Fingerprint> {
  const reports = [crashedProcess, getLongReportId(crashedProcess)].flatMap(
    (id) => state.crashes.get(id) ?? [],
  );
  return new Set(reports.flatMap(({ suspects }) => [...suspects]));
}

function listUncleared(crash: Crash): readonly Fingerprint[] {
  const { suspects, cleared, completed } = crash;
  return [...suspects].filter((suspect) => !cleared.has(suspect) && !completed.has(suspect));
}

/** What one judgement needs to know of several requests; each part is computed once. */
interface Evidence {
  readonly listNeighbours: ListNeighbours;
  /** Crashes of a request that are neither disproven nor followed by a whole run. */
  listOpen(fingerprint: Fingerprint): readonly Crash[];
  /** Those of them that count. */
  listCounted(fingerprint: Fingerprint): readonly Crash[];
  /** Suspects of a crash that have reached the crash limit, and so may have caused it. */
  listRivals(crash: Crash): readonly Fingerprint[];
  /** Number of counted crashes of a request that no other request can have caused. */
  countAlone(fingerprint: Fingerprint): number;
}

function createEvidence(state: PoisonState, now: Millis): Evidence {
  const open = new Map<Fingerprint, readonly Crash[]>();
  const counted = new Map<Fingerprint, readonly Crash[]>();
  const rivals = new Map<Crash, readonly Fingerprint[]>();
  const alone = new Map<Fingerprint, number>();
  const neighbours = new Map<Crash, readonly ReadonlySet<Fingerprint>[]>();

  function listNeighbours(crash: Crash): readonly ReadonlySet<Fingerprint>[] {
    return computeOnce(neighbours, crash, () => findNeighbours(state, crash));
  }

  function listOpen(fingerprint: Fingerprint): readonly Crash[] {
    return computeOnce(open, fingerprint, () => listOpenCrashes(state, fingerprint, now));
  }

  function listCounted(fingerprint: Fingerprint): readonly Crash[] {
    return computeOnce(counted, fingerprint, () =>
      listCountedCrashes(state, fingerprint, now, listNeighbours),
    );
  }

  function listRivals(crash: Crash): readonly Fingerprint[] {
    return computeOnce(rivals, crash, () => {
      const reports = listReportsOf(state, crash);
      const suspects = new Set(reports.flatMap((report) => [...report.suspects]));
      return [...suspects].filter(
        (suspect) =>
          hasSeveralCrashes(state, suspect) &&
          listCounted(suspect).length >= state.crashLimit &&
          reports.some((report) => listCounted(suspect).includes(report)),
      );
    });
  }

  return {
    listNeighbours,
    listOpen,
    listCounted,
    listRivals,
    countAlone: (fingerprint) =>
      computeOnce(
        alone,
        fingerprint,
        () =>
          listCounted(fingerprint).filter((crash) =>
            listRivals(crash).every((rival) => rival === fingerprint),
          ).length,
      ),
  };
}

function computeOnce<K, V>(results: Map<K, V>, key: K, compute: () => V): V {
  const known = results.get(key);
  const result = known ?? compute();
  results.set(key, result);
  return result;
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
