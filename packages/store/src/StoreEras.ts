/**
 * Port to a store that may come back from a copy. Such a store loses its latest changes and gives their revisions and
 * the ids of leases out again, in a new era. This port joins each revision with its era, keeps answers of an earlier
 * era from the caller, and sends no number of an earlier era: it could be that of another's key or lease now.
 */
import type { StoreEra, StoreOutcome } from './StorePort.js';
import type {
  StoreChanges,
  StoreCondition,
  StoreEvent,
  StoreItem,
  StorePage,
  StoreRangePort,
  StoreWrite,
} from './StoreRange.js';
import { getEra, getRevisionNumber, joinRevision } from './StoreRevisions.js';

/** State of the store by its last answer. Numbers are null where no answer has told them. */
export interface StoreHistory {
  readonly era: StoreEra | null;
  readonly revision: number | null;
}

/** Reports a change of the store's history: another era, or a lower revision than in an answer before. */
export type OnHistoryChange = (next: StoreHistory, before: StoreHistory) => void;

/** Port whose revisions have their era, and whose leases are known by handles of its own. */
export interface HistoryPort extends StoreRangePort {
  getHistory(): StoreHistory;
}

/** An answer of the store; `era` is 0 if the store names none. */
type Answer<T> = Exclude<StoreOutcome<T>, { readonly kind: 'unknown' }> & {
  readonly era: StoreEra;
};

/** A lease by the id that the store gave it in an era. */
interface GrantedLease {
  readonly id: number;
  readonly era: StoreEra;
}

/** No key begins with it: a read of it tells nothing but the era. */
const EMPTY_PREFIX = 'skylarksail/none/';
const UNKNOWN = { kind: 'unknown' } as const;
const LAPSED = { kind: 'refused', reason: { kind: 'lapsed' } } as const;
const CONFLICT = { kind: 'refused', reason: { kind: 'conflict', revision: 0 } } as const;
const COMPACTED = { kind: 'done', value: { kind: 'compacted' } } as const;

/** Wraps a port; `onChange` is called after an answer of another era, or one whose revision is lower than before. */
export function createHistoryPort(port: StoreRangePort, onChange: OnHistoryChange): HistoryPort {
  const leases = new Map<number, GrantedLease>();
  const waiting = new Set<() => void>();
  let history: StoreHistory = { era: null, revision: null };
  /** Latest era known from the store or a peer; 0 while the store names none. */
  let currentEra: StoreEra = 0;
  let lastHandle = 0;

  function noteEra(era: StoreEra): void {
    if (era > currentEra) {
      currentEra = era;
      [...waiting].forEach((release) => release());
    }
  }

  /** `knownRevision`: revision known when the call was sent; answers to calls side by side may overtake each other. */
  function noteHistory(next: StoreHistory, knownRevision: number): void {
    const before = history;
    history = { era: next.era ?? before.era, revision: next.revision ?? before.revision };
    const hasGoneBack = next.revision !== null && next.revision < knownRevision;
    if (history.era !== before.era || hasGoneBack) {
      onChange(history, before);
    }
  }

  /**
   * Sends a call; null if no answer came, or one of an earlier era: it was late, and what it tells is gone. A refusal
   * without an era is one of the local client.
   */
  async function send<T>(
    call: Promise<StoreOutcome<T>>,
    getNumber: (value: T) => number | null = () => null,
  ): Promise<Answer<T> | null> {
    const knownRevision = history.revision ?? 0;
    const outcome = await call;
    if (outcome.kind === 'unknown') {
      return null;
    }
    const { era } = outcome;
    if (outcome.kind === 'refused' && era === undefined) {
      return { ...outcome, era: currentEra };
    }
    if ((era ?? 0) < currentEra) {
      return null;
    }
    noteEra(era ?? 0);
    const revision = outcome.kind === 'done' ? getNumber(outcome.value) : null;
    noteHistory({ era: era ?? null, revision }, knownRevision);
    return { ...outcome, era: era ?? 0 };
  }

  async function readRange(
    ...args: Parameters<StoreRangePort['readRange']>
  ): Promise<StoreOutcome<StorePage>> {
    const answer = await send(port.readRange(...args), ({ revision }) => revision);
    if (answer?.kind !== 'done') {
      return answer ?? UNKNOWN;
    }
    const { value, era } = answer;
    const items = value.items.map((item) => joinItem(era, item));
    return { ...answer, value: { ...value, items, revision: joinRevision(era, value.revision) } };
  }

  /** Resolves once a later era is known: a watch on a connection that is dead would hide it for seconds. */
  async function watchUntilReturn<T>(call: Promise<T>): Promise<T | typeof COMPACTED> {
    let release: () => void = () => undefined;
    const returned = new Promise<typeof COMPACTED>((resolve) => {
      release = () => resolve(COMPACTED);
    });
    waiting.add(release);
    return Promise.race([call, returned]).finally(() => waiting.delete(release));
  }

  async function watchRange(
    ...[prefix, since, wait, options]: Parameters<StoreRangePort['watchRange']>
  ): Promise<StoreOutcome<StoreChanges>> {
    const asked = getEra(since);
    noteEra(asked);
    if (asked < currentEra) {
      return COMPACTED;
    }
    const call = port.watchRange(prefix, getRevisionNumber(since), wait, options);
    const answer = await watchUntilReturn(
      send(call, (changes) => (changes.kind === 'events' ? changes.revision : null)),
    );
    if (answer?.kind !== 'done') {
      return answer ?? UNKNOWN;
    }
    if (!('era' in answer) || answer.era !== asked || answer.value.kind === 'compacted') {
      return COMPACTED;
    }
    const { value, era } = answer;
    return {
      ...answer,
      value: {
        kind: 'events',
        events: value.events.map((event) => joinEvent(era, event)),
        revision: joinRevision(era, value.revision),
      },
    };
  }

  async function write(
    ...[conditions, writes, removals, options]: Parameters<StoreRangePort['write']>
  ): Promise<StoreOutcome<number>> {
    const revisions = conditions.map(({ revision }) => revision).filter((revision) => revision > 0);
    const bound = writes.filter(({ lease }) => lease !== 0).map(({ lease }) => leases.get(lease));
    revisions.forEach((revision) => noteEra(getEra(revision)));
    if (bound.some((lease) => lease === undefined || lease.era < currentEra)) {
      return LAPSED;
    }
    if (revisions.some((revision) => getEra(revision) < currentEra)) {
      return CONFLICT;
    }
    const sentEra = currentEra;
    const answer = await send(
      port.write(conditions.map(splitCondition), writes.map(splitWrite), removals, options),
      (revision) => revision,
    );
    if (answer?.kind !== 'done') {
      return answer ?? UNKNOWN;
    }
    // Numbers of an earlier era were sent to a store that had come back; what they meant there is not known.
    const isMixed = answer.era !== sentEra && (revisions.length > 0 || bound.length > 0);
    return isMixed ? UNKNOWN : { ...answer, value: joinRevision(answer.era, answer.value) };
  }

  function splitWrite({ lease, ...rest }: StoreWrite): StoreWrite {
    return { ...rest, lease: leases.get(lease)?.id ?? 0 };
  }

  async function grantLease(
    ...args: Parameters<StoreRangePort['grantLease']>
  ): Promise<StoreOutcome<number>> {
    const answer = await send(port.grantLease(...args));
    if (answer?.kind !== 'done') {
      return answer ?? UNKNOWN;
    }
    lastHandle += 1;
    leases.set(lastHandle, { id: answer.value, era: answer.era });
    return { ...answer, value: lastHandle };
  }

  /** Returns the lease of a handle, or null if its era is over, and with it the lease. */
  function getLease(handle: number): GrantedLease | null {
    const lease = leases.get(handle);
    if (!lease || lease.era < currentEra) {
      leases.delete(handle);
      return null;
    }
    return lease;
  }

  /** Sends a call about a lease. An answer of a later era tells of a lease that another may have got under its id. */
  async function callLease(
    handle: number,
    call: (id: number) => Promise<StoreOutcome<null>>,
  ): Promise<StoreOutcome<null>> {
    const lease = getLease(handle);
    if (lease === null) {
      return LAPSED;
    }
    const answer = await send(call(lease.id));
    if (answer === null) {
      return UNKNOWN;
    }
    if (answer.era !== lease.era || isLapsed(answer)) {
      leases.delete(handle);
      return LAPSED;
    }
    return answer;
  }

  /** Confirms the era by a read first: an end that is sent into a later era would end another's lease. */
  async function revokeLease(
    ...[handle, options]: Parameters<StoreRangePort['revokeLease']>
  ): Promise<StoreOutcome<null>> {
    const lease = getLease(handle);
    if (lease !== null && lease.era > 0) {
      const answer = await send(port.readRange(EMPTY_PREFIX, null, options));
      if (answer?.kind !== 'done') {
        return answer ?? UNKNOWN;
      }
    }
    const outcome = await callLease(handle, (id) => port.revokeLease(id, options));
    if (outcome.kind === 'done') {
      leases.delete(handle);
    }
    return outcome;
  }

  return {
    readRange,
    watchRange,
    write,
    grantLease,
    renewLease: (handle, options) => callLease(handle, (id) => port.renewLease(id, options)),
    revokeLease,
    getHistory: () => history,
  };
}

function joinItem(era: StoreEra, item: StoreItem): StoreItem {
  return { ...item, revision: joinRevision(era, item.revision) };
}

function joinEvent(era: StoreEra, event: StoreEvent): StoreEvent {
  return event.kind === 'written'
    ? { kind: 'written', item: joinItem(era, event.item) }
    : { ...event, revision: joinRevision(era, event.revision) };
}

function splitCondition({ key, revision }: StoreCondition): StoreCondition {
  return { key, revision: getRevisionNumber(revision) };
}

function isLapsed(outcome: StoreOutcome<unknown>): boolean {
  return outcome.kind === 'refused' && outcome.reason.kind === 'lapsed';
}
