/**
 * In-memory states of claim requests: those that this process made, and results reported to it as the
 * owner of a slot. Bounded in entries and bytes; the oldest records are evicted first and are reported
 * as `unknown` from then on.
 */
import type { HolderState } from './ClaimMessages.js';
import type { ClaimRecord } from './ClaimPort.js';

export interface ClaimRecordLimits {
  readonly entries: number;
  /** Maximum total size of the stored responses. */
  readonly bytes: number;
  /** Maximum size of one response. If a response is longer, only the run state of its request is stored. */
  readonly answerBytes: number;
}

export const DEFAULT_RECORD_LIMITS: ClaimRecordLimits = {
  entries: 20_000,
  bytes: 8 * 1024 * 1024,
  answerBytes: 256 * 1024,
};

export interface ClaimRecords {
  get(askId: string): HolderState;
  setRunning(askId: string): void;
  setNeverDispatched(askId: string): void;
  setEnded(askId: string, record: ClaimRecord): void;
  countBytes(): number;
}

export function createClaimRecords(limits: ClaimRecordLimits): ClaimRecords {
  const states = new Map<string, HolderState>();
  let bytes = 0;

  function remove(askId: string): void {
    bytes -= countAnswerBytes(states.get(askId));
    states.delete(askId);
  }

  function set(askId: string, state: HolderState): void {
    remove(askId);
    states.set(askId, state);
    bytes += countAnswerBytes(state);
    for (const [oldest] of states) {
      if (states.size <= limits.entries && bytes <= limits.bytes) {
        break;
      }
      remove(oldest);
    }
  }

  return {
    get: (askId) => states.get(askId) ?? { kind: 'unknown' },
    setRunning: (askId) => set(askId, { kind: 'running' }),
    setNeverDispatched: (askId) => set(askId, { kind: 'never' }),
    setEnded(askId, record) {
      const isLong = Buffer.byteLength(record.answer ?? '') > limits.answerBytes;
      set(askId, { kind: 'ended', record: isLong ? { ...record, answer: null } : record });
    },
    countBytes: () => bytes,
  };
}

function countAnswerBytes(state: HolderState | undefined): number {
  return state?.kind === 'ended' ? Buffer.byteLength(state.record.answer ?? '') : 0;
}
