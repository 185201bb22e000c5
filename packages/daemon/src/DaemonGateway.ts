/** What the HTTP controllers need of the rest of the daemon. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type {
  ManifestLimits,
  ManifestService,
  ManifestTeam,
} from '@skylarksail/manifest/ManifestSchema';
import type { ServiceAnswer } from '@skylarksail/requests/RequestPorts';
import type {
  RequestHandle,
  RequestProblem,
  RequestSink,
} from '@skylarksail/requests/RequestTypes';
import type { RequestOptions, CompletionRequest } from './DaemonCallerInput.js';
import type { UnixSeconds } from './DaemonAnswers.js';

/** A plain-service call as a caller sends it. */
export interface ServiceRequest {
  readonly service: ManifestService;
  readonly method: string;
  /** Path below the service with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceSink {
  onAnswer(answer: ServiceAnswer): void;
  onError(problem: RequestProblem): void;
}

/** A model as callers may see it. */
export interface ListedModel {
  readonly id: string;
  readonly adapters: readonly string[];
}

/** The way from the callers' port into the router. Methods throw ProblemError for what is refused. */
export interface CallerGateway {
  /** The team whose bearer key this is. */
  authenticate(key: string): ManifestTeam;
  getLimits(): ManifestLimits;
  getService(team: ManifestTeam, id: string): ManifestService;
  listModels(team: ManifestTeam): readonly ListedModel[];
  submitCompletion(
    id: string,
    team: ManifestTeam,
    ask: CompletionRequest,
    wishes: RequestOptions,
    sink: RequestSink,
  ): RequestHandle;
  submitService(
    id: string,
    team: ManifestTeam,
    ask: ServiceRequest,
    wishes: RequestOptions,
    sink: ServiceSink,
  ): RequestHandle;
  getUnixSeconds(): UnixSeconds;
  readonly timers: TimerService;
}
