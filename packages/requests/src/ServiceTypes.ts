/** Calls to plain services: what is asked, what the caller hears, and which calls may be repeated. */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { Millis, RequestId, ServiceId, TeamId } from '@skylarksail/core/CoreTypes';
import type { ServiceAnswer } from './RequestPorts.js';
import type { RequestProblem } from './RequestTypes.js';

/** A call to a plain service as the router takes it. */
export interface ServiceSpec {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly priority: PriorityName;
  /** Time on the timer service's clock. */
  readonly deadline: Millis;
  readonly idempotencyKey: string | null;
  readonly idempotent: boolean;
  /**
   * How long an idempotent call waits for one server while another may still be tried; for ever if left
   * out. A server that loses an answer would hold its caller until the deadline.
   */
  readonly attemptTimeout?: Millis;
  /** Backend servers that it may be sent to; no bound if left out. */
  readonly maxAttempts?: number;
}

/** Hears of one call: exactly one of the two, once. */
export interface ServiceSink {
  onAnswer(answer: ServiceAnswer): void;
  onError(problem: RequestProblem): void;
}

/** A route of the manifest that says whether its calls may be repeated. */
export interface ServiceRoute {
  readonly method: string;
  /** Path below the service, exact or ending in `*`. */
  readonly path: string;
  readonly idempotent: boolean;
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
]);

/** Whether a call may be repeated: as the closest route of the manifest says, else as HTTP defines. */
export function isIdempotentCall(
  method: string,
  path: string,
  routes: readonly ServiceRoute[],
): boolean {
  const closest = routes
    .filter((route) => route.method === method && isOnRoute(path, route.path))
    .reduce<ServiceRoute | null>(
      (best, route) => (best && best.path.length >= route.path.length ? best : route),
      null,
    );
  return closest ? closest.idempotent : IDEMPOTENT_METHODS.has(method);
}

function isOnRoute(path: string, pattern: string): boolean {
  const [plain = path] = path.split('?');
  return pattern.endsWith('*') ? plain.startsWith(pattern.slice(0, -1)) : plain === pattern;
}
