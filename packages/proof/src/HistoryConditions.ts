/** Which faults of a schedule are active now, and what they cut. */
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

/** The faults of the moment. */
export interface HistoryConditions {
  begin(fault: HistoryFault): void;
  end(fault: HistoryFault): void;
  has(kind: HistoryFaultName): boolean;
  /** Whether such a fault strikes an engine, or an instance, now. */
  affectsEngine(kind: HistoryFaultName, engine: EngineId): boolean;
  affectsInstance(kind: HistoryFaultName, instance: InstanceId): boolean;
  isDomainCut(domain: DomainId): boolean;
  /** Whether nothing passes between two domains. */
  arePartitioned(a: DomainId, b: DomainId): boolean;
}

/** The domain of an engine or of a plain service's server. */
export function getServerDomain(server: EngineId): DomainId {
  const known = HISTORY_ENGINES.find(({ facts }) => facts.id === server);
  return known?.facts.domain ?? server.split('/')[1] ?? '';
}

/** Creates a time without faults. */
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

/** The domain that a cut separates. */
export function getCutDomain({ target }: HistoryFault): DomainId {
  return HISTORY_DOMAINS[target % HISTORY_DOMAINS.length] ?? '';
}

/** Whether a cut lies between an instance and an engine or server. */
export function isServerCut(
  conditions: HistoryConditions,
  instance: InstanceId,
  server: EngineId,
): boolean {
  return conditions.arePartitioned(getInstanceDomain(instance), getServerDomain(server));
}
