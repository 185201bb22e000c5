/** Placement in this instance's domain, and the model versions that new requests may use there. */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type {
  DomainId,
  EngineId,
  InstanceId,
  Millis,
  ModelId,
  VersionId,
} from '@skylarksail/core/CoreTypes';
import type { PlacementStatus } from '@skylarksail/placement/PlacementRunner';
import { startPlacementRunner } from '@skylarksail/placement/PlacementRunner';
import type { ServableVersion } from '@skylarksail/placement/PlacementVersions';
import {
  chooseServableVersion,
  getServableVersions,
} from '@skylarksail/placement/PlacementVersions';
import { StoreUse } from '@skylarksail/store/StoreBudget';
import type { StoreClient } from '@skylarksail/store/StoreClient';
import type { DaemonLogger } from './DaemonLog.js';
import type { DaemonDrains } from './DaemonDrains.js';
import type { EngineDirectory } from './DaemonEngines.js';
import type { DaemonFleet } from './DaemonFleet.js';
import type { DaemonManifest } from './DaemonManifest.js';
import type { Settings } from './DaemonSettings.js';
import type { createOrderHttp } from './DaemonOrderHttp.js';

/** Duty of running the placement of the own domain. */
export const PLACEMENT_DUTY = 'placement';

const VERSIONS_PERIOD: Millis = 500;

export interface DaemonPlacement {
  getStatus(): PlacementStatus;
  /** Versions that a new request for a model may run, the preferred one first; empty if the model is unknown. */
  listVersions(model: ModelId): readonly VersionId[];
  /**
   * Whether no engine of this domain will be given a version again: the manifest names another one, and that alone
   * serves new requests.
   */
  isReplaced(variant: ModelVariant): boolean;
  /**
   * Whether new requests have a chain of any version without an engine and the closed ones, as far as this instance
   * knows, or have none with it either. Always true for an engine of another domain.
   */
  isDispensable(engine: EngineId, closed: readonly EngineId[]): boolean;
  stop(): Promise<void>;
}

export interface DaemonPlacementOptions {
  readonly domain: DomainId;
  readonly instance: InstanceId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly platform: StoreClient;
  readonly fleet: DaemonFleet;
  readonly manifest: DaemonManifest;
  readonly directory: EngineDirectory;
  readonly sendOrder: ReturnType<typeof createOrderHttp>['send'];
  readonly drains: DaemonDrains;
  readonly logger: DaemonLogger;
  readonly weightStore: Settings['weightStore'];
}

export function startDaemonPlacement(options: DaemonPlacementOptions): DaemonPlacement {
  const { domain, timers, random, manifest, directory, fleet, logger } = options;
  let versions: ReadonlyMap<ModelId, readonly ServableVersion[]> = new Map();

  const listOwnReports = (): ReturnType<EngineDirectory['listReports']> =>
    directory.listReports().filter(({ facts }) => facts.domain === domain);

  function refreshVersions(): void {
    const view = manifest.getView();
    const reports = listOwnReports();
    const serves = view?.getDomain(domain)?.serves ?? [];
    versions = new Map(
      (view?.models ?? []).map((model) => {
        const minRate = serves.find((served) => served.model === model.id)?.minTokensPerSecond ?? 0;
        return [model.id, getServableVersions(model, minRate, reports)];
      }),
    );
  }

  /**
   * The servable version, drawn by share, comes first. The others follow, as the servable ones were determined up to a
   * period ago: reports since then may have taken the last chain of a version away.
   */
  function listVersions(id: ModelId): readonly VersionId[] {
    const model = manifest.getView()?.getModel(id);
    if (!model) {
      return [];
    }
    const servable = versions.get(id) ?? [];
    const chosen = chooseServableVersion(servable, random.nextFloat()) ?? model.serve;
    const others = [...servable.map(({ version }) => version), ...model.versions.map((v) => v.id)];
    return [...new Set([chosen, model.serve, ...others])];
  }

  function isReplaced({ model, version }: ModelVariant): boolean {
    const serve = manifest.getView()?.getModel(model)?.serve;
    const [first, ...others] = versions.get(model) ?? [];
    return serve !== version && first?.version === serve && others.length === 0;
  }

  function isDispensable(engine: EngineId, closed: readonly EngineId[]): boolean {
    const usable = listOwnReports().filter(({ facts }) => !closed.includes(facts.id));
    const holding = usable.find(({ facts }) => facts.id === engine)?.load.holding;
    const model = manifest.getView()?.getModel(holding?.model ?? '');
    if (!model) {
      return true;
    }
    const hasChain = (reports: ReturnType<typeof listOwnReports>): boolean =>
      getServableVersions(model, 0, reports).length > 0;
    return hasChain(usable.filter(({ facts }) => facts.id !== engine)) || !hasChain(usable);
  }

  const runner = startPlacementRunner({
    domain,
    timers,
    random,
    platform: options.platform.forUse(StoreUse.Leases),
    instance: options.instance,
    isOwnDuty: () => fleet.duties.isOwn(PLACEMENT_DUTY),
    getManifest: manifest.getView,
    listReports: listOwnReports,
    sendOrder: options.sendOrder,
    prepareOrder: options.drains.prepareOrder,
    weights: {
      bytesPerSecond: options.weightStore.bytesPerSecond,
      burst: options.weightStore.burstMs,
    },
    onDecision: (decision) => logger.info({ placement: decision }, 'placement decision'),
  });
  const undo = [
    timers.registerInterval(VERSIONS_PERIOD, refreshVersions),
    manifest.registerListener(refreshVersions),
  ];

  return {
    getStatus: runner.getStatus,
    listVersions,
    isReplaced,
    isDispensable,
    stop() {
      undo.forEach((stop) => stop());
      return runner.stop();
    },
  };
}
