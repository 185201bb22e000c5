/** Direct queries of the store: its range, its changes, or a full snapshot after a long loss. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type {
  StoreChanges,
  StoreItem,
  StorePage,
  StoreRangePort,
} from '@skylarksail/store/StoreRange';
import { isSameEra } from '@skylarksail/store/StoreRevisions';
import type { Mirror } from './RelayMirror.js';
import type { StalenessTracker } from './RelayStaleness.js';
import { STORE_SOURCE } from './RelayStaleness.js';

export interface StoreReadsOptions {
  readonly timers: TimerService;
  readonly store: Pick<StoreRangePort, 'readRange' | 'watchRange'>;
  readonly mirror: Mirror;
  readonly age: StalenessTracker;
  /** Whether any instance of the fleet gets its updates from peers. */
  readonly isShared: () => boolean;
  /** Time since which neither the store nor a source has answered; null if one does. */
  readonly getLostAt: () => Millis | null;
}

/**
 * Longest watch of the store in a fleet with sources. A watcher must detect a dead connection before the instances that
 * depend on it become stale, and an instance that bypasses its sources must return to them soon.
 */
const MAX_SHARED_WATCH: Millis = 1000;
/**
 * After a longer loss, a snapshot is read instead of resuming the watch. A watch returns each key once per write:
 * after a series of large writes its answer is many times the size of the store, and may never arrive on a narrow link.
 */
const MAX_RESUMED_LOSS: Millis = 1000;

/** Creates reads of the store that record the age of its answers. */
export function createStoreReads({
  timers,
  store,
  mirror,
  age,
  isShared,
  getLostAt,
}: StoreReadsOptions): Pick<StoreRangePort, 'readRange' | 'watchRange'> {
  function noteAnswer(outcome: StoreOutcome<unknown>): void {
    if (outcome.kind === 'done') {
      age.noteAnswer(STORE_SOURCE, outcome.arrivalTime ?? 0);
    }
  }

  async function readRange(
    ...args: Parameters<StoreRangePort['readRange']>
  ): ReturnType<StoreRangePort['readRange']> {
    const [, after] = args;
    const outcome = await store.readRange(...args);
    // The range is in sync as of its first page: changes made before a later page was read may be missing.
    if (after === null) {
      noteAnswer(outcome);
    }
    return outcome;
  }

  /** Reads all keys, and returns the difference to the local copy as changes. */
  async function readSnapshot(
    prefix: string,
    timeout: Millis,
  ): Promise<StoreOutcome<StoreChanges>> {
    const items: StoreItem[] = [];
    let revision: number | null = null;
    let after: string | null = null;
    do {
      const page: StoreOutcome<StorePage> = await readRange(prefix, after, { timeout });
      if (page.kind !== 'done') {
        return page;
      }
      if (revision !== null && !isSameEra(revision, page.value.revision)) {
        // The store came back from a copy between two pages.
        return { kind: 'done', value: { kind: 'compacted' } };
      }
      items.push(...page.value.items);
      revision ??= page.value.revision;
      after = page.value.next;
    } while (after !== null);
    const events = mirror.toEvents({ isWhole: true, items, removed: [], revision });
    return { kind: 'done', value: { kind: 'events', events, revision } };
  }

  async function watchChanges(
    ...[prefix, since, wait, { timeout }]: Parameters<StoreRangePort['watchRange']>
  ): Promise<StoreOutcome<StoreChanges>> {
    const hold = isShared() ? Math.min(wait, MAX_SHARED_WATCH) : wait;
    const answerTimeout = timeout - wait;
    const outcome = await store.watchRange(prefix, since, hold, { timeout: hold + answerTimeout });
    noteAnswer(outcome);
    return outcome;
  }

  function needsSnapshot(): boolean {
    const lostAt = getLostAt();
    return lostAt !== null && timers.now() - lostAt > MAX_RESUMED_LOSS;
  }

  return {
    readRange,
    watchRange(...args) {
      const [prefix, , wait, { timeout }] = args;
      return needsSnapshot() ? readSnapshot(prefix, timeout - wait) : watchChanges(...args);
    },
  };
}
