/** What an instance that serves routes is made of, and what it offers to what stands round it. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { DecisionLog } from '@skylarksail/daemon/DaemonDecisions';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { SendCrashReports } from '@skylarksail/requests/RouterCrashExchange';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { StoreHistory } from '@skylarksail/store/StoreEras';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import type { AskGrant } from './RelayGrants.js';
import type { AskForUpdates, RelayUpdates } from './RelayUpdates.js';
import type { AskPeer, RelayPeers } from './RelayPeers.js';
import type { RelayIntake } from './RelayIntake.js';
import type { AskForPermits, RelayLimits } from './RelayLimits.js';
import type { AfterTurn, LoopWatch } from './RelayLoopWatch.js';
import type { RelayRetryBudget } from './RelayRetryBudget.js';
import type { OpenForward, ServeForward } from './RelayForwardTypes.js';
import type { AskForTrial, RelayTrials } from './RelayTrials.js';
import type { MemorySharingName, RelayBounds } from './RelayTuning.js';
import type { InstanceEntry, ReadBackendKey, ReadContent } from './RelayTypes.js';
import type { BackendPorts, BackendView } from './RelayPorts.js';

export interface RelayPartsOptions {
  readonly self: InstanceEntry;
  readonly bounds: RelayBounds;
  /** All failure domains of the deployment. */
  readonly domains: readonly DomainId[];
  /** Maximum number of copies of each layer that a domain holds where its memory allows. */
  readonly mostCopies: number;
  /** Where requests share the memory of engines by need. */
  readonly shareMemory: MemorySharingName;
  /** Time within which an acknowledged configuration change must be in force at all instances. */
  readonly changeTime: Millis;
  /** Shortest lease that the store grants. */
  readonly minLeaseTime: Millis;
  readonly timers: TimerService;
  /** Wall clock time in ms, which also advances while the process is suspended. */
  readonly wallNow: () => Millis;
  readonly afterTurn: AfterTurn;
  readonly random: Random;
  readonly store: StoreRangePort;
  readonly readContent: ReadContent;
  readonly readBackendKey: ReadBackendKey;
  readonly askPeer: AskPeer;
  readonly askForUpdates: AskForUpdates;
  readonly askGrant: AskGrant;
  readonly sendCrashReports: SendCrashReports<InstanceEntry>;
  readonly askForPermits: AskForPermits;
  readonly askForTrial: AskForTrial;
  readonly openForward: OpenForward;
  readonly createBackends: (view: BackendView) => BackendPorts;
  readonly logger: DaemonLogger;
  readonly decisions: DecisionLog;
  readonly metrics: DaemonMetrics;
}

export interface RelayParts {
  readonly intake: RelayIntake;
  readonly router: RequestRouter;
  readonly peers: RelayPeers;
  readonly updates: RelayUpdates;
  readonly retries: RelayRetryBudget;
  readonly limits: Pick<RelayLimits, 'answer'>;
  readonly trials: Pick<RelayTrials, 'grant'>;
  /** Carries out tasks of peers that don't reach a backend server. */
  readonly forwarding: { readonly serve: ServeForward };
  getTable(): RouteTable | null;
  /** Reads the state that the metrics report. */
  readState(): RelayState;
  /** How far this process is behind. */
  readonly loop: Pick<LoopWatch, 'getUnreadTime' | 'noteAccepted'>;
  /** Whether callers should be sent to this instance. */
  isReady(): boolean;
  /** Handles a change of this instance's settings. */
  noteSettingsChanged(): void;
  /** Releases the duties and stops serving as a source of updates; running requests continue. */
  startLeaving(): void;
  /** Waits until the store has confirmed the release of the duties, for at most `limit`. */
  waitForLeaseEnds(limit: Millis): Promise<void>;
  /** Waits until the tasks of peers have ended, for at most `limit`. */
  waitForTasks(limit: Millis): Promise<void>;
  stop(): void;
}

/** An instance's view of the deployment, as reported in the metrics. */
export interface RelayState {
  /** Version of the configuration in force; 0 if none is. */
  readonly version: number;
  readonly instances: number;
  readonly backends: number;
  /** Backend servers whose directly observed state overrides the store's. */
  readonly observed: number;
  /** Failure domains whose layers this instance places. */
  readonly duties: number;
  /** Whether this instance reaches neither the store nor a peer that reaches it. */
  readonly isIsolated: boolean;
  /** Time since the local copy was last in sync with the store. */
  readonly newsAge: Millis;
  /** Era and revision of the store's last answers to this instance. */
  readonly store: StoreHistory;
}
