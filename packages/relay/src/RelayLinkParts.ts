/** Creates and connects the components that apply the request limits and backoffs that backend servers ask for. */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { RelayBackoffs } from './RelayBackoffs.js';
import { createRelayBackoffs } from './RelayBackoffs.js';
import type { Catalogue } from './RelayCatalogue.js';
import { createGuardedPorts } from './RelayGuardedPorts.js';
import { createLimitIssuer } from './RelayLimitIssuer.js';
import type { RelayLimits } from './RelayLimits.js';
import { createRelayLimits } from './RelayLimits.js';
import type { RelayPartsOptions } from './RelayPartsTypes.js';
import type { PermitChoices } from './RelayPermits.js';
import { createPermitChoices } from './RelayPermits.js';
import type { BackendPorts } from './RelayPorts.js';
import type { InstanceEntry } from './RelayTypes.js';
import { createBackendView } from './RelayView.js';

export interface LinkPartsOptions extends Pick<
  RelayPartsOptions,
  'timers' | 'random' | 'self' | 'askForPermits' | 'createBackends' | 'logger' | 'metrics'
> {
  readonly catalogue: Catalogue;
  readonly listInstances: () => readonly InstanceEntry[];
  readonly countOwnInstances: () => number;
  readonly getTable: () => RouteTable | null;
  /** Whether a server receives requests itself, rather than from the engine before it in a chain. */
  readonly isFirst: (server: EngineId) => boolean;
  /** Called when a server's answer says that it is leaving. */
  readonly noteSaidLeaving: (server: EngineId) => void;
}

/** Request limits and backoffs, with the ports that read them from answers. */
export interface LinkParts {
  readonly limits: RelayLimits;
  readonly backoffs: RelayBackoffs;
  readonly permits: PermitChoices;
  /** Ports of this instance's own links. */
  readonly linkPorts: BackendPorts;
}

/** Creates the request limits, backoffs and ports of this instance's own links. */
export function createLinkParts(options: LinkPartsOptions): LinkParts {
  const { timers, random, self, catalogue, logger, metrics, listInstances } = options;
  const limits = createRelayLimits({
    timers,
    self,
    issuer: createLimitIssuer({
      timers,
      self,
      listInstances,
      getDomain: (server) => catalogue.get(server)?.domain ?? null,
    }),
    askForPermits: options.askForPermits,
    countInstances: options.countOwnInstances,
    isKnown: (server) => catalogue.get(server) !== null,
    logger,
    onLimitedRequest: () =>
      metrics.count('requests_to_limited_servers', 'requests to servers that have named a limit'),
  });
  const backoffs = createRelayBackoffs({
    timers,
    random,
    logger,
    onRequested: () =>
      metrics.count('backoffs_requested', 'answers by which servers asked for a backoff'),
  });
  const view = createBackendView(catalogue, options.getTable, () => listInstances().length, {
    noteRequestLimit: limits.noteLimit,
    noteSaidLeaving: options.noteSaidLeaving,
    noteBackoffRequested: backoffs.noteRequested,
    noteForeignAnswer(server) {
      metrics.count('answers_foreign', 'answers that came where another one was expected');
      logger.warn({ server }, 'answer to another request');
    },
    isBackedOff: backoffs.isBackedOff,
  });
  return {
    limits,
    backoffs,
    permits: createPermitChoices({ limits, backoffs, isFirst: options.isFirst }),
    linkPorts: createGuardedPorts(options.createBackends(view), (server, err) => {
      metrics.count('adapter_errors', 'questions and orders that ended with an error of our own');
      logger.error({ server, err }, 'server could not be asked');
    }),
  };
}
