/**
 * The crashes known to a router, in the order in which they last changed, so that instances exchange changes only.
 *
 * Most suspects of a crash are bystanders. Sent to every instance, the suspects of a lost rack would take seconds on a
 * narrow link. So an instance reports all suspects that it observed to a few collectors, and these pass on to everyone
 * the suspects of several crashes: only they can be condemned, and all that a verdict on them needs is included.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Crash, CrashId, CrashReport, PoisonDigest, PoisonState } from './RequestPoison.js';
import {
  createCrashReport,
  createPoisonState,
  findNewReports,
  getNotedAt,
  listRepeatedParts,
  listRepeatedSuspects,
  mergePoisonDigest,
  noteBegunParts,
} from './RequestPoison.js';
import type { KeptNames } from './CrashNames.js';
import { describeContent, joinCrashes, keepNames, listNews } from './CrashNames.js';
import { createPartBegins } from './PartBegins.js';
import { getPartCrashes } from './PartCrashes.js';
import type { PartName } from './RequestSuspects.js';
import { getPartName } from './RequestSuspects.js';

/** Changed reports, oldest change first. */
export interface ReportBatch extends PoisonDigest {
  /** Position of the last change that is included; the next batch begins after it. */
  readonly position: number;
}

/** Crashes of one router. */
export interface RouterCrashes {
  getState(): PoisonState;
  /** Applies an observation of this instance. */
  note(change: (state: PoisonState) => PoisonState): void;
  /** Merges reports of another instance; returns those that contained anything new. */
  merge(digest: PoisonDigest, now: Millis): readonly CrashReport[];
  /** Records that an answer began on some parts of a prompt. */
  noteBegun(parts: readonly PartName[], now: Millis): void;
  /** Whether an answer has begun on a part in the last minutes. */
  wasSound(part: PartName, now: Millis): boolean;
  /** Lists reports that changed by observations of this instance after a position, with all that it observed. */
  listObserved(after: number, now: Millis): ReportBatch;
  /** Lists reports that changed after a position, with the suspects of several crashes only. */
  listRepeated(after: number, now: Millis): ReportBatch;
}

/** Maximum number of suspects in a batch, which keeps a message below 50 kB. */
const MAX_BATCH_SUSPECTS = 2000;

/** An answer that began so shortly before a crash clears its parts of it, too; a part may turn bad later. */
const RECENT_BEGIN: Millis = 2000;
/** Time for which a part counts as one on which answers have begun. */
const SOUND_TIME: Millis = 600_000;

/** Time for which a batch is used again; reports in it seem that much younger. */
const MAX_BATCH_AGE: Millis = 50;

/** A report as it was last listed for all instances. */
interface SharedReport {
  readonly content: string;
  readonly position: number;
}

/** What this instance observed of a crash, and the position of the last such change. */
interface OwnReport {
  readonly crash: Crash;
  readonly position: number;
}

/** A batch, and when it was created for which position. */
interface CachedBatch {
  readonly after: number;
  readonly at: Millis;
  readonly batch: ReportBatch;
}

/** Creates a router's record of crashes; `onChange` is called after each change that others should learn. */
export function createRouterCrashes(crashLimit: number, onChange: () => void): RouterCrashes {
  const observed = new Map<CrashId, OwnReport>();
  /** Parts that were ever listed for all instances. */
  const listedParts = new Set<PartName>();
  const shared = new Map<CrashId, SharedReport>();
  const begins = createPartBegins();
  let state = createPoisonState(crashLimit);
  let position = 0;
  let kept: KeptNames = { suspects: new Set(), parts: new Set() };
  let isSharedCurrent = true;
  let newestObserved = 0;
  let newestShared = 0;
  /** The last batch for all instances; most of them lack the same reports. */
  let sharedBatch: CachedBatch | null = null;

  function listChanged(before: PoisonState): readonly CrashId[] {
    return [...state.crashes].flatMap(([id, crash]) =>
      before.crashes.get(id) === crash ? [] : [id],
    );
  }

  /** Forgets the positions of crashes that the state no longer holds. */
  function dropForgotten(): void {
    [observed, shared].forEach((table) =>
      [...table.keys()].filter((id) => !state.crashes.has(id)).forEach((id) => table.delete(id)),
    );
  }

  /** Clears the parts of some crashes on which answers began here shortly before or since. */
  function applyBegins(known: PoisonState, ids: readonly CrashId[]): PoisonState {
    return ids.reduce((next, id) => {
      const crash = next.crashes.get(id);
      const names = [...(crash?.parts ?? [])].map(getPartName);
      const begun = names.filter(
        (name) => crash && begins.getLast(name) >= getNotedAt(crash) - RECENT_BEGIN,
      );
      return clearParts(next, [id], begun);
    }, known);
  }

  /** Applies an observation of this instance. */
  function note(change: (known: PoisonState) => PoisonState): void {
    const before = state;
    state = change(before);
    state = applyBegins(state, listChanged(before));
    if (state === before) {
      return;
    }
    for (const id of listChanged(before)) {
      const crash = state.crashes.get(id) as Crash;
      const news = listNews(before.crashes.get(id), crash);
      position += 1;
      observed.set(id, { crash: joinCrashes(observed.get(id)?.crash, news), position });
      newestObserved = position;
    }
    noteChange();
  }

  function noteChange(): void {
    isSharedCurrent = false;
    dropForgotten();
    onChange();
  }

  /**
   * Adds the parts of several crashes that no answer has cleared. Once listed, a part stays, since the others must learn
   * what clears it; one that sound requests share is cleared so soon that few ever hear of it.
   */
  function refreshListedParts(): void {
    listRepeatedParts(state).forEach((part) => listedParts.add(part));
    const known = new Set(
      [...state.crashes.values()].flatMap(({ parts }) => [...parts].map(getPartName)),
    );
    [...listedParts].filter((part) => !known.has(part)).forEach((part) => listedParts.delete(part));
  }

  /** Gives a new position to each report whose content for all instances has changed. */
  function refreshShared(): void {
    if (isSharedCurrent) {
      return;
    }
    isSharedCurrent = true;
    refreshListedParts();
    kept = { suspects: listRepeatedSuspects(state), parts: listedParts };
    for (const [id, crash] of state.crashes) {
      const content = describeContent(keepNames(crash, kept));
      if (shared.get(id)?.content !== content) {
        position += 1;
        shared.set(id, { content, position });
        newestShared = position;
        sharedBatch = null;
      }
    }
  }

  function createBatch(
    positions: readonly (readonly [CrashId, number])[],
    toReport: (crash: Crash) => CrashReport,
    after: number,
  ): ReportBatch {
    const changed = positions.filter(([, at]) => at > after).sort(([, a], [, b]) => a - b);
    const reports: CrashReport[] = [];
    let suspects = 0;
    let last = after;
    for (const [id, at] of changed) {
      const crash = state.crashes.get(id);
      const report = crash && toReport(crash);
      suspects += (report?.suspects.length ?? 0) + (report?.parts?.length ?? 0);
      if (suspects > MAX_BATCH_SUSPECTS && reports.length > 0) {
        break;
      }
      if (report) {
        reports.push(report);
      }
      last = at;
    }
    return { reports, position: last };
  }

  return {
    getState: () => state,
    note,
    noteBegun(parts, now) {
      begins.note(parts, now);
      const known = getPartCrashes(state, now);
      const suspected = parts.filter((part) => known.has(part));
      if (suspected.length > 0) {
        note((current) => clearParts(current, [...current.crashes.keys()], suspected));
      }
    },
    wasSound: (part, now) => now - begins.getLast(part) <= SOUND_TIME,
    merge(digest, now) {
      const before = state;
      const news = findNewReports(before, digest);
      state = mergePoisonDigest(before, digest, now);
      const changed = listChanged(before);
      // The begins that this instance saw are news to the others.
      note((merged) => applyBegins(merged, changed));
      if (news.length > 0) {
        noteChange();
      }
      return news;
    },
    listObserved: (after, now) =>
      after >= newestObserved
        ? { reports: [], position: after }
        : createBatch(
            [...observed].map(([id, report]) => [id, report.position] as const),
            ({ id }) => createCrashReport((observed.get(id) as OwnReport).crash, now),
            after,
          ),
    listRepeated(after, now) {
      refreshShared();
      if (after >= newestShared) {
        return { reports: [], position: after };
      }
      if (sharedBatch?.after === after && now - sharedBatch.at <= MAX_BATCH_AGE) {
        return sharedBatch.batch;
      }
      const positions = [...shared].map(([id, report]) => [id, report.position] as const);
      const batch = createBatch(
        positions,
        (crash) => createCrashReport(keepNames(crash, kept), now),
        after,
      );
      sharedBatch = { after, at: now, batch };
      return batch;
    },
  };
}

/** Clears parts of those of some crashes at which they were. */
function clearParts(
  state: PoisonState,
  ids: readonly CrashId[],
  parts: readonly PartName[],
): PoisonState {
  return ids.reduce((next, id) => {
    const names = new Set([...(next.crashes.get(id)?.parts ?? [])].map(getPartName));
    return noteBegunParts(
      next,
      id,
      parts.filter((part) => names.has(part)),
    );
  }, state);
}
