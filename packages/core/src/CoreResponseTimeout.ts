/**
 * Timeouts for receiving a response. A tight timeout on the whole response would abort a large one that is still
 * arriving, and the retry would start again at the first byte: on a link that is too slow for the timeout no attempt
 * would succeed, and the retries would use up the link's bandwidth. The main timeouts therefore limit the time without
 * data; the timeout on the whole response only stops a sender that never finishes.
 */
import { createByteBuffer } from './CoreByteBuffer.js';
import type { TimerService } from './CoreTimers.js';
import type { Millis, Unregister } from './CoreTypes.js';

export interface ResponseTimeoutLimits {
  /** Maximum time until the response begins. */
  readonly begin: Millis;
  /** Maximum time without data after that. */
  readonly gap: Millis;
  /** Maximum time from the beginning of the response to its end. */
  readonly whole: Millis;
}

/** Applies the timeouts to one response. */
export interface ResponseTimeout {
  /** Aborted when a timeout expires. */
  readonly signal: AbortSignal;
  /** Records that a part of the response has arrived. */
  recordProgress(): void;
  /** Time since the response began; 0 before that. */
  getElapsed(): Millis;
  /** Cancels all timeouts, once the response is complete or has failed. */
  end(): void;
}

/**
 * Delay between the expiry of a timeout on missing data and the abort. A process that was blocked runs its due timers
 * before it reads the data that has arrived meanwhile; data read within this delay cancels the abort.
 */
const READ_GRACE: Millis = 20;

/** Maximum pieces of one body. A sound sender sends large ones; a flood of small ones takes the process's time. */
export const MAX_BODY_PIECES = 65_536;

/** Starts the timeouts for a response. */
export function startResponseTimeout(
  timers: TimerService,
  limits: ResponseTimeoutLimits,
): ResponseTimeout {
  const controller = new AbortController();
  let cancelIdleTimeout: Unregister = () => undefined;
  let cancelTotalTimeout: Unregister | null = null;
  let begunAt: Millis | null = null;
  const abort = (): void => controller.abort(new Error('response timed out'));
  const scheduleAbort = (): void => {
    cancelIdleTimeout = timers.registerTimeout(READ_GRACE, abort);
  };
  cancelIdleTimeout = timers.registerTimeout(limits.begin, scheduleAbort);

  return {
    signal: controller.signal,
    recordProgress() {
      begunAt ??= timers.now();
      cancelIdleTimeout();
      cancelIdleTimeout = timers.registerTimeout(limits.gap, scheduleAbort);
      cancelTotalTimeout ??= timers.registerTimeout(limits.whole, abort);
    },
    getElapsed: () => (begunAt === null ? 0 : timers.now() - begunAt),
    end() {
      cancelIdleTimeout();
      cancelTotalTimeout?.();
    },
  };
}

/**
 * Reads a response body after the headers have arrived; rejects if the sender aborts, a timeout expires, or the body has
 * more than `maxBytes`. A sender that never ends would otherwise fill the memory within the timeouts.
 */
export async function collectResponseBody(
  arrival: ResponseTimeout,
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  arrival.recordProgress();
  return collectBody(body, maxBytes, arrival.recordProgress);
}

/**
 * Reads a body of up to `maxBytes`; rejects if it has more, or comes in too many pieces, which ends its connection.
 * `onChunk` is told after each piece what memory the body takes, in bytes.
 */
export async function collectBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
  onChunk: (capacity: number) => void = () => undefined,
): Promise<Buffer> {
  const buffer = createByteBuffer({ maxBytes, maxPieces: MAX_BODY_PIECES });
  for await (const chunk of body) {
    if (!buffer.append(chunk)) {
      throw new RangeError(`the body has more than ${maxBytes} bytes, or too many pieces`);
    }
    onChunk(buffer.capacity);
  }
  return buffer.getBytes();
}

/** Maximum size of a response that may be large: far more than a page or a change of the whole configuration. */
export const MAX_LARGE_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Timeouts for responses that may be large. The caller sets the maximum time until they begin. */
export const LARGE_RESPONSE_LIMITS = {
  /** Long enough for several retransmissions of a lost packet. */
  gap: 1000,
  whole: 8000,
} as const;
