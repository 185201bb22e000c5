/**
 * Counts the memory that answers take while they are read, of all servers together. Each may be inside the limit of one
 * answer while all of them are too much; then those of the server that sends most are given up, and others are not.
 */
import { createByteBuffer } from '@skylarksail/core/CoreByteBuffer';
import { MAX_BODY_PIECES } from '@skylarksail/core/CoreResponseTimeout';

/** The memory of one answer. */
export interface AnswerAccount {
  /** The answer takes this many bytes now. */
  note(bytes: number): void;
  /** The answer takes none any more. */
  close(): void;
}

export interface AnswerMemory {
  /** Opens the account of an answer of `sender`; `giveUp` ends its reading, at once. */
  open(sender: string, giveUp: () => void): AnswerAccount;
  /** Bytes that all answers take together. */
  getBytes(): number;
}

export interface AnswerMemoryOptions {
  /** Maximum bytes of all answers together. */
  readonly maxBytes: number;
  /** An answer of `sender` that took `bytes` was given up. */
  readonly onGivenUp: (sender: string, bytes: number) => void;
}

/** The body of an answer that is kept until it is whole. */
export interface AnswerBody {
  readonly length: number;
  /** Keeps a piece; false if the answer is larger than any may be. */
  append(piece: Uint8Array): boolean;
  /** The body so far. */
  getBytes(): Buffer;
}

interface Account {
  readonly sender: string;
  readonly giveUp: () => void;
  bytes: number;
}

/** Maximum bytes of all answers together, unless the settings give another. */
export const DEFAULT_ANSWER_BYTES = 64 * 1024 * 1024;

export function createAnswerMemory({ maxBytes, onGivenUp }: AnswerMemoryOptions): AnswerMemory {
  const accounts = new Set<Account>();
  let total = 0;

  function set(account: Account, bytes: number): void {
    total += bytes - account.bytes;
    Object.assign(account, { bytes });
  }

  function close(account: Account): void {
    set(account, 0);
    accounts.delete(account);
  }

  function giveUpLargest(): void {
    const largest = findLargest(accounts);
    if (largest !== null) {
      onGivenUp(largest.sender, largest.bytes);
      close(largest);
      largest.giveUp();
    }
  }

  return {
    open(sender, giveUp) {
      const account: Account = { sender, giveUp, bytes: 0 };
      accounts.add(account);
      return {
        note(bytes) {
          if (accounts.has(account)) {
            set(account, bytes);
          }
          while (total > maxBytes) {
            giveUpLargest();
          }
        },
        close: () => close(account),
      };
    },
    getBytes: () => total,
  };
}

/** The largest answer of the sender whose answers take most together; null if none takes any. */
function findLargest(accounts: Iterable<Account>): Account | null {
  const sums = new Map<string, number>();
  const largest = new Map<string, Account>();
  for (const account of accounts) {
    const { sender, bytes } = account;
    sums.set(sender, (sums.get(sender) ?? 0) + bytes);
    if (bytes > (largest.get(sender)?.bytes ?? 0)) {
      largest.set(sender, account);
    }
  }
  let found: Account | null = null;
  let most = 0;
  for (const [sender, account] of largest) {
    const sum = sums.get(sender) ?? 0;
    if (sum > most) {
      found = account;
      most = sum;
    }
  }
  return found;
}

/** Creates the body of an answer of up to `maxBytes`, whose memory is counted. */
export function createAnswerBody(account: AnswerAccount, maxBytes: number): AnswerBody {
  const buffer = createByteBuffer({ maxBytes, maxPieces: MAX_BODY_PIECES });
  return {
    get length() {
      return buffer.length;
    },
    append(piece) {
      const { capacity } = buffer;
      const isTaken = buffer.append(piece);
      if (buffer.capacity !== capacity) {
        account.note(buffer.capacity);
      }
      return isTaken;
    },
    getBytes: buffer.getBytes,
  };
}
