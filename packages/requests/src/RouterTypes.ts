/** Settings and ports of the request router, and the types of its reports. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, RequestId, ServiceId, TeamId } from '@skylarksail/core/CoreTypes';
import type { TeamLimits } from './RequestAdmission.js';
import type { LimitConfig } from './RequestLimits.js';
import { DEFAULT_LIMIT_CONFIG } from './RequestLimits.js';
import type { SilenceConfig } from './RequestPace.js';
import { DEFAULT_SILENCE_CONFIG } from './RequestPace.js';
import type { RoomView } from './RequestRoom.js';
import type { ClaimPort, OpenEngineCall, OpenServiceCall } from './RequestPorts.js';
import type { AttemptOutcome, ChooseChain, ChooseRepair, RequestSpec } from './RequestTypes.js';

export interface RouterConfig {
  readonly limits: LimitConfig;
  readonly silence: SilenceConfig;
  /** Expected answer length as a share of `maxTokens`, until answers have been observed. */
  readonly lengthShare: number;
  /** Maximum number of requests, over all teams, that may wait at this instance. */
  readonly queueBound: number;
  /** Retries as a share of first attempts. */
  readonly retryShare: number;
  /** Retries allowed beyond that share in each window. */
  readonly retryBurst: number;
  /**
   * Length of the window, in ms. The burst is renewed with each window, so a short window lets retries
   * amplify the load of an outage by more than the share.
   */
  readonly retryWindow: Millis;
  /**
   * Whether recovery after the loss of an engine takes from the retry budget. Off where engines can take
   * the load: the answers of a lost rack then continue at once.
   */
  readonly isRecoveryBudgeted: boolean;
  /**
   * Whether an engine that refuses work is avoided for increasing times. Off where refusals are
   * transient, as from an engine that has just loaded another version and may be the only one with its
   * layers.
   */
  readonly keepsOffRefusing: boolean;
  /** Maximum share of the running requests that may be in recovery at once. */
  readonly recoveryShare: number;
  /** Number of crashes after which a request is refused as poison. */
  readonly poisonCrashes: number;
}

export const DEFAULT_ROUTER_CONFIG: RouterConfig = {
  limits: DEFAULT_LIMIT_CONFIG,
  silence: DEFAULT_SILENCE_CONFIG,
  lengthShare: 1,
  queueBound: 4096,
  retryShare: 0.1,
  retryBurst: 20,
  retryWindow: 60_000,
  isRecoveryBudgeted: false,
  keepsOffRefusing: false,
  recoveryShare: 0.25,
  poisonCrashes: 2,
};

/** Kind of a decision. */
export type DecisionName =
  | 'admit'
  | 'refuse'
  /** Refused because memory for running requests is short. */
  | 'no-room'
  | 'chain'
  | 'repair'
  | 'no-chain'
  | 'attempt-failed'
  | 'crash'
  | 'verdict'
  | 'recover'
  | 'retry'
  | 'wait'
  | 'hold'
  | 'server'
  | 'give-up'
  | 'complete'
  | 'fail';

/** A decision, logged as one line. */
export interface DecisionRecord {
  readonly at: Millis;
  readonly request: RequestId;
  readonly team: TeamId;
  readonly decision: DecisionName;
  readonly attempt: number;
  /** The chain or the backend server, if one was chosen. */
  readonly chain: string | null;
  readonly reason: string | null;
}

/** Names of the metrics. Those that end in `Ms` are durations, the others are counters. */
export type RouterMetricName =
  | 'lateFrames'
  | 'repeatedFrames'
  | 'admitted'
  | 'refused'
  | 'completed'
  | 'failed'
  | 'retries'
  | 'retriesDenied'
  | 'recoveries'
  | 'poisonRefused'
  | 'crashes'
  | 'plannedEnds'
  | 'gaveUpAttemptsSpent'
  | 'gaveUpMustNotRepeat'
  | 'gaveUpFruitless'
  | 'gaveUpDeadlineNear'
  | 'gaveUpStandstill'
  | 'roomRefusedUrgent'
  | 'roomRefusedHigh'
  | 'roomRefusedNormal'
  | 'roomRefusedLow'
  | 'roomRefusedTeam'
  | 'firstTokenMs'
  | 'gapMs'
  | 'detectionMs'
  | 'replacementMs'
  | 'recoveryFirstTokenMs'
  | 'pauseMs';

export interface RouterMetric {
  readonly name: RouterMetricName;
  readonly value: number;
}

/** A chosen backend server of a plain service; `release` reports how the call ended. */
export interface ServerChoice {
  readonly server: EngineId;
  readonly release: (outcome: AttemptOutcome) => void;
}

/** Chooses a backend server of a plain service; null if none can take the call. */
export type ChooseServer = (service: ServiceId, avoid: readonly EngineId[]) => ServerChoice | null;

/** Infers slow links from the progress of the streams that share them. */
export interface LinkMonitor {
  /** Records the progress of all running streams since the last call; called every 100 ms. */
  notePaces(paces: readonly StreamPace[]): void;
  /** Whether a chain crosses a link that is considered slow. */
  isSlow(chain: Chain): boolean;
}

/** Longest gap between tokens of a running stream since the last report, including its current silence. */
export interface StreamPace {
  readonly chain: Chain;
  readonly gap: Millis;
}

/** What is known of an engine after a stream through it broke. */
export const EngineFate = {
  /** It has ended, leaves, or can't be reached. */
  Ended: 'ended',
  /** It has answered since: only the connection was reset. */
  Alive: 'alive',
  Unknown: 'unknown',
} as const;

export type EngineFateName = (typeof EngineFate)[keyof typeof EngineFate];

/** Settings, ports and callbacks of the router. */
export interface RouterDeps {
  readonly cfg: RouterConfig;
  readonly timers: TimerService;
  readonly random: Random;
  readonly chooseChain: ChooseChain;
  readonly chooseRepair: ChooseRepair;
  readonly openEngineCall: OpenEngineCall;
  readonly chooseServer: ChooseServer;
  readonly openServiceCall: OpenServiceCall;
  /** Time until a server of a plain service that asked for a backoff may be used again; null if none did, or if omitted. */
  readonly getBackoffLeft?: (service: ServiceId) => Millis | null;
  readonly claims: ClaimPort;
  /** Without it, silence that a slow link causes is attributed to engines. */
  readonly links?: LinkMonitor;
  /** This instance's part of the retry burst of a model or service at the present fleet size; `retryBurst` if omitted. */
  readonly getRetryBurst?: (name: string) => number;
  /** Whether a stalled answer that has begun may be aborted now; always allowed if omitted. */
  readonly mayBreakOff?: (submittedAt: Millis) => boolean;
  /** Asks other instances for retries for a model or service; `done` receives whether the burst has grown. */
  readonly requestRetries?: (name: string, done: (isGranted: boolean) => void) => void;
  /** Asks the fleet whether one more run of a request, or with a part, that was at several crashes may begin; always if omitted. */
  readonly requestTrial?: (suspect: string, done: (isGranted: boolean) => void) => void;
  readonly getTeamLimits: (team: TeamId) => TeamLimits;
  /**
   * Memory for running requests that a model request may use; null if it is unknown or if the model's requests do not share
   * it, so that requests are served without regard to it, as if omitted.
   */
  readonly readRoom?: (spec: RequestSpec) => RoomView | null;
  /** Whether engines let requests wait for memory, so that silence before the first token is no failure; never if omitted. */
  readonly isRoomShort?: (spec: RequestSpec) => boolean;
  /** KV-cache memory available to this instance, in tokens; null if unknown. */
  readonly getKvCapacity: () => number | null;
  /** Last reported boot id of an engine, or null. */
  readonly getBootId: (engine: EngineId) => string | null;
  /** Whether an engine has announced that it is leaving, or is no longer registered; never if omitted. */
  readonly isEnding?: (engine: EngineId) => boolean;
  /** What is known of an engine since a time; a broken stream is the end of its engine if omitted. */
  readonly getEngineFate?: (engine: EngineId, since: Millis) => EngineFateName;
  /** Receives the silent engines of an attempt that continues because no other attempt can replace it. */
  readonly onSilent?: (engines: readonly EngineId[]) => void;
  /** Called every 100 ms while requests run, for work that would otherwise need a timer of its own. */
  readonly onSweep?: () => void;
  readonly onDecision: (record: DecisionRecord) => void;
  readonly onCount: (metric: RouterMetric) => void;
}

/** Numbers for the status page. */
export interface RouterCounts {
  readonly waiting: number;
  readonly running: number;
  readonly recovering: number;
  readonly recoveriesWaiting: number;
  readonly limit: number;
}
