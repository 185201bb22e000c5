/** Calls to plain services: request, result, and which calls may be repeated. */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { Millis, RequestId, ServiceId, TeamId } from '@skylarksail/core/CoreTypes';
import type { ServiceAnswer } from './RequestPorts.js';
import type { RequestProblem } from './RequestTypes.js';

/** A call to a plain service. */
export interface ServiceSpec {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly priority: PriorityName;
  /** Time on the clock of the timer service. */
  readonly deadline: Millis;
  readonly idempotencyKey: string | null;
  readonly idempotent: boolean;
  /**
   * How long an idempotent call waits for one server while another may still be tried; no limit if
   * omitted. Without it, a server that loses an answer keeps its caller waiting until the deadline.
   */
  readonly attemptTimeout?: Millis;
  /** Maximum number of backend servers that it may be sent to; no limit if omitted. */
  readonly maxAttempts?: number;
}

/** Receives the result of one call: exactly one of the two methods is called, once. */
export interface ServiceSink {
  onAnswer(answer: ServiceAnswer): void;
  onError(problem: RequestProblem): void;
}

/** A route of the manifest that states whether its calls are idempotent. */
export interface ServiceRoute {
  readonly method: string;
  /** Path relative to the service, exact or ending in `*`. */
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

/** Whether a call is idempotent: by the longest matching route of the manifest, else by its HTTP method. */
export function isIdempotentCall(
  method: string,
  path: string,
  routes: readonly ServiceRoute[],
): boolean {
  const closest = routes
    .filter((route) => route.method === method && matchesRoute(path, route.path))
    .reduce<ServiceRoute | null>(
      (best, route) => (best && best.path.length >= route.path.length ? best : route),
      null,
    );
  return closest ? closest.idempotent : IDEMPOTENT_METHODS.has(method);
}

function matchesRoute(path: string, pattern: string): boolean {
  const [pathname = path] = path.split('?');
  return pattern.endsWith('*') ? pathname.startsWith(pattern.slice(0, -1)) : pathname === pattern;
}
