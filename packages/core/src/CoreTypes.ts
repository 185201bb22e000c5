/** Identifiers, units and small value types that every package shares. */

/** Time on one process's monotonic clock, in milliseconds. Never compared between processes. */
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

/** Where a process listens: an IP number and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Half-open range of a model's layers: `first` is included, `end` is not. */
export interface LayerRange {
  readonly first: number;
  readonly end: number;
}

/** Undoes what the function that returned it has done. Calling it twice does no harm. */
export type Unregister = () => void;

/** What a check found: a value, or the reason why there is none. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

export function createOk<T>(value: T): Result<T, never> {
  return { ok: true, value };
}

export function createFailed<E>(error: E): Result<never, E> {
  return { ok: false, error };
}
