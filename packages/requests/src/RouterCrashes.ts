/**
 * The crashes known to a router, in the order in which they last changed, so that instances exchange changes only.
 *
 * Most suspects of a crash are bystanders. Sent to every instance, the suspects of a lost rack would take seconds on a
 * narrow link. So an instance reports all suspects that it observed to a few collectors, and these pass on to everyone
 * the suspects of several crashes: only they can be condemned, and all that a verdict on them needs is included.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type {
  Crash,
  CrashId,
  CrashReport,
  Fingerprint,
  PoisonDigest,
  PoisonState,
} from './RequestPoison.js';
import {
  createCrashReport,
  createPoisonState,
  findNewReports,
  listRepeatedSuspects,
  mergePoisonDigest,
} from './RequestPoison.js';

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
  /** Lists reports that changed by observations of this instance after a position, with all suspects. */
  listObserved(after: number, now: Millis): ReportBatch;
  /** Lists reports that changed after a position, with the suspects of several crashes only. */
  listRepeated(after: number, now: Millis): ReportBatch;
}

/** Maximum number of suspects in a batch, which keeps a message below 50 kB. */
const MAX_BATCH_SUSPECTS = 2000;

/** Time for which a batch is used again; reports in it seem that much younger. */
const MAX_BATCH_AGE: Millis = 50;

/** A report as it was last listed for all instances. */
interface SharedReport {
  readonly content: string;
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
  const observedAt = new Map<CrashId, number>();
  const shared = new Map<CrashId, SharedReport>();
  let state = createPoisonState(crashLimit);
  let position = 0;
  let repeated: ReadonlySet<Fingerprint> = new Set();
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
    [observedAt, shared].forEach((table) =>
      [...table.keys()].filter((id) => !state.crashes.has(id)).forEach((id) => table.delete(id)),
    );
  }

  function noteChange(): void {
    isSharedCurrent = false;
    dropForgotten();
    onChange();
  }

  /** Gives a new position to each report whose content for all instances has changed. */
  function refreshShared(): void {
    if (isSharedCurrent) {
      return;
    }
    isSharedCurrent = true;
    repeated = listRepeatedSuspects(state);
    for (const [id, crash] of state.crashes) {
      const content = describeContent(keepSuspects(crash, repeated));
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
      suspects += report?.suspects.length ?? 0;
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
    note(change) {
      const before = state;
      state = change(before);
      if (state === before) {
        return;
      }
      for (const id of listChanged(before)) {
        position += 1;
        observedAt.set(id, position);
        newestObserved = position;
      }
      noteChange();
    },
    merge(digest, now) {
      const news = findNewReports(state, digest);
      state = mergePoisonDigest(state, digest, now);
      if (news.length > 0) {
        noteChange();
      }
      return news;
    },
    listObserved: (after, now) =>
      after >= newestObserved
        ? { reports: [], position: after }
        : createBatch([...observedAt], (crash) => createCrashReport(crash, now), after),
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
        (crash) => createCrashReport(keepSuspects(crash, repeated), now),
        after,
      );
      sharedBatch = { after, at: now, batch };
      return batch;
    },
  };
}

function keepSuspects(crash: Crash, kept: ReadonlySet<Fingerprint>): Crash {
  const keep = (names: ReadonlySet<Fingerprint>): ReadonlySet<Fingerprint> =>
    new Set([...names].filter((name) => kept.has(name)));
  return {
    ...crash,
    suspects: keep(crash.suspects),
    cleared: keep(crash.cleared),
    completed: keep(crash.completed),
  };
}

function describeContent({ disproven, suspects, cleared, completed }: Crash): string {
  const names = [suspects, cleared, completed].map((set) => [...set].sort());
  return JSON.stringify([disproven, ...names]);
}
