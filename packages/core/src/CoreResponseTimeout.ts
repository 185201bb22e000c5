/**
 * How long an answer may take to arrive. A limit on the whole of it gives up a large answer that is on its way, and the
 * next try begins it anew: on a link that is too slow for the limit nobody ever gets it, and the tries take the link
 * from everything else. So only silence counts, with a bound on the whole for a sender that goes on without end.
 */
import type { TimerService } from './CoreTimers.js';
import type { Millis, Unregister } from './CoreTypes.js';

export interface ResponseTimeoutLimits {
  /** Longest time until the answer begins. */
  readonly begin: Millis;
  /** Longest time without a byte after that. */
  readonly gap: Millis;
  /** Longest time from the answer's beginning to its end. */
  readonly whole: Millis;
}

/** Watches one answer arrive. */
export interface ResponseTimeout {
  /** Aborted once a limit is passed. */
  readonly signal: AbortSignal;
  /** Something of the answer has come. */
  recordProgress(): void;
  /** Time since the answer began. */
  getElapsed(): Millis;
  /** The answer is there, or has failed: no limit holds any longer. */
  end(): void;
}

/**
 * A process that was held up runs its timers before it reads what has come meanwhile: a limit that has passed is looked at
 * once more after that.
 */
const READING_TIME: Millis = 20;

/** Starts to wait for an answer. */
export function startResponseTimeout(
  timers: TimerService,
  limits: ResponseTimeoutLimits,
): ResponseTimeout {
  const controller = new AbortController();
  let undoSilence: Unregister = () => undefined;
  let undoWhole: Unregister | null = null;
  let begunAt: Millis | null = null;
  const abort = (): void => controller.abort(new Error('no answer in time'));
  const giveUp = (): void => {
    undoSilence = timers.registerTimeout(READING_TIME, abort);
  };
  undoSilence = timers.registerTimeout(limits.begin, giveUp);

  return {
    signal: controller.signal,
    recordProgress() {
      begunAt ??= timers.now();
      undoSilence();
      undoSilence = timers.registerTimeout(limits.gap, giveUp);
      undoWhole ??= timers.registerTimeout(limits.whole, abort);
    },
    getElapsed: () => (begunAt === null ? 0 : timers.now() - begunAt),
    end() {
      undoSilence();
      undoWhole?.();
    },
  };
}

/** Collects an answer whose head has come; rejects if its sender breaks off or a limit is passed. */
export async function collectResponseBody(
  arrival: ResponseTimeout,
  body: AsyncIterable<Uint8Array>,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  arrival.recordProgress();
  for await (const chunk of body) {
    arrival.recordProgress();
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Limits of answers that may be large. The time in which they are to begin is the caller's. */
export const LARGE_RESPONSE_LIMITS = {
  /** A packet that is lost is sent again several times within it. */
  gap: 1000,
  whole: 8000,
} as const;
