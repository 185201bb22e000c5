/** Identifiers, units and small value types shared by all packages. */

/**
 * Milliseconds: a duration, or a time on the process's monotonic clock. Times of different processes are
 * never compared.
 */
export type Millis = number;

export type RequestId = string;
export type EngineId = string;
export type InstanceId = string;
export type DomainId = string;
export type RegionId = string;
export type TeamId = string;
export type ModelId = string;
export type VersionId = string;
export type AdapterId = string;
export type ServiceId = string;

/** Address at which a process listens: an IP address and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Half-open range of a model's layers: `first` is inclusive, `end` is exclusive. */
export interface LayerRange {
  readonly first: number;
  readonly end: number;
}

/** Undoes the registration made by the function that returned it. It is idempotent. */
export type Unregister = () => void;

/** Result of an operation that can fail: a value, or an error. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

export function createOk<T>(value: T): Result<T, never> {
  return { ok: true, value };
}

export function createFailed<E>(error: E): Result<never, E> {
  return { ok: false, error };
}
