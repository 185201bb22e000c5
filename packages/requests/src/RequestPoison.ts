/**
 * Detects poison requests: requests that crash the engines that run them, identified by team, model and
 * content. Pure state of crash reports, from this and from other instances, each with the requests that
 * ran on the engine. RequestPoisonVerdict judges requests by it.
 *
 * A single crash does not show which of its suspects caused it. Suspects are recovered on different engines, so
 * that a second crash has at most one of them. A request that makes progress after a crash is cleared of
 * it. A crash is disproven if the same process of the engine is seen again: then only a link had failed.
 */
import { hash64Hex } from '@skylarksail/core/CoreHash';
import type { EngineId, Millis, ModelId, TeamId } from '@skylarksail/core/CoreTypes';
import type { PartName, PartSuspect } from './RequestSuspects.js';
import { getPartName } from './RequestSuspects.js';

/** Hash that identifies a request by team, model and content. */
export type Fingerprint = string;

/** Identifies the end of an engine process: engine, boot id and, after an end that was disproven, a number. */
export type CrashId = string;

/** Report of a crash, exchanged between instances. */
export interface CrashReport {
  readonly crash: CrashId;
  /** Age of the report; merging keeps the greater age. */
  readonly age: Millis;
  /** Whether the engine's process was seen alive afterwards. */
  readonly disproven: boolean;
  /** Requests that ran on the engine. */
  readonly suspects: readonly Fingerprint[];
  /** Suspects that made progress after the crash. */
  readonly cleared: readonly Fingerprint[];
  /** Suspects that an engine ran to their end after the crash. */
  readonly completed: readonly Fingerprint[];
  /** Parts of the prompts of those whose answers had not begun; none in reports of earlier versions. */
  readonly parts?: readonly PartSuspect[];
  /** Parts on which an answer has begun since. */
  readonly begunParts?: readonly PartName[];
}

/** Reports exchanged between instances. Merging is commutative and idempotent, since sets only grow. */
export interface PoisonDigest {
  readonly reports: readonly CrashReport[];
}

/** A crash and the requests that ran on the engine. */
export interface Crash {
  readonly id: CrashId;
  readonly expiresAt: Millis;
  readonly disproven: boolean;
  readonly suspects: ReadonlySet<Fingerprint>;
  readonly cleared: ReadonlySet<Fingerprint>;
  readonly completed: ReadonlySet<Fingerprint>;
  readonly parts: ReadonlySet<PartSuspect>;
  readonly begunParts: ReadonlySet<PartName>;
}

/** Crashes known to this instance. */
export interface PoisonState {
  readonly crashes: ReadonlyMap<CrashId, Crash>;
  /** Number of crashes after which a request is refused. */
  readonly crashLimit: number;
}

/** Time for which a crash is counted. */
export const CRASH_RETENTION: Millis = 3_600_000;
const RAN_LONG_SUFFIX = '/long';
const END_SEPARATOR = '#';
/** Boot id of a server whose starts can't be told apart. */
export const UNKNOWN_BOOT = 'unknown';
/** Time within which reports of the end of such a server are of the same end. */
const SAME_END_TIME: Millis = 1000;
/** Time after the assumed end of such a server within which it can't have started again. */
const RESTART_TIME: Millis = 500;
const MAX_CRASHES = 256;
/** Parts that are kept of one crash; a full engine of requests that name many parts would else cost megabytes. */
const MAX_CRASH_PARTS = 256;

export function createPoisonState(crashLimit: number): PoisonState {
  return { crashes: new Map(), crashLimit };
}

export function computeFingerprint(team: TeamId, model: ModelId, content: string): Fingerprint {
  return hash64Hex(`${team}\u0000${model}\u0000${content}`);
}

/**
 * Identifies a crashed process, and whether the suspects had run on it for long. The two kinds are reported
 * separately: long-running requests are rarely the cause and would obscure the request that is.
 */
export function createCrashId(engine: EngineId, bootId: string, ranLong: boolean): CrashId {
  const crashedProcess = `${engine}@${bootId}`;
  return ranLong ? getLongReportId(crashedProcess) : crashedProcess;
}

/** Returns the id of the report of a process's long-running suspects. */
export function getLongReportId(crashedProcess: CrashId): CrashId {
  return `${crashedProcess}${RAN_LONG_SUFFIX}`;
}

/** Returns the process of a crash id, without the mark for long-running suspects. */
export function getCrashedProcess(id: CrashId): string {
  return id.endsWith(RAN_LONG_SUFFIX) ? id.slice(0, -RAN_LONG_SUFFIX.length) : id;
}

/**
 * Returns the end of a process that a broken call shows now: its last one, or a new one if that is over. A process that
 * was seen alive after an assumed end may still end in fact; if both were one, its real end would not count.
 */
export function findCurrentEnd(state: PoisonState, crashedProcess: string, now: Millis): CrashId {
  let end: CrashId = crashedProcess;
  for (let i = 1; listReportsOfEnd(state, end).some((crash) => isOver(crash, now)); i += 1) {
    end = `${crashedProcess}${END_SEPARATOR}${i}`;
  }
  return end;
}

/** Reports of the end of a process: of its long-running suspects and of the others. */
function listReportsOfEnd(state: PoisonState, end: CrashId): readonly Crash[] {
  return [end, getLongReportId(end)].flatMap((id) => state.crashes.get(id) ?? []);
}

function isOver(crash: Crash, now: Millis): boolean {
  const age = now - getNotedAt(crash);
  return crash.disproven || (isUnnumbered(crash.id) && age > SAME_END_TIME);
}

/** Time at which a crash was noted. */
export function getNotedAt({ expiresAt }: Crash): Millis {
  return expiresAt - CRASH_RETENTION;
}

/** Whether the id is of a server whose starts can't be told apart. */
function isUnnumbered(id: CrashId): boolean {
  return id.includes(`@${UNKNOWN_BOOT}`);
}

/**
 * Records that a process answered a call that was opened at a time: an end that was assumed before then is disproven. An
 * answer of a server whose starts can't be told apart counts only if it can't have started again since.
 */
export function noteAnswer(
  state: PoisonState,
  crashedProcess: string,
  openedAt: Millis,
  now: Millis,
): PoisonState {
  const reports = listReportsOfEnd(state, findCurrentEnd(state, crashedProcess, now));
  const isShown = reports.some((crash) => {
    const sinceEnd = openedAt - getNotedAt(crash);
    return sinceEnd > 0 && (!isUnnumbered(crash.id) || sinceEnd < RESTART_TIME);
  });
  return isShown ? reports.reduce((next, { id }) => noteAlive(next, id), state) : state;
}

/** Records that a request was running on an engine when it crashed, with the parts of its prompt if it had not begun. */
export function noteCrash(
  state: PoisonState,
  crash: CrashId,
  suspect: Fingerprint,
  now: Millis,
  parts: readonly PartSuspect[] = [],
): PoisonState {
  const suspects = [suspect];
  return mergeReport(
    state,
    { crash, age: 0, disproven: false, suspects, cleared: [], completed: [], parts },
    now,
  );
}

/** Records that an engine process is alive, which disproves its assumed crash. */
export function noteAlive(state: PoisonState, crash: CrashId): PoisonState {
  const known = state.crashes.get(crash);
  if (!known || known.disproven) {
    return state;
  }
  return withCrash(state, { ...known, disproven: true });
}

/** Records that a request made progress after its crashes, which clears it of them until it has crashed several more. */
export function noteSurvival(state: PoisonState, suspect: Fingerprint): PoisonState {
  return changeCrashesOf(state, suspect, (crash) =>
    crash.cleared.has(suspect)
      ? crash
      : { ...crash, cleared: new Set([...crash.cleared, suspect]) },
  );
}

/** Records that answers began on some parts after a crash, which clears them of it. */
export function noteBegunParts(
  state: PoisonState,
  id: CrashId,
  parts: readonly PartName[],
): PoisonState {
  const crash = state.crashes.get(id);
  const isNew = crash && parts.some((part) => !crash.begunParts.has(part));
  return isNew
    ? withCrash(state, { ...crash, begunParts: mergeParts(crash.begunParts, parts) })
    : state;
}

/** Records that an engine ran a request to its end, which clears it of its crashes for good. */
export function noteCompletion(state: PoisonState, suspect: Fingerprint): PoisonState {
  return changeCrashesOf(state, suspect, (crash) =>
    crash.completed.has(suspect)
      ? crash
      : { ...crash, completed: new Set([...crash.completed, suspect]) },
  );
}

function changeCrashesOf(
  state: PoisonState,
  suspect: Fingerprint,
  change: (crash: Crash) => Crash,
): PoisonState {
  let next = state;
  for (const crash of state.crashes.values()) {
    const changed = crash.suspects.has(suspect) ? change(crash) : crash;
    next = changed === crash ? next : withCrash(next, changed);
  }
  return next;
}

/** Creates the digest to send to other instances. */
export function createPoisonDigest(state: PoisonState, now: Millis): PoisonDigest {
  const reports = [...state.crashes.values()].flatMap((crash) =>
    crash.expiresAt > now ? [createCrashReport(crash, now)] : [],
  );
  return { reports };
}

/** Creates the report of one crash. */
export function createCrashReport(known: Crash, now: Millis): CrashReport {
  return {
    crash: known.id,
    age: CRASH_RETENTION - (known.expiresAt - now),
    disproven: known.disproven,
    suspects: [...known.suspects],
    cleared: [...known.cleared],
    completed: [...known.completed],
    parts: [...known.parts],
    begunParts: [...known.begunParts],
  };
}

/**
 * Lists the requests that were running at several crashes, whether they were cleared of them or not. Ends that were
 * disproven don't count.
 */
export function listRepeatedSuspects(state: PoisonState): ReadonlySet<Fingerprint> {
  const once = new Set<Fingerprint>();
  const repeated = new Set<Fingerprint>();
  for (const { suspects, disproven } of state.crashes.values()) {
    for (const suspect of disproven ? [] : suspects) {
      (once.has(suspect) ? repeated : once).add(suspect);
    }
  }
  return repeated;
}

/** Lists the parts that were at several crashes without an answer that began on them since. */
export function listRepeatedParts(state: PoisonState): ReadonlySet<PartName> {
  const once = new Set<PartName>();
  const repeated = new Set<PartName>();
  for (const { parts, begunParts, disproven } of state.crashes.values()) {
    const names = new Set(disproven ? [] : [...parts].map(getPartName));
    [...names]
      .filter((name) => !begunParts.has(name))
      .forEach((name) => (once.has(name) ? repeated : once).add(name));
  }
  return repeated;
}

/** Merges a digest received from another instance. */
export function mergePoisonDigest(
  state: PoisonState,
  digest: PoisonDigest,
  now: Millis,
): PoisonState {
  return digest.reports.reduce((merged, report) => mergeReport(merged, report, now), state);
}

/** Reports of a digest that contain anything new to this instance; the others need not be forwarded. */
export function findNewReports(state: PoisonState, digest: PoisonDigest): readonly CrashReport[] {
  return digest.reports.filter((report) => {
    const known = state.crashes.get(report.crash);
    return (
      !known ||
      (report.disproven && !known.disproven) ||
      report.suspects.some((suspect) => !known.suspects.has(suspect)) ||
      report.cleared.some((suspect) => !known.cleared.has(suspect)) ||
      report.completed.some((suspect) => !known.completed.has(suspect)) ||
      hasNewParts(known, report)
    );
  });
}

/** Compares what would be kept, so that a report whose parts are too many is not news for good. */
function hasNewParts(known: Crash, { parts = [], begunParts = [] }: CrashReport): boolean {
  return (
    [...mergeParts(known.parts, parts)].some((part) => !known.parts.has(part)) ||
    [...mergeParts(known.begunParts, begunParts)].some((part) => !known.begunParts.has(part))
  );
}

/** Keeps the first names in order, so that the result does not depend on the order of the reports. */
function mergeParts(known: ReadonlySet<string>, added: readonly string[]): ReadonlySet<string> {
  const all = new Set([...known, ...added]);
  return all.size <= MAX_CRASH_PARTS ? all : new Set([...all].sort().slice(0, MAX_CRASH_PARTS));
}

function mergeReport(state: PoisonState, report: CrashReport, now: Millis): PoisonState {
  const expiresAt = now + CRASH_RETENTION - report.age;
  if (expiresAt <= now) {
    return state;
  }
  const known = state.crashes.get(report.crash);
  const parts = mergeParts(known?.parts ?? new Set(), report.parts ?? []);
  const begunParts = mergeParts(known?.begunParts ?? new Set(), report.begunParts ?? []);
  if (!known) {
    return withCrash(dropOldest(state), {
      id: report.crash,
      expiresAt,
      disproven: report.disproven,
      suspects: new Set(report.suspects),
      cleared: new Set(report.cleared),
      completed: new Set(report.completed),
      parts,
      begunParts,
    });
  }
  return withCrash(state, {
    ...known,
    // Keeps the earlier expiry, so that a report that circulates between instances still expires.
    expiresAt: Math.min(known.expiresAt, expiresAt),
    disproven: known.disproven || report.disproven,
    suspects: new Set([...known.suspects, ...report.suspects]),
    cleared: new Set([...known.cleared, ...report.cleared]),
    completed: new Set([...known.completed, ...report.completed]),
    parts,
    begunParts,
  });
}

/**
 * Makes room for another crash. Ends that were disproven go first. Crashes of a request or a part that was at several are kept longest: a lost rack would else make
 * the instances forget all requests that crash engines, and each would cost its engines again.
 */
function dropOldest(state: PoisonState): PoisonState {
  if (state.crashes.size < MAX_CRASHES) {
    return state;
  }
  const repeated = listRepeatedSuspects(state);
  const repeatedParts = listRepeatedParts(state);
  const all = [...state.crashes.values()];
  const disproven = all.filter((crash) => crash.disproven);
  const single = all.filter(
    ({ suspects, parts, begunParts }) =>
      ![...suspects].some((name) => repeated.has(name)) &&
      ![...parts].map(getPartName).some((name) => repeatedParts.has(name) && !begunParts.has(name)),
  );
  const candidates = [disproven, single, all].find((list) => list.length > 0) ?? all;
  const oldest = candidates.reduce((a, b) => (a.expiresAt <= b.expiresAt ? a : b));
  const crashes = new Map(state.crashes);
  crashes.delete(oldest.id);
  return { ...state, crashes };
}

function withCrash(state: PoisonState, crash: Crash): PoisonState {
  return { ...state, crashes: new Map(state.crashes).set(crash.id, crash) };
}
