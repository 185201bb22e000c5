/**
 * Requests that crash the engines that run them, known by team, model and content. Pure state: reports
 * of crashes with the requests that the engine ran, taken in from here and from other instances.
 *
 * A crash proves nothing against any one of its suspects. A request is condemned once it is the only one
 * that was there at two crashes; suspects are recovered on different engines, so that the second crash
 * has one of them at most. A request that gets on after a crash is cleared of it, and a crash is struck
 * out when its engine turns up with the same process: then only a link had gone.
 */
import { hash64Hex } from '@skylarksail/core/CoreHash';
import type { EngineId, Millis, ModelId, TeamId } from '@skylarksail/core/CoreTypes';

/** Name of a request's content. */
export type Fingerprint = string;

/** An engine's process that ended: engine and boot id. */
export type CrashId = string;

/** A crash as instances tell each other. */
export interface CrashReport {
  readonly crash: CrashId;
  /** Age of the report; the greater one of two is kept. */
  readonly age: Millis;
  /** Whether the engine's process was seen alive afterwards. */
  readonly disproven: boolean;
  /** Requests that ran on the engine. */
  readonly suspects: readonly Fingerprint[];
  /** Suspects that got on elsewhere. */
  readonly cleared: readonly Fingerprint[];
}

/** What instances exchange. Merging it is commutative and idempotent: sets only grow. */
export interface PoisonDigest {
  readonly reports: readonly CrashReport[];
}

interface Crash {
  readonly expiresAt: Millis;
  readonly disproven: boolean;
  readonly suspects: ReadonlySet<Fingerprint>;
  readonly cleared: ReadonlySet<Fingerprint>;
}

/** What this instance knows of crashes. */
export interface PoisonState {
  readonly crashes: ReadonlyMap<CrashId, Crash>;
  /** Crashes after which a request is refused. */
  readonly crashLimit: number;
}

/** How a request stands. */
export const PoisonVerdict = {
  Clean: 'clean',
  /** It was at a crash: run it apart from the others that were. */
  Suspect: 'suspect',
  /** It was at as many crashes as condemn, but not alone: begun copies go on apart, new ones wait. */
  Ambiguous: 'ambiguous',
  /** It seems to crash engines, but other instances may still name who else was there: hold it. */
  Doubted: 'doubted',
  /** It crashed engines: refuse it. */
  Condemned: 'condemned',
} as const;

export type PoisonVerdictName = (typeof PoisonVerdict)[keyof typeof PoisonVerdict];

/** How long a crash counts. */
export const CRASH_RETENTION: Millis = 3_600_000;
const RAN_LONG = '/long';
const MAX_CRASHES = 256;
/** Time in which the other instances' reports of a crash arrive. */
const SETTLE_TIME: Millis = 500;
/** Crashes so near to each other, and so many, have a common cause outside. */
const OUTAGE_WINDOW: Millis = 1000;
const OUTAGE_CRASHES = 3;

/** The state before any crash. */
export function createPoisonState(crashLimit: number): PoisonState {
  return { crashes: new Map(), crashLimit };
}

/** Names a request by who sends it to which model, and what it says. */
export function computeFingerprint(team: TeamId, model: ModelId, content: string): Fingerprint {
  return hash64Hex(`${team}\u0000${model}\u0000${content}`);
}

/**
 * Names the process of an engine that crashed, and whether the suspects had run on it for long. The two
 * kinds are reported apart: what ran long is seldom to blame, and would hide who is.
 */
export function createCrashId(engine: EngineId, bootId: string, ranLong: boolean): CrashId {
  return ranLong ? `${engine}@${bootId}${RAN_LONG}` : `${engine}@${bootId}`;
}

/** The engine's process, whichever suspects a crash's report is of. */
function getCrashedProcess(id: CrashId): string {
  return id.endsWith(RAN_LONG) ? id.slice(0, -RAN_LONG.length) : id;
}

/** Notes that a request was on an engine when it crashed. */
export function noteCrash(
  state: PoisonState,
  crash: CrashId,
  suspect: Fingerprint,
  now: Millis,
): PoisonState {
  return mergeReport(
    state,
    { crash, age: 0, disproven: false, suspects: [suspect], cleared: [] },
    now,
  );
}

/** Notes that an engine's process is alive, so that what looked like its crash was none. */
export function noteAlive(state: PoisonState, crash: CrashId): PoisonState {
  const known = state.crashes.get(crash);
  if (!known || known.disproven) {
    return state;
  }
  return withCrash(state, crash, { ...known, disproven: true });
}

/** Notes that a request got on after the crashes that it was at. */
export function noteSurvival(state: PoisonState, suspect: Fingerprint): PoisonState {
  let next = state;
  for (const [id, crash] of state.crashes) {
    if (crash.suspects.has(suspect) && !crash.cleared.has(suspect)) {
      next = withCrash(next, id, { ...crash, cleared: new Set([...crash.cleared, suspect]) });
    }
  }
  return next;
}

/** How a request stands now. */
export function judgeRequest(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): PoisonVerdictName {
  const counted = listCounted(state, fingerprint, now);
  if (counted.length === 0) {
    return PoisonVerdict.Clean;
  }
  if (counted.length < state.crashLimit) {
    return PoisonVerdict.Suspect;
  }
  if (findCommonSuspects(counted).length > 1) {
    return PoisonVerdict.Ambiguous;
  }
  const newest = Math.max(...counted.map((crash) => crash.expiresAt));
  const age = CRASH_RETENTION - (newest - now);
  return age < SETTLE_TIME ? PoisonVerdict.Doubted : PoisonVerdict.Condemned;
}

/** Requests that were at a crash together with this one and are not cleared: not to run beside it. */
export function listCoSuspects(
  state: PoisonState,
  fingerprint: Fingerprint,
  now: Millis,
): ReadonlySet<Fingerprint> {
  const fellows = new Set<Fingerprint>();
  for (const crash of listCounted(state, fingerprint, now)) {
    for (const suspect of listUncleared(crash)) {
      if (suspect !== fingerprint) {
        fellows.add(suspect);
      }
    }
  }
  return fellows;
}

/** What to tell other instances. */
export function createPoisonDigest(state: PoisonState, now: Millis): PoisonDigest {
  const reports: CrashReport[] = [];
  for (const [crash, known] of state.crashes) {
    if (known.expiresAt > now) {
      reports.push({
        crash,
        age: CRASH_RETENTION - (known.expiresAt - now),
        disproven: known.disproven,
        suspects: [...known.suspects],
        cleared: [...known.cleared],
      });
    }
  }
  return { reports };
}

/** Takes in what another instance tells. */
export function mergePoisonDigest(
  state: PoisonState,
  digest: PoisonDigest,
  now: Millis,
): PoisonState {
  return digest.reports.reduce((merged, report) => mergeReport(merged, report, now), state);
}

/** Whether a digest tells this instance anything new: what is old news need not travel on. */
export function isNewDigest(state: PoisonState, digest: PoisonDigest): boolean {
  return digest.reports.some((report) => {
    const known = state.crashes.get(report.crash);
    return (
      !known ||
      (report.disproven && !known.disproven) ||
      report.suspects.some((suspect) => !known.suspects.has(suspect)) ||
      report.cleared.some((suspect) => !known.cleared.has(suspect))
    );
  });
}

function mergeReport(state: PoisonState, report: CrashReport, now: Millis): PoisonState {
  const expiresAt = now + CRASH_RETENTION - report.age;
  if (expiresAt <= now) {
    return state;
  }
  const known = state.crashes.get(report.crash);
  if (!known) {
    return withCrash(dropOldest(state), report.crash, {
      expiresAt,
      disproven: report.disproven,
      suspects: new Set(report.suspects),
      cleared: new Set(report.cleared),
    });
  }
  return withCrash(state, report.crash, {
    // The earlier expiry: an old report that travels in circles must still come to its end.
    expiresAt: Math.min(known.expiresAt, expiresAt),
    disproven: known.disproven || report.disproven,
    suspects: new Set([...known.suspects, ...report.suspects]),
    cleared: new Set([...known.cleared, ...report.cleared]),
  });
}

function dropOldest(state: PoisonState): PoisonState {
  if (state.crashes.size < MAX_CRASHES) {
    return state;
  }
  const oldest = [...state.crashes].reduce((a, b) => (a[1].expiresAt <= b[1].expiresAt ? a : b));
  const crashes = new Map(state.crashes);
  crashes.delete(oldest[0]);
  return { ...state, crashes };
}

function withCrash(state: PoisonState, id: CrashId, crash: Crash): PoisonState {
  return { ...state, crashes: new Map(state.crashes).set(id, crash) };
}

function listCounted(state: PoisonState, fingerprint: Fingerprint, now: Millis): readonly Crash[] {
  return [...state.crashes.values()].filter(
    (crash) =>
      !crash.disproven &&
      crash.expiresAt > now &&
      crash.suspects.has(fingerprint) &&
      !crash.cleared.has(fingerprint) &&
      !isOfOutage(state, crash, fingerprint),
  );
}

/**
 * Whether a crash was one of several at a time that had nothing to do with the request: a rack or a
 * switch that goes takes engines down that never saw it.
 */
function isOfOutage(state: PoisonState, crash: Crash, fingerprint: Fingerprint): boolean {
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
  // One crash can have two reports, of those that had run long and of the others.
  const others = [...engines].filter((engine) => !ownEngines.has(engine));
  return others.length >= OUTAGE_CRASHES;
}

function listUncleared(crash: Crash): readonly Fingerprint[] {
  return [...crash.suspects].filter((suspect) => !crash.cleared.has(suspect));
}

function findCommonSuspects(crashes: readonly Crash[]): readonly Fingerprint[] {
  const [first, ...rest] = crashes.map(listUncleared);
  return (first ?? []).filter((suspect) => rest.every((list) => list.includes(suspect)));
}
