/** What the router of requests is given, and what it reports. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, RequestId, ServiceId, TeamId } from '@skylarksail/core/CoreTypes';
import type { TeamLimits } from './RequestAdmission.js';
import type { LimitConfig } from './RequestLimits.js';
import { DEFAULT_LIMIT_CONFIG } from './RequestLimits.js';
import type { SilenceConfig } from './RequestPace.js';
import { DEFAULT_SILENCE_CONFIG } from './RequestPace.js';
import type { ClaimPort, OpenEngineCall, OpenServiceCall } from './RequestPorts.js';
import type { AttemptOutcome, ChooseChain, ChooseRepair } from './RequestTypes.js';

/** Settings of the router. */
export interface RouterConfig {
  readonly limits: LimitConfig;
  readonly silence: SilenceConfig;
  /** Part of the tokens allowed that answers come to, until some have been seen. */
  readonly lengthShare: number;
  /** Requests of all teams that may wait at this instance. */
  readonly queueBound: number;
  /** Retries as a share of first tries. */
  readonly retryShare: number;
  /** Retries beyond that share in any window. */
  readonly retryBurst: number;
  /**
   * The window, in ms. The burst is renewed with each, so a short one lets an outage be multiplied by
   * more than the share.
   */
  readonly retryWindow: Millis;
  /**
   * Whether going on after an engine was lost takes from the same budget. Off where engines can bear
   * it: a lost rack's answers then go on at once.
   */
  readonly isRecoveryBudgeted: boolean;
  /**
   * Whether an engine that refuses work is kept off for growing times. Off where engines refuse in
   * passing, such as one that has just loaded another version and may be the only one with its layers.
   */
  readonly keepsOffRefusing: boolean;
  /** Share of the running requests that may be in recovery at once. */
  readonly recoveryShare: number;
  /** Crashes after which a request is refused. */
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

/** What was decided. */
export type DecisionName =
  | 'admit'
  | 'refuse'
  | 'chain'
  | 'repair'
  | 'no-chain'
  | 'attempt-failed'
  | 'recover'
  | 'retry'
  | 'wait'
  | 'hold'
  | 'server'
  | 'give-up'
  | 'complete'
  | 'fail';

/** A decision, for the log: one line each. */
export interface DecisionRecord {
  readonly at: Millis;
  readonly request: RequestId;
  readonly team: TeamId;
  readonly decision: DecisionName;
  readonly attempt: number;
  /** The chain or the backend server, where one was chosen. */
  readonly chain: string | null;
  readonly reason: string | null;
}

/** Names of what is counted or measured. Those that end in `Ms` are times, the others add up. */
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
  | 'gaveUpAttemptsSpent'
  | 'gaveUpMustNotRepeat'
  | 'gaveUpFruitless'
  | 'gaveUpDeadlineNear'
  | 'gaveUpStandstill'
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

/** A backend server of a plain service, to be told how the call ended. */
export interface ServerChoice {
  readonly server: EngineId;
  readonly release: (outcome: AttemptOutcome) => void;
}

/** Chooses a backend server of a plain service, or null if none can take the call. */
export type ChooseServer = (service: ServiceId, avoid: readonly EngineId[]) => ServerChoice | null;

/** What running streams tell of the links that they share, and what is made of it. */
export interface LinkMonitor {
  /** Takes in how all running streams got on since the last time; called every 100 ms. */
  notePaces(paces: readonly StreamPace[]): void;
  /** Whether a chain crosses a link that is held to be slow. */
  isSlow(chain: Chain): boolean;
}

/** Longest time between tokens of a running stream since it was last told, its silence included. */
export interface StreamPace {
  readonly chain: Chain;
  readonly gap: Millis;
}

/** What the router stands on. */
export interface RouterDeps {
  readonly cfg: RouterConfig;
  readonly timers: TimerService;
  readonly random: Random;
  readonly chooseChain: ChooseChain;
  readonly chooseRepair: ChooseRepair;
  readonly openEngineCall: OpenEngineCall;
  readonly chooseServer: ChooseServer;
  readonly openServiceCall: OpenServiceCall;
  readonly claims: ClaimPort;
  /** Without it silence on a slow link is taken for silence of engines. */
  readonly links?: LinkMonitor;
  /** This instance's part of the burst at a model or service, as the fleet is now; the setting's if left out. */
  readonly getRetryBurst?: (name: string) => number;
  /** Whether a begun answer that stands still may be broken off now; it always may if left out. */
  readonly mayBreakOff?: (submittedAt: Millis) => boolean;
  /** Asks others for repeats at a model or service; hears whether the burst has grown. */
  readonly requestRetries?: (name: string, done: (isGranted: boolean) => void) => void;
  readonly getTeamLimits: (team: TeamId) => TeamLimits;
  /** KV-cache memory that this instance may count on, in tokens; null if not known. */
  readonly getKvCapacity: () => number | null;
  /** Boot id of an engine as last reported, or null. */
  readonly getBootId: (engine: EngineId) => string | null;
  /** Whether an engine has said that it leaves, or is no longer registered; nobody has if left out. */
  readonly isEnding?: (engine: EngineId) => boolean;
  /** Hears of engines that are silent under an answer that is left with them. */
  readonly onSilent?: (engines: readonly EngineId[]) => void;
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
