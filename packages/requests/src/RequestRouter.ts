/**
 * Owns all running requests of an instance. The daemon turns calls from outside into `submit` and
 * `submitService`, hears the answers through sinks, and lends the ports; nothing else is shared.
 */
import { createActiveInterval } from '@skylarksail/core/CoreActivity';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineId, Millis, ServiceId } from '@skylarksail/core/CoreTypes';
import { startModelRun } from './ModelRunner.js';
import type { Admission } from './RequestAdmission.js';
import { createAdmission } from './RequestAdmission.js';
import { LATE_TICK_TOLERANCE } from './RequestAttempt.js';
import type { RetryBudget } from './RequestBudget.js';
import { createRetryBudget, setBurst } from './RequestBudget.js';
import type { PoisonDigest } from './RequestPoison.js';
import {
  createCrashId,
  createPoisonDigest,
  createPoisonState,
  isNewDigest,
  mergePoisonDigest,
  noteAlive,
} from './RequestPoison.js';
import { createProgressTracker } from './RequestProgress.js';
import { createRecoveryQueue } from './RequestRecovery.js';
import type { RequestHandle, RequestSink, RequestSpec } from './RequestTypes.js';
import { createWorkQueue } from './RouterWorkQueue.js';
import { createRouterMeters } from './RouterMeters.js';
import type { RouterShared } from './RouterShared.js';
import { createStarvedModels } from './RouterShared.js';
import type { RouterCounts, RouterDeps } from './RouterTypes.js';
import { stopCondemned } from './RunSuspicion.js';
import type { ServiceRun } from './ServiceRunner.js';
import { startServiceRun } from './ServiceRunner.js';
import type { ServiceSink, ServiceSpec } from './ServiceTypes.js';

/** The router as the daemon sees it. */
export interface RequestRouter {
  /** Runs a model request. Its id must be new. */
  submit(spec: RequestSpec, sink: RequestSink): RequestHandle;
  /** Runs a call to a plain service. Its id must be new. */
  submitService(spec: ServiceSpec, sink: ServiceSink): RequestHandle;
  /**
   * Refuses what is new from now on and resolves once all that was taken has ended. What still runs
   * after `limit` is told the truth and ended.
   */
  drain(limit: Millis): Promise<void>;
  /** What is known of requests that crash engines, for the other instances. */
  getPoisonDigest(): PoisonDigest;
  /** Takes in another instance's digest; says whether it held news, which should travel on. */
  mergePoison(digest: PoisonDigest): boolean;
  /** An engine was seen alive with this boot id: it had not crashed. */
  noteEngineAlive(engine: string, bootId: string): void;
  /** Another instance found an engine lost: it is kept off for a moment, where there are others. */
  noteEngineLost(engine: EngineId): void;
  getCounts(): RouterCounts;
  /** Stops the router's own timers. */
  stop(): void;
}

const SWEEP_PERIOD: Millis = 100;
const LEAST_RECOVERIES = 4;
const STILL_PERIOD: Millis = 10;

/** Creates a router on its ports. */
export function createRequestRouter(deps: RouterDeps): RequestRouter {
  const { cfg, timers } = deps;
  const admissionCfg = {
    limits: cfg.limits,
    queueBound: cfg.queueBound,
    getTeamLimits: deps.getTeamLimits,
  };
  const services = new Map<ServiceId, Admission>();
  const serviceRuns = new Map<string, ServiceRun>();
  const drained: (() => void)[] = [];
  let poison = createPoisonState(cfg.poisonCrashes);
  const budgets = new Map<string, RetryBudget>();
  let isDraining = false;
  let stillShare = 0;
  let stillAt = -Infinity;
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
    starved: createStarvedModels(),
    runs: new Map(),
    post: createWorkQueue(),
    getPoison: () => poison,
    setPoison: (state) => {
      poison = state;
    },
    getBudget: (name) => {
      const burst = deps.getRetryBurst?.(name) ?? cfg.retryBurst;
      const terms = { share: cfg.retryShare, burst, window: cfg.retryWindow };
      return setBurst(budgets.get(name) ?? createRetryBudget(terms), burst);
    },
    setBudget: (name, next) => {
      budgets.set(name, next);
    },
    begunWaits: new Map(),
    isDraining: () => isDraining,
    getStalledShare: getStillShare,
    startQueuedRecoveries: pumpRecoveries,
  };
  const sweeping = createActiveInterval(timers, SWEEP_PERIOD, () => {
    shared.post(sweep);
    return !isIdle();
  });

  function pumpRecoveries(): void {
    const bound = Math.max(
      LEAST_RECOVERIES,
      Math.ceil(shared.admission.countRunning() * cfg.recoveryShare),
    );
    shared.recovery.startNext(bound, (id) => shared.runs.get(id)?.startRecovery());
  }

  function getStillShare(): number {
    const now = timers.now();
    if (now - stillAt >= STILL_PERIOD) {
      const runs = [...shared.runs.values()];
      stillAt = now;
      stillShare = runs.filter((run) => run.isStalled(now)).length / Math.max(1, runs.length);
    }
    return stillShare;
  }

  function getServiceAdmission(service: ServiceId): Admission {
    const known = services.get(service);
    if (known) {
      return known;
    }
    const created = createAdmission({ ...admissionCfg, getKvCapacity: () => null }, timers.now());
    services.set(service, created);
    return created;
  }

  function sweep(): void {
    const now = timers.now();
    shared.admission.sweep(now);
    services.forEach((admission) => admission.sweep(now));
    tellPaces(now);
    const usualGap = shared.progress.getMedianGap(now);
    if (usualGap !== null) {
      [...shared.runs.values()].forEach((run) => run.checkSlow(usualGap));
    }
    resolveDrained();
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

  function tellPaces(now: Millis): void {
    const paces = [...shared.runs.values()]
      .map((run) => run.takePace(now))
      .filter((pace) => pace !== null);
    // After a pause of our own all streams look late, and no link is to blame.
    if (now - sweptAt < SWEEP_PERIOD + LATE_TICK_TOLERANCE) {
      deps.links?.notePaces(paces);
    }
    sweptAt = now;
  }

  function resolveDrained(): void {
    if (isDraining && isIdle()) {
      drained.splice(0).forEach((resolve) => resolve());
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
      const admission = getServiceAdmission(spec.service);
      let isGone = false;
      const handle = startServiceRun(shared, admission, spec, sink, () => {
        isGone = true;
        serviceRuns.delete(spec.id);
      });
      if (!isGone) {
        serviceRuns.set(spec.id, handle);
      }
      return handle;
    },
    drain(limit) {
      isDraining = true;
      const undoLimit = timers.registerTimeout(limit, () => {
        [...shared.runs.values()].forEach((run) => run.onDrainLimit());
        [...serviceRuns.values()].forEach((run) => run.onDrainLimit());
      });
      return new Promise((resolve) => {
        drained.push(() => {
          undoLimit();
          resolve();
        });
        resolveDrained();
      });
    },
    getPoisonDigest: () => createPoisonDigest(poison, timers.now()),
    mergePoison(digest) {
      const isNews = isNewDigest(poison, digest);
      poison = mergePoisonDigest(poison, digest, timers.now());
      if (isNews) {
        stopCondemned(shared);
      }
      return isNews;
    },
    noteEngineAlive(engine, bootId) {
      for (const ranLong of [false, true]) {
        poison = noteAlive(poison, createCrashId(engine, bootId, ranLong));
      }
    },
    noteEngineLost: (engine) => shared.progress.noteLost(engine, false, timers.now()),
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
