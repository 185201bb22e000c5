/**
 * Local copy of the store, key by key, filled by the store itself or, while the store refuses this instance, by a peer.
 * The higher revision of a key wins, so that changes from a peer are not reverted when the store answers again and
 * replays its history. Revisions have their era: one of a later era is higher than all of an earlier one, since the
 * store gives numbers out again after it has come back from a copy.
 */
import type { StoreEvent, StoreItem } from '@skylarksail/store/StoreRange';

/** Changes since a revision, or a full snapshot. */
export interface MirrorChanges {
  /** Whether this is a snapshot: the items are all that exist as of the revision, and no removals are listed. */
  readonly isWhole: boolean;
  readonly items: readonly StoreItem[];
  readonly removed: readonly { readonly key: string; readonly revision: number }[];
  readonly revision: number;
}

export interface Mirror {
  /** Applies an event; returns whether it was newer than the known revision of its key. */
  apply(event: StoreEvent): boolean;
  /**
   * Returns the changes since a revision, up to the latest complete one. If some are missing, returns a snapshot where
   * the receiver accepts one, else the changes that are present, as of the given revision.
   */
  readSince(revision: number, takesWhole: boolean): MirrorChanges;
  /**
   * Returns the events that bring the copy to the received state; the caller applies each of them. After a snapshot,
   * changes since an earlier revision are incomplete: keys written and removed since the snapshot before it were never
   * seen.
   */
  toEvents(changes: MirrorChanges): readonly StoreEvent[];
  /** The latest known revision of a key, its removal included; 0 if none is known. */
  getRevision(key: string): number;
  /** The item of a key, or null if it is removed or not known. */
  getItem(key: string): StoreItem | null;
  /** All changes up to a revision are applied; returns whether that revision is higher than before. */
  noteComplete(revision: number): boolean;
  /** The revision up to which the copy is complete. */
  getCompleteRevision(): number;
  /** Whether all changes after a revision are present, removals included. */
  hasChangesSince(revision: number): boolean;
  /** Whether a full snapshot is present. */
  hasFullState(): boolean;
}

/** Maximum number of tombstones. Servers register and leave by the dozen; older removals no longer matter. */
const MAX_TOMBSTONES = 1000;

export function createMirror(): Mirror {
  const items = new Map<string, StoreItem>();
  const removed = new Map<string, number>();
  let completeRevision = 0;
  /** Revision of the latest snapshot; earlier removals may be missing. Infinite before the first. */
  let snapshotRevision = Infinity;
  /** Tombstones up to this revision may have been pruned. */
  let prunedRevision = 0;

  function canTellSince(since: number): boolean {
    return since >= snapshotRevision && since >= prunedRevision;
  }

  function canTellWhole(): boolean {
    return snapshotRevision < Infinity && completeRevision > 0;
  }

  function getKnownRevision(key: string): number {
    return items.get(key)?.revision ?? removed.get(key) ?? 0;
  }

  function remove(key: string, removedRevision: number): void {
    items.delete(key);
    removed.delete(key);
    removed.set(key, removedRevision);
    if (removed.size > MAX_TOMBSTONES) {
      const [oldest] = removed;
      if (oldest) {
        removed.delete(oldest[0]);
        prunedRevision = Math.max(prunedRevision, oldest[1]);
      }
    }
  }

  function diffSnapshot(
    foundItems: readonly StoreItem[],
    foundRevision: number,
  ): readonly StoreEvent[] {
    const keys = new Set(foundItems.map(({ key }) => key));
    const written = foundItems.map((item): StoreEvent => ({ kind: 'written', item }));
    const gone = [...items.values()]
      .filter((item) => !keys.has(item.key) && item.revision <= foundRevision)
      .map(({ key }): StoreEvent => ({ kind: 'removed', key, revision: foundRevision }));
    return [...written, ...gone];
  }

  return {
    apply(event) {
      const key = event.kind === 'written' ? event.item.key : event.key;
      const eventRevision = event.kind === 'written' ? event.item.revision : event.revision;
      if (eventRevision <= getKnownRevision(key)) {
        return false;
      }
      if (event.kind === 'written') {
        items.set(key, event.item);
        removed.delete(key);
      } else {
        remove(key, eventRevision);
      }
      return true;
    },
    readSince(since, takesWhole) {
      if (takesWhole && !canTellSince(since) && canTellWhole()) {
        return {
          isWhole: true,
          items: [...items.values()],
          removed: [],
          revision: completeRevision,
        };
      }
      return {
        isWhole: false,
        items: [...items.values()].filter((item) => item.revision > since),
        removed: [...removed]
          .filter(([, at]) => at > since)
          .map(([key, at]) => ({ key, revision: at })),
        revision: canTellSince(since) ? Math.max(since, completeRevision) : since,
      };
    },
    toEvents({ isWhole, items: told, removed: gone, revision: receivedRevision }) {
      if (isWhole) {
        snapshotRevision = Math.max(
          receivedRevision,
          snapshotRevision < Infinity ? snapshotRevision : 0,
        );
        return diffSnapshot(told, receivedRevision);
      }
      const written = told.map((item): StoreEvent => ({ kind: 'written', item }));
      return [...written, ...gone.map((removal) => ({ kind: 'removed' as const, ...removal }))];
    },
    getRevision: getKnownRevision,
    getItem: (key) => items.get(key) ?? null,
    noteComplete(appliedRevision) {
      if (appliedRevision <= completeRevision) {
        return false;
      }
      completeRevision = appliedRevision;
      return true;
    },
    getCompleteRevision: () => completeRevision,
    hasChangesSince: canTellSince,
    hasFullState: canTellWhole,
  };
}
