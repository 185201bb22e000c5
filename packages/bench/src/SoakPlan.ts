/** Plan of a soak: the stack's size, its callers, and sequential and overlapping faults, from one seed. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StackSize } from './StackPlan.js';
import { DEFAULT_STACK_SIZE } from './StackPlan.js';

/** Kinds of faults; daemon faults are signals, and `Change` submits a manifest. */
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

/** Kinds of faults that lose calls for leases, also the platform's answers to them. */
export const LeaseFaultKind = {
  LeaseCut: 'lease-cut',
  LeaseSilence: 'lease-silence',
  LeaseRefuse: 'lease-refuse',
  LeaseDropAnswer: 'lease-drop-answer',
} as const;

export type SoakFaultKindName =
  | (typeof SoakFaultKind)[keyof typeof SoakFaultKind]
  | (typeof LeaseFaultKind)[keyof typeof LeaseFaultKind];

/** One fault; `target` is a random number, taken modulo the number of possible targets. */
export interface SoakFault {
  readonly kind: SoakFaultKindName;
  /** Start of the fault, since the start of the callers. */
  readonly at: Millis;
  /** Duration of the fault; a daemon that was stopped or killed starts again after it. */
  readonly time: Millis;
  readonly target: number;
}

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Time during which callers send requests. */
  readonly time: Millis;
  readonly daemonsPerDomain: number;
  /** Whether daemons are only stopped and restarted, while calls for leases are lost. */
  readonly losesLeaseCalls?: boolean;
}

export interface SoakPlan {
  readonly size: StackSize;
  readonly callers: number;
  readonly faults: readonly SoakFault[];
}

const KINDS = Object.values(SoakFaultKind);
/** Faults start after callers have connected, and early enough before the end that requests run during each. */
const FIRST_FAULT: Millis = 1000;
const FAULT_FREE_END: Millis = 3000;
const MIN_FAULT_TIME: Millis = 200;
const MAX_FAULT_TIME: Millis = 2500;
const MEAN_GAP: Millis = 1500;
/** Larger than the number of targets of any kind. */
const TARGET_RANGE = 65_536;
/** Probability that the next fault starts within `MIN_FAULT_TIME` of the one before, and so overlaps it. */
const OVERLAP_SHARE = 0.4;
const CALLERS_PER_DAEMON = 4;
const LEASE_FAULT_KINDS = [...Object.values(LeaseFaultKind), SoakFaultKind.PlatformOutage] as const;
/** A daemon has stopped serving and gives its lease back within about this time. */
const MAX_LEASE_FAULT_DELAY: Millis = 1500;
const MAX_LEASE_FAULT_TIME: Millis = 4000;
const MAX_STOPS = 2;

/** Draws the plan of a soak from its seed. */
export function planSoak(options: SoakOptions): SoakPlan {
  const { seed, time, daemonsPerDomain, losesLeaseCalls = false } = options;
  const random = createRandom(seed);
  const domains = 2 + random.nextInt(2);
  return {
    size: { ...DEFAULT_STACK_SIZE, seed, domains, daemonsPerDomain },
    callers: CALLERS_PER_DAEMON * domains * daemonsPerDomain,
    faults: losesLeaseCalls ? drawLeaseFaults(random, time) : drawFaults(random, time),
  };
}

function drawFaults(random: Random, time: Millis): readonly SoakFault[] {
  const faults: SoakFault[] = [];
  let at = FIRST_FAULT;
  while (at < time - FAULT_FREE_END) {
    const kind = KINDS[random.nextInt(KINDS.length)] ?? SoakFaultKind.Change;
    faults.push(drawFault(random, kind, at, MAX_FAULT_TIME));
    at +=
      random.nextFloat() < OVERLAP_SHARE ? random.nextFloat() * MIN_FAULT_TIME : drawGap(random);
  }
  return faults;
}

/** Draws groups of stops, each with a fault that comes about when the stopped daemons give their leases back. */
function drawLeaseFaults(random: Random, time: Millis): readonly SoakFault[] {
  const faults: SoakFault[] = [];
  for (let at = FIRST_FAULT; at < time - FAULT_FREE_END; at += drawGap(random)) {
    const stops = 1 + random.nextInt(MAX_STOPS);
    for (let i = 0; i < stops; i += 1) {
      faults.push(drawFault(random, SoakFaultKind.DaemonStop, at, MAX_FAULT_TIME));
    }
    const kind = LEASE_FAULT_KINDS[random.nextInt(LEASE_FAULT_KINDS.length)];
    const delay = random.nextFloat() * MAX_LEASE_FAULT_DELAY;
    faults.push(
      drawFault(random, kind ?? LeaseFaultKind.LeaseCut, at + delay, MAX_LEASE_FAULT_TIME),
    );
  }
  return faults;
}

function drawFault(
  random: Random,
  kind: SoakFaultKindName,
  at: Millis,
  maxTime: Millis,
): SoakFault {
  return {
    kind,
    at: Math.round(at),
    time: Math.round(MIN_FAULT_TIME + random.nextFloat() * (maxTime - MIN_FAULT_TIME)),
    target: random.nextInt(TARGET_RANGE),
  };
}

function drawGap(random: Random): Millis {
  return -MEAN_GAP * Math.log(1 - random.nextFloat());
}
