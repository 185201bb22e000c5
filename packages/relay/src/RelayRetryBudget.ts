/** Limits the retries of this instance to its share of the fleet's slack plus the retries granted by others. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { AskGrant } from './RelayGrants.js';
import { createRelayGrants } from './RelayGrants.js';
import { createRetryShare } from './RelayRetryShare.js';
import type { RelayBounds } from './RelayTuning.js';
import { POOL_SHARE, RETRY_SAFETY_FACTOR } from './RelayTuning.js';
import type { InstanceEntry } from './RelayTypes.js';

export interface RelayRetryBudgetOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  readonly bounds: RelayBounds;
  /** All failure domains of the deployment. */
  readonly domains: readonly DomainId[];
  readonly listInstances: () => readonly InstanceEntry[];
  /** Whether the list of instances is current. */
  readonly isCurrent: () => boolean;
  readonly askGrant: AskGrant;
}

export interface RelayRetryBudget {
  /** Retries allowed at a service in a window, in addition to the share of this instance's own requests. */
  getBurst(service: string): number;
  /** Requests retries at a service from granters; `done` receives whether any were granted. */
  request(service: string, done: (isGranted: boolean) => void): void;
  /** Grants retries to another instance and returns their number, which may be 0. */
  grant(service: string, wanted: number): number;
  start(): Unregister;
}

/** How often the instances that share the slack are counted. */
const OBSERVE_PERIOD: Millis = 2000;

export function createRelayRetryBudget(options: RelayRetryBudgetOptions): RelayRetryBudget {
  const { timers, self, bounds, domains, listInstances } = options;
  const slack = bounds.retrySlack * RETRY_SAFETY_FACTOR;
  const window = bounds.retryWindow;
  const share = createRetryShare({
    timers,
    self,
    slack: slack * (1 - POOL_SHARE),
    window,
    domains,
    listInstances,
  });
  const grants = createRelayGrants({
    timers,
    self,
    window,
    poolSize: (slack * POOL_SHARE) / Math.max(1, domains.length),
    listInstances,
    isCurrent: options.isCurrent,
    askGrant: options.askGrant,
  });

  return {
    getBurst: (service) => share.getBurst() + grants.count(service),
    request: grants.request,
    grant: grants.grant,
    start: () =>
      timers.registerInterval(OBSERVE_PERIOD, () => {
        share.observe();
        grants.observe();
      }),
  };
}
