/**
 * Watches the era and the revision of a store. A store that comes back from a copy counts its revisions again from
 * that of the copy, and an instance that doesn't see this takes newer changes for older ones.
 */
import type { StoreEra, StoreOutcome } from './StorePort.js';
import type { StoreRangePort } from './StoreRange.js';

/** State of the store by its last answer. Numbers are null where no answer has told them. */
export interface StoreHistory {
  readonly era: StoreEra | null;
  readonly revision: number | null;
}

/** Reports a change of the store's history: another era, or a lower revision than in an answer before. */
export type OnHistoryChange = (next: StoreHistory, before: StoreHistory) => void;

/** Wraps a port; `onChange` is called after an answer of another era, or one whose revision is lower than before. */
export function watchStoreHistory(
  port: StoreRangePort,
  onChange: OnHistoryChange,
): StoreRangePort & { readonly getHistory: () => StoreHistory } {
  let history: StoreHistory = { era: null, revision: null };

  /** `knownRevision`: revision known when the call was sent; answers to calls side by side may overtake each other. */
  function note(next: StoreHistory, knownRevision: number): void {
    const before = history;
    history = { era: next.era ?? before.era, revision: next.revision ?? before.revision };
    const hasGoneBack = next.revision !== null && next.revision < knownRevision;
    if (history.era !== before.era || hasGoneBack) {
      onChange(history, before);
    }
  }

  async function watch<T>(
    call: Promise<StoreOutcome<T>>,
    getRevision: (value: T) => number | null,
  ): Promise<StoreOutcome<T>> {
    const knownRevision = history.revision ?? 0;
    const outcome = await call;
    if (outcome.kind !== 'unknown') {
      const revision = outcome.kind === 'done' ? getRevision(outcome.value) : null;
      note({ era: outcome.era ?? null, revision }, knownRevision);
    }
    return outcome;
  }

  return {
    readRange: (...args) => watch(port.readRange(...args), ({ revision }) => revision),
    watchRange: (...args) =>
      watch(port.watchRange(...args), (changes) =>
        changes.kind === 'events' ? changes.revision : null,
      ),
    write: (...args) => watch(port.write(...args), (revision) => revision),
    grantLease: (...args) => watch(port.grantLease(...args), () => null),
    renewLease: (...args) => watch(port.renewLease(...args), () => null),
    revokeLease: (...args) => watch(port.revokeLease(...args), () => null),
    getHistory: () => history,
  };
}
