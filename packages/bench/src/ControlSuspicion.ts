/**
 * Measures how often live instances are wrongly suspected or declared dead, at several domain sizes, under
 * message loss, pauses of single instances, and both.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { MemberChangeKind } from '@skylarksail/membership/MembershipEffects';
import type { MembershipChange } from '@skylarksail/membership/MembershipService';
import { createVirtualFleet } from '@skylarksail/membership/VirtualFleet';

export interface ControlSuspicionOptions {
  readonly seed: number;
  readonly sizes?: readonly number[];
  /** Virtual time that each run measures. */
  readonly duration?: Millis;
}

export interface ControlSuspicionLine {
  readonly bench: 'control-suspicion';
  readonly members: number;
  readonly loss: number;
  readonly pause_ms: number;
  readonly pauses: number;
  readonly member_hours: number;
  /**
   * Pairs of live member and incarnation that any instance suspected. A member raises its incarnation to
   * refute a suspicion.
   */
  readonly suspicions: number;
  /** Pairs of live member and incarnation that any instance declared dead. */
  readonly false_deaths: number;
}

interface FaultCase {
  readonly loss: number;
  readonly pause: Millis;
}

const SIZES = [7, 28, 85];
const FAULT_CASES: readonly FaultCase[] = [
  { loss: 0, pause: 0 },
  { loss: 0.2, pause: 0 },
  { loss: 0, pause: 2000 },
  { loss: 0.2, pause: 2000 },
  { loss: 0, pause: 3000 },
];
const DURATION: Millis = 120_000;
const START_TIME: Millis = 1500;
const SETTLE_TIME: Millis = 12_000;
const PAUSE_PERIOD: Millis = 6000;
const MILLIS_PER_HOUR = 3600 * MILLIS_PER_SECOND;

/** Runs each size with each combination of faults. */
export function runControlSuspicionBench(
  options: ControlSuspicionOptions,
): readonly ControlSuspicionLine[] {
  return (options.sizes ?? SIZES).flatMap((members) =>
    FAULT_CASES.map((faultCase) => measureFaultCase(members, faultCase, options)),
  );
}

function measureFaultCase(
  members: number,
  { loss, pause }: FaultCase,
  options: ControlSuspicionOptions,
): ControlSuspicionLine {
  const duration = options.duration ?? DURATION;
  const random = createRandom(options.seed);
  const suspicions = new Set<string>();
  const deaths = new Set<string>();
  let isCounting = false;
  function onChange(_observer: string, event: MembershipChange): void {
    if (!isCounting || event.kind !== 'member') {
      return;
    }
    const { kind, id, record } = event.change;
    if (kind === MemberChangeKind.Suspected) {
      suspicions.add(`${id}/${record.incarnation}`);
    } else if (kind === MemberChangeKind.Dead) {
      deaths.add(`${id}/${record.incarnation}`);
    }
  }
  const fleet = createVirtualFleet({ seed: options.seed, domainSizes: [members], onChange });
  fleet.advance(START_TIME);
  fleet.convergeViews();
  fleet.advance(SETTLE_TIME);
  isCounting = true;
  fleet.setLoss(loss);
  let pauses = 0;
  for (let passed = 0; passed < duration; passed += PAUSE_PERIOD) {
    if (pause > 0) {
      const instances = fleet.getInstances();
      const paused = instances[random.nextInt(instances.length)];
      fleet.pause(paused?.listed.id ?? '', pause);
      pauses += 1;
    }
    fleet.advance(PAUSE_PERIOD);
  }
  return {
    bench: 'control-suspicion',
    members,
    loss,
    pause_ms: pause,
    pauses,
    member_hours: Number(((members * duration) / MILLIS_PER_HOUR).toFixed(2)),
    suspicions: suspicions.size,
    false_deaths: deaths.size,
  };
}
