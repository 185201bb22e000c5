/**
 * A simulated instance: the daemon's routing and the request router with fake ports. Its timers and the callbacks
 * of its calls check whether it was killed, so that a killed instance neither acts nor receives anything.
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
  /** Whether the instance currently cannot reach an engine. */
  readonly isCut: (engine: string) => boolean;
  readonly onDecision: (record: DecisionRecord) => void;
}

export interface HistoryInstance {
  readonly self: SpreadMember;
  readonly router: Pick<RequestRouter, 'submit' | 'submitService'>;
  readonly isDead: () => boolean;
  setManifest(view: ManifestView): void;
  setDomainReach(domain: string, isReachable: boolean): void;
  getPoisonDigest(): PoisonDigest;
  mergePoison(digest: PoisonDigest): void;
  drain(limit: Millis): Promise<void>;
  /** Ends the instance at once: its connections break, and none of its work continues. */
  kill(): void;
}

const REPORT_PERIOD: Millis = 1000;
const REPORT_DELAY: Millis = 300;
const QUEUE_LIMIT = 64;

export function createHistoryInstance(options: HistoryInstanceOptions): HistoryInstance {
  const { self, engines, isCut } = options;
  const openCalls = new Set<() => void>();
  let isDead = false;
  const timers = createKillableTimers(options.timers, () => isDead);
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

  function reportLoads(): void {
    const seenAt = timers.now();
    const loads = engines.readLoads().filter(({ engine }) => !isCut(engine));
    timers.registerTimeout(REPORT_DELAY, () => {
      routing.setEngineLoads(loads.map((load) => ({ load, seenAt })));
      loads.forEach(({ engine, bootId }) => router.noteEngineAlive(engine, bootId));
    });
  }

  routing.setEngineFacts(HISTORY_ENGINES.map(({ facts }) => facts));
  routing.setInstanceCounts(2, 1);
  routing.start();
  reportLoads();
  timers.registerInterval(REPORT_PERIOD, reportLoads);
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

/** Wraps timers so that they no longer fire once their process was killed. */
function createKillableTimers(timers: TimerService, isDead: () => boolean): TimerService {
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
