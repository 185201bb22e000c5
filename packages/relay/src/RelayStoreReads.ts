/** What an instance asks the store itself: its range, its changes, or all that it holds after a long loss. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type {
  StoreChanges,
  StoreItem,
  StorePage,
  StoreRangePort,
} from '@skylarksail/store/StoreRange';
import type { Mirror } from './RelayMirror.js';
import type { StalenessTracker } from './RelayStaleness.js';
import { STORE_SOURCE } from './RelayStaleness.js';

export interface StoreReadsOptions {
  readonly timers: TimerService;
  readonly store: Pick<StoreRangePort, 'readRange' | 'watchRange'>;
  readonly mirror: Mirror;
  readonly age: StalenessTracker;
  /** Whether any instance of the fleet hears by others. */
  readonly isShared: () => boolean;
  /** Since when neither the store nor a source has answered; null if one does. */
  readonly getLostAt: () => Millis | null;
}

/**
 * Longest watch of the store in a fleet with sources. A watcher whose connection went silent is to know it before those
 * that hear by it are late, and one that watches beside its sources is to ask them again soon.
 */
const SHARED_WATCH: Millis = 1000;
/**
 * After a longer loss the store is read anew. A watch brings each key as often as it was written: in a series of large
 * values that is many times what the store holds, and may never arrive on a narrow link.
 */
const LONGEST_LOSS: Millis = 1000;

/** Creates the way to the store, which notes how old its answers are. */
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
    // A range is known as of its first page: what changed before a later one was read may be missing.
    if (after === null) {
      noteAnswer(outcome);
    }
    return outcome;
  }

  /** The whole, as changes to what is known. */
  async function readAnew(prefix: string, timeout: Millis): Promise<StoreOutcome<StoreChanges>> {
    const items: StoreItem[] = [];
    let revision: number | null = null;
    let after: string | null = null;
    do {
      const page: StoreOutcome<StorePage> = await readRange(prefix, after, { timeout });
      if (page.kind !== 'done') {
        return page;
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
    const hold = isShared() ? Math.min(wait, SHARED_WATCH) : wait;
    const answerTime = timeout - wait;
    const outcome = await store.watchRange(prefix, since, hold, { timeout: hold + answerTime });
    noteAnswer(outcome);
    return outcome;
  }

  function isLongLost(): boolean {
    const lostAt = getLostAt();
    return lostAt !== null && timers.now() - lostAt > LONGEST_LOSS;
  }

  return {
    readRange,
    watchRange(...args) {
      const [prefix, , wait, { timeout }] = args;
      return isLongLost() ? readAnew(prefix, timeout - wait) : watchChanges(...args);
    },
  };
}
