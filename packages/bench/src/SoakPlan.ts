/** What a soak does: the stack, its callers, and faults in series and overlapping, all drawn from one seed. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StackSize } from './StackPlan.js';
import { DEFAULT_STACK_SIZE } from './StackPlan.js';

/** Kinds of faults; those of daemons are signals. */
export const SoakFaultKind = {
  EngineCrash: 'engine-crash',
  EngineHang: 'engine-hang',
  EngineSlow: 'engine-slow',
  ServiceLost: 'service-lost',
  PlatformOutage: 'platform-outage',
  PlatformSlow: 'platform-slow',
  PlatformLost: 'platform-lost',
  DaemonPause: 'daemon-pause',
  DaemonStop: 'daemon-stop',
  DaemonKill: 'daemon-kill',
  Change: 'change',
} as const;

export type SoakFaultKindName = (typeof SoakFaultKind)[keyof typeof SoakFaultKind];

/** One fault; `target` is drawn, and taken modulo what there is. */
export interface SoakFault {
  readonly kind: SoakFaultKindName;
  /** Since the start of the callers. */
  readonly at: Millis;
  /** How long it lasts; a daemon that was stopped or killed starts again after it. */
  readonly time: Millis;
  readonly target: number;
}

/** What can be chosen of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Time for which callers send. */
  readonly time: Millis;
  readonly daemonsPerDomain: number;
}

export interface SoakPlan {
  readonly size: StackSize;
  readonly callers: number;
  readonly faults: readonly SoakFault[];
}

const KINDS = Object.values(SoakFaultKind);
/** No fault begins before callers have connections, nor so late that nobody meets it. */
const FIRST_FAULT: Millis = 1000;
const QUIET_END: Millis = 3000;
const LEAST_TIME: Millis = 200;
const MOST_TIME: Millis = 2500;
const MEAN_GAP: Millis = 1500;
/** More than there are of anything. */
const TARGETS = 65_536;
/** Share of faults that come together with the one before. */
const TOGETHER = 0.4;
const CALLERS_PER_DAEMON = 4;

/** Draws a soak. */
export function planSoak({ seed, time, daemonsPerDomain }: SoakOptions): SoakPlan {
  const random = createRandom(seed);
  const domains = 2 + random.nextInt(2);
  return {
    size: { ...DEFAULT_STACK_SIZE, seed, domains, daemonsPerDomain },
    callers: CALLERS_PER_DAEMON * domains * daemonsPerDomain,
    faults: drawFaults(random, time),
  };
}

function drawFaults(random: Random, time: Millis): readonly SoakFault[] {
  const faults: SoakFault[] = [];
  let at = FIRST_FAULT;
  while (at < time - QUIET_END) {
    faults.push({
      kind: KINDS[random.nextInt(KINDS.length)] ?? SoakFaultKind.Change,
      at: Math.round(at),
      time: Math.round(LEAST_TIME + random.nextFloat() * (MOST_TIME - LEAST_TIME)),
      target: random.nextInt(TARGETS),
    });
    at += random.nextFloat() < TOGETHER ? random.nextFloat() * LEAST_TIME : drawGap(random);
  }
  return faults;
}

function drawGap(random: Random): Millis {
  return -MEAN_GAP * Math.log(1 - random.nextFloat());
}
