/** What a call to a plain service is known by, how it is admitted, and what its answers ask for. Pure. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { AdmissionRequest } from './RequestAdmission.js';
import type { ServiceAnswer } from './RequestPorts.js';
import type { ServiceSpec } from './ServiceTypes.js';

/** What makes two calls of a team the same. Other headers differ between copies, as their ids do. */
export function describeContent({ method, path, headers, body }: ServiceSpec): string {
  return `${method} ${headers.host ?? ''}${path}\n${Buffer.from(body).toString('latin1')}`;
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
