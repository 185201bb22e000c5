/**
 * Owns all running requests of an instance. The daemon translates external calls into `submit` and
 * `submitService`, receives the answers through sinks, and supplies the ports; nothing else is shared.
 */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import { createActiveInterval } from '@skylarksail/core/CoreActivity';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { startModelRun } from './ModelRunner.js';
import { createAdmission } from './RequestAdmission.js';
import { LATE_TICK_TOLERANCE } from './RequestAttempt.js';
import type { CrashReport, PoisonDigest } from './RequestPoison.js';
import {
  createCrashId,
  createPoisonDigest,
  findCurrentEnd,
  getLongReportId,
  noteAlive,
} from './RequestPoison.js';
import { getPartName } from './RequestSuspects.js';
import { createProgressTracker } from './RequestProgress.js';
import { createRecoveryQueue } from './RequestRecovery.js';
import type { RequestHandle, RequestSink, RequestSpec } from './RequestTypes.js';
import { createWorkQueue } from './RouterWorkQueue.js';
import { createRouterBudgets } from './RouterBudgets.js';
import type { ReportBatch } from './RouterCrashes.js';
import { createRouterCrashes } from './RouterCrashes.js';
import { createRouterMeters } from './RouterMeters.js';
import { createRouterPriorities } from './RouterPriorities.js';
import type { RouterShared } from './RouterShared.js';
import { createStarvedVersions } from './RouterShared.js';
import { createRouterServices } from './RouterServices.js';
import type { TrialTally } from './RunTrials.js';
import { tallySuspect } from './RunTrials.js';
import type { RouterCounts, RouterDeps } from './RouterTypes.js';
import { stopCondemned, stopCondemnedWaiting } from './RunSuspicion.js';
import type { ServiceRun } from './ServiceRunner.js';
import { startServiceRun } from './ServiceRunner.js';
import type { ServiceSink, ServiceSpec } from './ServiceTypes.js';

/** Interface of the router for the daemon. */
export interface RequestRouter {
  /** Runs a model request. The id must not be in use. */
  submit(spec: RequestSpec, sink: RequestSink): RequestHandle;
  /** Runs a call to a plain service. The id must not be in use. */
  submitService(spec: ServiceSpec, sink: ServiceSink): RequestHandle;
  /**
   * Refuses new requests from now on and resolves once all accepted requests have ended. A request that
   * still runs after `limit` ends with an error that states whether it has run.
   */
  drain(limit: Millis): Promise<void>;
  /** Digest of the requests that may crash engines, for the other instances. */
  getPoisonDigest(): PoisonDigest;
  /** Merges another instance's digest; returns whether it held new entries, which should be forwarded. */
  mergePoison(digest: PoisonDigest): boolean;
  /** Lists the crash reports that this instance's observations changed after a position. */
  listObservedCrashes(after: number): ReportBatch;
  /** Lists the crash reports that changed after a position, with the suspects of several crashes only. */
  listRepeatedCrashes(after: number): ReportBatch;
  /** How the crashes known of a request, or of a part of a prompt, count. */
  tallyCrashes(suspect: string): TrialTally;
  /** Calls `listener` after each change of the crash reports. */
  registerCrashListener(listener: () => void): Unregister;
  /** Records that an engine is alive with this boot id, so it has not crashed since that boot. */
  noteEngineAlive(engine: string, bootId: string): void;
  /** Records that another instance has lost an engine, which is avoided for a short time if there are others. */
  noteEngineLost(engine: EngineId): void;
  /** Records that an engine is reached over another path: only this instance's own link to it had failed. */
  noteEngineReached(engine: EngineId): void;
  /** Number of answers that have begun on a version and have no chain at the moment. */
  countInterrupted(variant: Pick<ModelVariant, 'model' | 'version'>): number;
  getCounts(): RouterCounts;
  /** Stops the router's own timers. */
  stop(): void;
}

const SWEEP_PERIOD: Millis = 100;
const MIN_RECOVERIES = 4;
const STALLED_SHARE_MAX_AGE: Millis = 10;

export function createRequestRouter(deps: RouterDeps): RequestRouter {
  const { cfg, timers } = deps;
  const admissionCfg = {
    limits: cfg.limits,
    queueBound: cfg.queueBound,
    getTeamLimits: deps.getTeamLimits,
  };
  const services = createRouterServices(() =>
    createAdmission({ ...admissionCfg, getKvCapacity: () => null }, timers.now()),
  );
  const serviceRuns = new Map<string, ServiceRun>();
  const drainWaiters: (() => void)[] = [];
  const crashListeners = new Set<() => void>();
  const crashes = createRouterCrashes(cfg.poisonCrashes, () => {
    [...crashListeners].forEach((listener) => listener());
  });
  const budgets = createRouterBudgets(deps);
  let isDraining = false;
  let stalledShare = 0;
  let stalledShareAt = -Infinity;
  let sweptAt = timers.now();

  const shared: RouterShared = {
    deps,
    admission: createAdmission(
      { ...admissionCfg, getKvCapacity: deps.getKvCapacity },
      timers.now(),
    ),
    recovery: createRecoveryQueue(),
    progress: createProgressTracker(),
    meters: createRouterMeters(cfg.silence, cfg.lengthShare),
    priorities: createRouterPriorities(),
    starved: createStarvedVersions(),
    runs: new Map(),
    guarded: new Set(),
    post: createWorkQueue(),
    crashes,
    getBudget: budgets.get,
    setBudget: budgets.set,
    begunWaits: new Map(),
    isDraining: () => isDraining,
    getStalledShare: readStalledShare,
    startQueuedRecoveries: startRecoveries,
  };
  const sweeping = createActiveInterval(timers, SWEEP_PERIOD, () => {
    shared.post(sweep);
    return !isIdle();
  });

  function startRecoveries(): void {
    const bound = Math.max(
      MIN_RECOVERIES,
      Math.ceil(shared.admission.countRunning() * cfg.recoveryShare),
    );
    shared.recovery.startNext(bound, (id) => shared.runs.get(id)?.startRecovery());
  }

  function readStalledShare(): number {
    const now = timers.now();
    if (now - stalledShareAt >= STALLED_SHARE_MAX_AGE) {
      const begun = [...shared.runs.values()].filter((run) => run.hasBegun());
      stalledShareAt = now;
      stalledShare = begun.filter((run) => run.isStalled(now)).length / Math.max(1, begun.length);
    }
    return stalledShare;
  }

  function sweep(): void {
    const now = timers.now();
    shared.admission.sweep(now);
    services.sweep(now);
    deps.onSweep?.();
    reportPaces(now);
    stopCondemnedWaiting(shared);
    const usualGap = shared.progress.getMedianGap(now);
    if (usualGap !== null) {
      [...shared.runs.values()].forEach((run) => run.checkSlow(usualGap));
    }
    resolveIfDrained();
  }

  function isIdle(): boolean {
    return shared.runs.size === 0 && serviceRuns.size === 0;
  }

  function startSweeping(): void {
    if (isIdle()) {
      sweptAt = timers.now();
      sweeping.start();
    }
  }

  function reportPaces(now: Millis): void {
    const paces = [...shared.runs.values()]
      .map((run) => run.takePace(now))
      .filter((pace) => pace !== null);
    // After a pause of this process all streams look late, although no link is slow.
    if (now - sweptAt < SWEEP_PERIOD + LATE_TICK_TOLERANCE) {
      deps.links?.notePaces(paces);
    }
    sweptAt = now;
  }

  function resolveIfDrained(): void {
    if (isDraining && isIdle()) {
      drainWaiters.splice(0).forEach((resolve) => resolve());
    }
  }

  return {
    submit(spec, sink) {
      invariant(!shared.runs.has(spec.id), `request ${spec.id} is submitted once`);
      startSweeping();
      return startModelRun(shared, spec, sink);
    },
    submitService(spec, sink) {
      invariant(!serviceRuns.has(spec.id), `request ${spec.id} is submitted once`);
      startSweeping();
      const admission = services.begin(spec.service);
      let hasEnded = false;
      const handle = startServiceRun(shared, admission, spec, sink, () => {
        hasEnded = true;
        services.end(spec.service);
        serviceRuns.delete(spec.id);
      });
      if (!hasEnded) {
        serviceRuns.set(spec.id, handle);
      }
      return handle;
    },
    drain(limit) {
      isDraining = true;
      const cancelLimit = timers.registerTimeout(limit, () => {
        [...shared.runs.values()].forEach((run) => run.onDrainLimit());
        [...serviceRuns.values()].forEach((run) => run.onDrainLimit());
      });
      return new Promise((resolve) => {
        drainWaiters.push(() => {
          cancelLimit();
          resolve();
        });
        resolveIfDrained();
      });
    },
    getPoisonDigest: () => createPoisonDigest(crashes.getState(), timers.now()),
    mergePoison(digest) {
      const news = crashes.merge(digest, timers.now());
      stopCondemned(shared, listNamed(news));
      return news.length > 0;
    },
    listObservedCrashes: (after) => crashes.listObserved(after, timers.now()),
    listRepeatedCrashes: (after) => crashes.listRepeated(after, timers.now()),
    tallyCrashes: (suspect) => tallySuspect(crashes.getState(), suspect, timers.now()),
    registerCrashListener(listener) {
      crashListeners.add(listener);
      return () => crashListeners.delete(listener);
    },
    noteEngineAlive(engine, bootId) {
      shared.progress.noteAlive(engine);
      const end = findCurrentEnd(
        crashes.getState(),
        createCrashId(engine, bootId, false),
        timers.now(),
      );
      for (const id of [end, getLongReportId(end)]) {
        crashes.note((state) => noteAlive(state, id));
      }
    },
    noteEngineLost: (engine) => shared.progress.noteLost(engine, false, timers.now()),
    noteEngineReached: (engine) => shared.progress.forgetLost(engine),
    countInterrupted: ({ model, version }) =>
      [...shared.runs.values()]
        .map((run) => run.getInterrupted())
        .filter((variant) => variant?.model === model && variant.version === version).length,
    getCounts: () => ({
      waiting: shared.admission.countWaiting(),
      running: shared.admission.countRunning(),
      recovering: shared.recovery.countRunning(),
      recoveriesWaiting: shared.recovery.countWaiting(),
      limit: shared.admission.getLimit(),
    }),
    stop: sweeping.stop,
  };
}

/** All suspects that some reports name, requests as wholes and parts of prompts. */
function listNamed(reports: readonly CrashReport[]): ReadonlySet<string> {
  return new Set(
    reports.flatMap(({ suspects, parts = [] }) => [...suspects, ...parts.map(getPartName)]),
  );
}
