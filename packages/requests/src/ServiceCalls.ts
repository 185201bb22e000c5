/** What a call to a plain service is known by, how it is admitted, and what its answers ask for. Pure. */
import { hash64Hex } from '@skylarksail/core/CoreHash';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { AdmissionRequest } from './RequestAdmission.js';
import type { ServiceAnswer, ServiceCall } from './RequestPorts.js';
import { computeFingerprint } from './RequestPoison.js';
import type { RequestSuspects } from './RequestSuspects.js';
import type { ServiceSpec } from './ServiceTypes.js';

/** What makes two calls of a team the same. Other headers differ between copies, as their ids do. */
function describeContent({ method, path, headers, body }: ServiceSpec): string {
  return `${method} ${headers.host ?? ''}${path}\n${Buffer.from(body).toString('latin1')}`;
}

/** What a call is known by if it crashes the servers that run it. */
export function createCallSuspects(spec: ServiceSpec): RequestSuspects {
  const { team, service } = spec;
  return { request: computeFingerprint(team, service, describeContent(spec)), parts: [] };
}

/** Parses `Retry-After` in seconds; a date falls back to the backoff, since other machines' clocks are not trusted. */
export function parseRetryAfter(answer: ServiceAnswer): Millis | null {
  const seconds = Number(answer.headers['retry-after']);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : null;
}

/** What admission weighs of a call: each counts alike. */
export function createCallAdmission({
  id,
  team,
  priority,
  deadline,
}: ServiceSpec): AdmissionRequest {
  return { id, team, priority, cost: 1, kvTokens: 0, deadline, duration: 0 };
}

/** Fingerprint under which the key of a call is claimed. */
export function computeClaimFingerprint({ service, method, path, body }: ServiceSpec): string {
  const content = Buffer.from(body).toString('base64');
  return hash64Hex(`${service} ${method} ${path} ${content}`);
}

/** Creates an attempt of a call. */
export function createServiceCall(
  { id: request, team, priority, service, method, path, headers, body }: ServiceSpec,
  attempt: Pick<ServiceCall, 'attempt' | 'server' | 'timeLeft'>,
): ServiceCall {
  return { request, service, team, priority, method, path, headers, body, ...attempt };
}
