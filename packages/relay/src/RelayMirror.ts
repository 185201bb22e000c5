/**
 * What this instance knows of the store, key by key, from whichever source told it last: the store itself
 * or, while that turns this instance away, a peer. Revisions decide, so that news heard from a peer are
 * not taken back when the store answers again and tells its history in order.
 */
import type { StoreEvent, StoreItem } from '@skylarksail/store/StoreRange';

/** What has changed since a revision, or all that there is. */
export interface MirrorChanges {
  /** The items are all that there are as of the revision; no removals are told. */
  readonly isWhole: boolean;
  readonly items: readonly StoreItem[];
  readonly removed: readonly { readonly key: string; readonly revision: number }[];
  readonly revision: number;
}

export interface Mirror {
  /** Takes an event in; says whether it was news. */
  apply(event: StoreEvent): boolean;
  /**
   * Changes since a revision, up to the last that is known in full. If not all of them can be told, a whole for who takes
   * one, else what is known, as of the revision given.
   */
  readSince(revision: number, takesWhole: boolean): MirrorChanges;
  /**
   * The events by which what is known becomes what was told; each is then to be taken in. After a whole, nobody who knows
   * less than its revision can be told all: what came and went since the whole before was never heard of.
   */
  toEvents(changes: MirrorChanges): readonly StoreEvent[];
  /** All that happened up to a revision has been taken in; says whether that is more than before. */
  noteComplete(revision: number): boolean;
  /** The revision up to which everything is known. */
  getCompleteRevision(): number;
  /** Whether all that happened after a revision can be told, removals included. */
  hasChangesSince(revision: number): boolean;
  /** Whether all that there is can be told. */
  hasFullState(): boolean;
}

/** Removed keys that are remembered. Servers come and go by the dozen; older ones are long forgotten. */
const MOST_REMOVED = 1000;

export function createMirror(): Mirror {
  const items = new Map<string, StoreItem>();
  const removed = new Map<string, number>();
  let complete = 0;
  /** What was removed before the latest whole may never have been heard of; infinite before the first. */
  let wholeSince = Infinity;
  /** Removals up to this revision may have been forgotten. */
  let forgottenTo = 0;

  function canTellSince(since: number): boolean {
    return since >= wholeSince && since >= forgottenTo;
  }

  function canTellWhole(): boolean {
    return wholeSince < Infinity && complete > 0;
  }

  function getKnown(key: string): number {
    return items.get(key)?.revision ?? removed.get(key) ?? 0;
  }

  function remove(key: string, at: number): void {
    items.delete(key);
    removed.delete(key);
    removed.set(key, at);
    if (removed.size > MOST_REMOVED) {
      const [oldest] = removed;
      if (oldest) {
        removed.delete(oldest[0]);
        forgottenTo = Math.max(forgottenTo, oldest[1]);
      }
    }
  }

  function diffWhole(found: readonly StoreItem[], at: number): readonly StoreEvent[] {
    const keys = new Set(found.map(({ key }) => key));
    const written = found.map((item): StoreEvent => ({ kind: 'written', item }));
    const gone = [...items.values()]
      .filter((item) => !keys.has(item.key) && item.revision <= at)
      .map(({ key }): StoreEvent => ({ kind: 'removed', key, revision: at }));
    return [...written, ...gone];
  }

  return {
    apply(event) {
      const key = event.kind === 'written' ? event.item.key : event.key;
      const at = event.kind === 'written' ? event.item.revision : event.revision;
      if (at <= getKnown(key)) {
        return false;
      }
      if (event.kind === 'written') {
        items.set(key, event.item);
        removed.delete(key);
      } else {
        remove(key, at);
      }
      return true;
    },
    readSince(since, takesWhole) {
      if (takesWhole && !canTellSince(since) && canTellWhole()) {
        return { isWhole: true, items: [...items.values()], removed: [], revision: complete };
      }
      return {
        isWhole: false,
        items: [...items.values()].filter((item) => item.revision > since),
        removed: [...removed]
          .filter(([, at]) => at > since)
          .map(([key, at]) => ({ key, revision: at })),
        revision: canTellSince(since) ? Math.max(since, complete) : since,
      };
    },
    toEvents({ isWhole, items: told, removed: gone, revision: at }) {
      if (isWhole) {
        wholeSince = Math.max(at, wholeSince < Infinity ? wholeSince : 0);
        return diffWhole(told, at);
      }
      const written = told.map((item): StoreEvent => ({ kind: 'written', item }));
      return [...written, ...gone.map((removal) => ({ kind: 'removed' as const, ...removal }))];
    },
    noteComplete(next) {
      if (next <= complete) {
        return false;
      }
      complete = next;
      return true;
    },
    getCompleteRevision: () => complete,
    hasChangesSince: canTellSince,
    hasFullState: canTellWhole,
  };
}
