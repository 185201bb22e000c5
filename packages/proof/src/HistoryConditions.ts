/** Tracks which faults of a schedule are active, and what they affect. */
import type { DomainId, EngineId, InstanceId } from '@skylarksail/core/CoreTypes';
import type { HistoryFault, HistoryFaultName } from './HistoryPlan.js';
import {
  getHistoryEngine,
  getHistoryMember,
  getInstanceDomain,
  HISTORY_DOMAINS,
  HISTORY_ENGINES,
  HistoryFaultKind,
} from './HistoryPlan.js';

/** The currently active faults. */
export interface HistoryConditions {
  begin(fault: HistoryFault): void;
  end(fault: HistoryFault): void;
  has(kind: HistoryFaultName): boolean;
  /** Whether a fault of this kind currently targets the engine. */
  affectsEngine(kind: HistoryFaultName, engine: EngineId): boolean;
  /** Whether a fault of this kind currently targets the instance. */
  affectsInstance(kind: HistoryFaultName, instance: InstanceId): boolean;
  /** Whether the network between the domain and all other domains is cut. */
  isDomainCut(domain: DomainId): boolean;
  /** Whether the network between two domains is cut. */
  arePartitioned(a: DomainId, b: DomainId): boolean;
}

/** Returns the domain of an engine or of a plain service's server. */
export function getServerDomain(server: EngineId): DomainId {
  const known = HISTORY_ENGINES.find(({ facts }) => facts.id === server);
  return known?.facts.domain ?? server.split('/')[1] ?? '';
}

/** Creates a tracker with no active faults. */
export function createHistoryConditions(): HistoryConditions {
  const active = new Set<HistoryFault>();

  function some(kind: HistoryFaultName, isMeant: (fault: HistoryFault) => boolean): boolean {
    return [...active].some((fault) => fault.kind === kind && isMeant(fault));
  }

  function isDomainCut(domain: DomainId): boolean {
    return some(HistoryFaultKind.DomainCut, (fault) => getCutDomain(fault) === domain);
  }

  return {
    begin: (fault) => {
      active.add(fault);
    },
    end: (fault) => {
      active.delete(fault);
    },
    has: (kind) => some(kind, () => true),
    affectsEngine: (kind, engine) =>
      some(kind, ({ target }) => getHistoryEngine(target).id === engine),
    affectsInstance: (kind, instance) =>
      some(kind, ({ target }) => getHistoryMember(target).id === instance),
    isDomainCut,
    arePartitioned: (a, b) => a !== b && (isDomainCut(a) || isDomainCut(b)),
  };
}

/** Returns the domain that a domain-cut fault isolates. */
export function getCutDomain({ target }: HistoryFault): DomainId {
  return HISTORY_DOMAINS[target % HISTORY_DOMAINS.length] ?? '';
}

/** Whether an instance cannot reach an engine or a service's server because of a domain cut. */
export function isServerCut(
  conditions: HistoryConditions,
  instance: InstanceId,
  server: EngineId,
): boolean {
  return conditions.arePartitioned(getInstanceDomain(instance), getServerDomain(server));
}
