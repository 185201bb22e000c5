/** Faults of the stand-in range store: what happens to one call, drawn from a seed and from the faults in force. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** What becomes of a call whose effect or answer is lost. */
export const LossForm = { Reset: 'reset', Silence: 'silence' } as const;
export type LossFormName = (typeof LossForm)[keyof typeof LossForm];

/** Strength of the faults at one time; shares are probabilities for each call. */
export interface StoreFaultLevel {
  /** Share of the calls that are slow. */
  readonly slowShare: number;
  /** Longest delay of a slow call, before and after its effect. */
  readonly maxDelay: Millis;
  readonly lostAnswerShare: number;
  readonly lostCallShare: number;
  readonly isDown: boolean;
}

/** What happens to one call. */
export interface CallFate {
  readonly delayBefore: Millis;
  readonly delayAfter: Millis;
  /** Null if the call reaches the store. */
  readonly lostCall: LossFormName | null;
  /** Null if the answer is sent. */
  readonly lostAnswer: LossFormName | null;
  /** Whether the store answers that it is unavailable, without an effect. */
  readonly isRefused: boolean;
}

export const NO_FAULTS: StoreFaultLevel = {
  slowShare: 0,
  maxDelay: 0,
  lostAnswerShare: 0,
  lostCallShare: 0,
  isDown: false,
};

/** Share of the calls that a store that is down refuses; it loses the others. */
const REFUSED_SHARE = 0.3;

/** Draws the fate of a call. It takes the same number of random numbers for each call, whatever the level. */
export function drawCallFate(random: Random, level: StoreFaultLevel): CallFate {
  const isSlow = random.nextFloat() < level.slowShare;
  const delayBefore = random.nextFloat() * level.maxDelay;
  const delayAfter = random.nextFloat() * level.maxDelay;
  const loss = random.nextFloat();
  const form = random.nextFloat() < 0.5 ? LossForm.Reset : LossForm.Silence;
  const isRefused = level.isDown && loss < REFUSED_SHARE;
  const isCallLost = level.isDown ? !isRefused : loss < level.lostCallShare;
  const isAnswerLost = !isCallLost && loss < level.lostCallShare + level.lostAnswerShare;
  return {
    delayBefore: isSlow ? delayBefore : 0,
    delayAfter: isSlow ? delayAfter : 0,
    lostCall: isCallLost ? form : null,
    lostAnswer: isAnswerLost ? form : null,
    isRefused,
  };
}
