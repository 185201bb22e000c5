/** Interface between the HTTP controllers of the callers' port and the rest of the daemon. */
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
import type { ReportError } from './DaemonReplies.js';

/** A call to a plain service, as a caller sends it. */
export interface ServiceRequest {
  readonly service: ManifestService;
  readonly method: string;
  /** Path relative to the service, with the query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceSink {
  onAnswer(answer: ServiceAnswer): void;
  onError(problem: RequestProblem): void;
}

/** A model in the list that callers get. */
export interface ListedModel {
  readonly id: string;
  readonly adapters: readonly string[];
}

/** Operations of the callers' port. A method throws a ProblemError if it rejects the request. */
export interface CallerGateway {
  /** Returns the team that the bearer key belongs to. */
  authenticate(key: string): ManifestTeam;
  getLimits(): ManifestLimits;
  getService(team: ManifestTeam, id: string): ManifestService;
  listModels(team: ManifestTeam): readonly ListedModel[];
  submitCompletion(
    id: string,
    team: ManifestTeam,
    ask: CompletionRequest,
    requestOptions: RequestOptions,
    sink: RequestSink,
  ): RequestHandle;
  submitService(
    id: string,
    team: ManifestTeam,
    ask: ServiceRequest,
    requestOptions: RequestOptions,
    sink: ServiceSink,
  ): RequestHandle;
  getUnixSeconds(): UnixSeconds;
  readonly timers: TimerService;
  readonly reportError: ReportError;
}
