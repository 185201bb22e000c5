/**
 * An entry instance of a history: the daemon's routing and the router of requests on fakes. All that it
 * does goes through one gate, so that a killed instance does nothing more and hears nothing more.
 */
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createDaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { ManifestView } from '@skylarksail/manifest/ManifestView';
import type { SpreadMember } from '@skylarksail/manifest/ManifestPeers';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type {
  ClaimPort,
  OpenEngineCall,
  OpenServiceCall,
} from '@skylarksail/requests/RequestPorts';
import { createRequestRouter } from '@skylarksail/requests/RequestRouter';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { ChooseServer, DecisionRecord } from '@skylarksail/requests/RouterTypes';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';
import type { VirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import { HISTORY_ENGINES } from './HistoryPlan.js';

export interface HistoryInstanceOptions {
  readonly self: SpreadMember;
  readonly seed: number;
  readonly timers: TimerService;
  readonly engines: VirtualFleet;
  readonly claims: ClaimPort;
  readonly openEngineCall: OpenEngineCall;
  readonly openServiceCall: OpenServiceCall;
  readonly chooseServer: ChooseServer;
  /** Whether the instance cannot reach an engine now. */
  readonly isCut: (engine: string) => boolean;
  readonly onDecision: (record: DecisionRecord) => void;
}

/** A running instance. */
export interface HistoryInstance {
  readonly self: SpreadMember;
  readonly router: Pick<RequestRouter, 'submit' | 'submitService'>;
  readonly isDead: () => boolean;
  setManifest(view: ManifestView): void;
  setDomainReach(domain: string, isReachable: boolean): void;
  getPoisonDigest(): PoisonDigest;
  mergePoison(digest: PoisonDigest): void;
  drain(limit: Millis): Promise<void>;
  /** Ends it at once: its connections break, and nothing of it goes on. */
  kill(): void;
}

const REPORT_PERIOD: Millis = 1000;
const REPORT_LAG: Millis = 300;
const QUEUE_LIMIT = 64;

/** Starts an instance. */
export function createHistoryInstance(options: HistoryInstanceOptions): HistoryInstance {
  const { self, engines, isCut } = options;
  const openCalls = new Set<() => void>();
  let isDead = false;
  const timers = createMortalTimers(options.timers, () => isDead);
  const random = createRandom(options.seed);
  const routing = createDaemonRouting({
    domain: self.domain,
    timers,
    random,
    decisions: { record: () => undefined, read: () => [] },
    listDraining: () => [],
  });

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const cancel = options.openEngineCall(call, {
      onAcknowledged: (ack) => isDead || listener.onAcknowledged(ack),
      onToken: (index, token) => isDead || listener.onToken(index, token),
      onEnd: (reason, count) => isDead || listener.onEnd(reason, count),
      onFailure: (failure) => isDead || listener.onFailure(failure),
    });
    openCalls.add(cancel);
    return () => {
      openCalls.delete(cancel);
      cancel();
    };
  };

  const router = createRequestRouter({
    cfg: DEFAULT_ROUTER_CONFIG,
    timers,
    random,
    links: routing.links,
    chooseChain: routing.chooseChain,
    chooseRepair: routing.chooseRepair,
    openEngineCall: routing.trackTokenGaps(openEngineCall),
    chooseServer: options.chooseServer,
    openServiceCall: (call, listener) =>
      options.openServiceCall(call, {
        onAnswer: (answer) => isDead || listener.onAnswer(answer),
        onFailure: (failure) => isDead || listener.onFailure(failure),
      }),
    claims: options.claims,
    getTeamLimits: () => ({ share: 1, queueLimit: QUEUE_LIMIT }),
    getKvCapacity: routing.getKvCapacity,
    getBootId: routing.getBootId,
    onDecision: (record) => isDead || options.onDecision(record),
    onCount: () => undefined,
  });

  function report(): void {
    const seenAt = timers.now();
    const loads = engines.readLoads().filter(({ engine }) => !isCut(engine));
    timers.registerTimeout(REPORT_LAG, () => {
      routing.setEngineLoads(loads.map((load) => ({ load, seenAt })));
      loads.forEach(({ engine, bootId }) => router.noteEngineAlive(engine, bootId));
    });
  }

  routing.setEngineFacts(HISTORY_ENGINES.map(({ facts }) => facts));
  routing.setInstanceCounts(2, 1);
  routing.start();
  report();
  timers.registerInterval(REPORT_PERIOD, report);
  return {
    self,
    router,
    isDead: () => isDead,
    setManifest: routing.setManifest,
    setDomainReach: routing.setDomainReach,
    getPoisonDigest: () => router.getPoisonDigest(),
    mergePoison: (digest) => {
      router.mergePoison(digest);
    },
    drain: (limit) => router.drain(limit),
    kill() {
      isDead = true;
      openCalls.forEach((cancel) => cancel());
      router.stop();
    },
  };
}

/** Timers that never fire once their process is dead. */
function createMortalTimers(timers: TimerService, isDead: () => boolean): TimerService {
  return {
    now: timers.now,
    registerTimeout: (delay, listener) =>
      timers.registerTimeout(delay, () => isDead() || listener()),
    registerInterval(period, listener) {
      const stop = timers.registerInterval(period, () => (isDead() ? stop() : listener()));
      return stop;
    },
  };
}
