/** The routes that operators configure: who may call them and which services handle the requests. */
import type { Millis, ServiceId, TeamId } from '@skylarksail/core/CoreTypes';

/** Whether a route's requests may be repeated, and whether the response is a stream. */
export const RouteKind = {
  /** May run more than once. */
  Safe: 'safe',
  /** Runs at most once. */
  Unsafe: 'unsafe',
  /** The response is a stream of events. */
  Stream: 'stream',
} as const;

export type RouteKindName = (typeof RouteKind)[keyof typeof RouteKind];

/** A service with its weight, which sets its share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKindName;
  /** Whether an interrupted stream may be resumed on another engine. */
  readonly isResumable: boolean;
  /** Maximum time for the whole response. */
  readonly timeout: Millis;
  /** Latency goal: maximum time to the response, or to the first event of a stream, to count as on time. */
  readonly firstAnswerGoal: Millis;
  /**
   * Patience of a stream's caller: time without an event, counted from the request on, after which it
   * disconnects for good; null if it never does.
   */
  readonly callerPatience: Millis | null;
  /**
   * Latency goal: maximum time between two events of a stream to count as on time; null if there is no
   * such goal.
   */
  readonly pauseGoal: Millis | null;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of engines to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether the route may be called without a key. */
  readonly isPublic: boolean;
}

/** A team with its callers' API keys. */
export interface RouteTeam {
  readonly id: TeamId;
  readonly keys: readonly string[];
  /** Overrides the route's priority; null if the team has none. */
  readonly priority: number | null;
}

/** Limits on the size of requests and on how slowly callers may send them. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: Millis;
  readonly idleTimeout: Millis;
}

/** Memory and relative speed of an accelerator type. */
export interface AcceleratorFacts {
  readonly memoryBytes: number;
  /** Time of a decode step relative to the reference engine; a higher factor is slower. */
  readonly stepFactor: number;
  /** Time of prefill relative to the reference engine; a higher factor is slower. */
  readonly readFactor: number;
}

/** A model whose layers are distributed over engines. Times and rates are those of a reference engine. */
export interface PipelineFacts {
  readonly layers: number;
  readonly layerBytes: number;
  /** KV-cache size of one token across all layers. */
  readonly kvTokenBytes: number;
  /** Bytes per token sent from one engine to the next. */
  readonly activationBytes: number;
  readonly accelerators: ReadonlyMap<string, AcceleratorFacts>;
  readonly step: Millis;
  readonly stepPerRequest: Millis;
  readonly stepPerThousandContext: Millis;
  readonly promptTokensPerSecond: number;
  /** Number of concurrent requests that an engine accepts as the first engine of a chain. */
  readonly slots: number;
  /** Time to load the weights of all layers. */
  readonly load: Millis;
  /** Bandwidth of the link between two failure domains. */
  readonly pipeBytesPerSecond: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
}

export interface RoutedService {
  readonly id: ServiceId;
  /** Maximum number of connections that each engine of the service accepts in total. */
  readonly maxConnections: number;
  /** Health check path of the engines; null if it is not known. */
  readonly healthPath: string | null;
  /** Null for a service that is not a model distributed over engines. */
  readonly pipeline: PipelineFacts | null;
}

/** One complete, accepted version of the configuration. */
export interface RouteConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Null if the configuration contains no keys; every caller is then admitted. */
  readonly teams: readonly RouteTeam[] | null;
  readonly limits: CallerLimits;
}
