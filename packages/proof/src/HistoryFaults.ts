/** Injects the faults of a schedule and ends them. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreFaults } from '@skylarksail/store/FakeStore';
import type { VirtualFault } from '@skylarksail/stand-ins/VirtualEngine';
import type { VirtualLinkFault } from '@skylarksail/stand-ins/VirtualLinks';
import { getCutDomain } from './HistoryConditions.js';
import type { HistoryFault, HistoryFaultName } from './HistoryPlan.js';
import {
  getHistoryEngine,
  getHistoryMember,
  HISTORY_DOMAINS,
  HISTORY_ENGINES,
  HISTORY_MEMBERS,
  HistoryFaultKind,
} from './HistoryPlan.js';
import type { HistoryProcess, HistoryWorld } from './HistoryWorld.js';

/** Client name of the operators' pipeline on the platform. */
export const HISTORY_PIPELINE = 'pipeline';

const SLOW_FACTOR = 12;
const SLOW_LINK_FACTOR = 300;
const LATE_WRITE_DELAY: Millis = 2000;
const FAULT_PROBABILITY = 0.4;
const BALANCER_LAG: Millis = 300;
const DRAIN_LIMIT: Millis = 15_000;
const REACHABILITY_DELAY: Millis = 800;
const RESTART_PERIOD: Millis = 1000;

const ENGINE_FAULTS: readonly (readonly [HistoryFaultName, VirtualFault])[] = [
  [HistoryFaultKind.EngineCrash, { kind: 'crashed' }],
  [HistoryFaultKind.EngineHang, { kind: 'hung' }],
  [HistoryFaultKind.EngineSlow, { kind: 'slow', factor: SLOW_FACTOR }],
];

/** Faults that delay the fan-out of the configuration, and how long after their end they still do. */
const CONFIG_FAULTS: ReadonlyMap<HistoryFaultName, Millis> = new Map([
  [HistoryFaultKind.StoreOutage, 0],
  [HistoryFaultKind.LostAnswers, 0],
  [HistoryFaultKind.LateWrites, LATE_WRITE_DELAY],
  [HistoryFaultKind.DomainCut, 0],
  [HistoryFaultKind.InstanceKill, 0],
  [HistoryFaultKind.PlannedStop, 0],
]);

/** Schedules the start and the end of each fault. */
export function scheduleFaults(world: HistoryWorld, faults: readonly HistoryFault[]): void {
  const { timers } = world;
  let failing = 0;
  function adjustFailingCount(by: number): void {
    failing += by;
    world.record({ kind: 'config-fault', at: timers.now(), isFailing: failing > 0 });
  }
  for (const fault of faults) {
    const recoveryDelay = CONFIG_FAULTS.get(fault.kind);
    timers.registerTimeout(fault.at, () => {
      if (recoveryDelay !== undefined) {
        adjustFailingCount(1);
      }
      world.conditions.begin(fault);
      beginFault(world, fault);
    });
    timers.registerTimeout(fault.at + fault.duration, () => {
      world.conditions.end(fault);
      endFault(world, fault);
      if (recoveryDelay !== undefined) {
        timers.registerTimeout(recoveryDelay, () => adjustFailingCount(-1));
      }
    });
  }
  timers.registerInterval(RESTART_PERIOD, () => restartEngines(world));
  world.engines.setLinkFault((from, to) => getLinkFault(world, from.id, to.id));
}

function beginFault(world: HistoryWorld, fault: HistoryFault): void {
  const { callers, engines, timers } = world;
  const { kind, target } = fault;
  const engine = getHistoryEngine(target).id;
  const member = getHistoryMember(target);
  switch (kind) {
    case HistoryFaultKind.EngineCrash:
      engines.setFault(engine, { kind: 'crashed' });
      break;
    case HistoryFaultKind.EngineLeaving:
      engines.setLeaving(engine);
      world.record({ kind: 'engine-leaving', at: timers.now(), engine });
      break;
    case HistoryFaultKind.InstanceKill:
      world.endProcess(member.id, 'instance-killed');
      break;
    case HistoryFaultKind.PlannedStop:
      stopProcess(world, member.id);
      break;
    case HistoryFaultKind.Poison:
      callers.sendPoison(target);
      break;
    case HistoryFaultKind.Resend:
      callers.resendOne(target);
      break;
    case HistoryFaultKind.HangUp:
      callers.hangUpOne(target);
      break;
    default:
      applyConditions(world, fault);
  }
}

function endFault(world: HistoryWorld, fault: HistoryFault): void {
  const { kind, target } = fault;
  if (kind === HistoryFaultKind.InstanceKill || kind === HistoryFaultKind.PlannedStop) {
    replaceProcess(world, target);
  } else {
    applyConditions(world, fault);
  }
}

/** Starts a replacement once the old process has ended. */
function replaceProcess(world: HistoryWorld, target: number): void {
  const member = getHistoryMember(target);
  if (world.processes.has(member.id)) {
    if (world.processes.get(member.id)?.isStopping) {
      world.timers.registerTimeout(BALANCER_LAG, () => replaceProcess(world, target));
    }
  } else {
    world.startProcess(member);
  }
}

/** Stops a process as on SIGTERM: it serves during the balancer lag, drains, then ends. */
function stopProcess(world: HistoryWorld, id: string): void {
  const { timers, processes } = world;
  const stopping = processes.get(id);
  if (!stopping || stopping.isStopping) {
    return;
  }
  const process: HistoryProcess = stopping;
  process.isStopping = true;
  timers.registerTimeout(BALANCER_LAG, () => {
    if (processes.get(id) === process) {
      process.isReady = false;
      world.record({ kind: 'instance-stopping', at: timers.now(), instance: id });
      void process.instance.drain(DRAIN_LIMIT).then(() => {
        if (processes.get(id) === process) {
          world.endProcess(id, 'instance-stopped');
        }
      });
    }
  });
}

/** Sets the faults of engines and of the platform to the combination of all active faults. */
function applyConditions(world: HistoryWorld, fault: HistoryFault): void {
  const { conditions, engines, manifests, platform, timers } = world;
  const engine = getHistoryEngine(fault.target).id;
  if (ENGINE_FAULTS.some(([kind]) => kind === fault.kind)) {
    const found = ENGINE_FAULTS.find(([kind]) => conditions.affectsEngine(kind, engine));
    engines.setFault(engine, found?.[1] ?? { kind: 'none' });
  }
  if (fault.kind === HistoryFaultKind.DomainCut) {
    const domain = getCutDomain(fault);
    manifests.setPartitioned(domain, conditions.isDomainCut(domain));
    timers.registerTimeout(REACHABILITY_DELAY, () => updateDomainReachability(world));
  }
  HISTORY_MEMBERS.forEach(({ id, domain }) =>
    platform.setFaults(getPlatformFaults(world, conditions.isDomainCut(domain)), id),
  );
  platform.setFaults(getPlatformFaults(world, false), HISTORY_PIPELINE);
}

function getPlatformFaults({ conditions }: HistoryWorld, isCut: boolean): Partial<StoreFaults> {
  return {
    outage: isCut || conditions.has(HistoryFaultKind.StoreOutage),
    lostAnswers: conditions.has(HistoryFaultKind.LostAnswers) ? FAULT_PROBABILITY : 0,
    lateEffects: conditions.has(HistoryFaultKind.LateWrites) ? FAULT_PROBABILITY : 0,
    lateDelay: LATE_WRITE_DELAY,
  };
}

/** Reports to each instance which domains are reachable, as membership does. */
function updateDomainReachability({ processes, conditions }: HistoryWorld): void {
  processes.forEach(({ instance }) =>
    HISTORY_DOMAINS.filter((domain) => domain !== instance.self.domain).forEach((domain) =>
      instance.setDomainReach(domain, !conditions.arePartitioned(domain, instance.self.domain)),
    ),
  );
}

function getLinkFault(
  { conditions }: HistoryWorld,
  from: string,
  to: string,
): VirtualLinkFault | null {
  const affectsLink = (kind: HistoryFaultName): boolean =>
    conditions.affectsEngine(kind, from) || conditions.affectsEngine(kind, to);
  const [a = '', b = ''] = [from, to].map((id) => id.split('-')[0]);
  if (affectsLink(HistoryFaultKind.LinkCut) || conditions.arePartitioned(a, b)) {
    return { cut: true };
  }
  return affectsLink(HistoryFaultKind.LinkSlow) ? { factor: SLOW_LINK_FACTOR } : null;
}

/** Restarts engines that a poison request crashed, as their supervisor does. */
function restartEngines({ engines, conditions }: HistoryWorld): void {
  HISTORY_ENGINES.map(({ facts }) => facts.id)
    .filter(
      (id) =>
        engines.readLoad(id) === null &&
        !conditions.affectsEngine(HistoryFaultKind.EngineCrash, id) &&
        !conditions.affectsEngine(HistoryFaultKind.EngineHang, id),
    )
    .forEach((id) => engines.setFault(id, { kind: 'none' }));
}
