/** Types that the parts of the recovery bench share. */
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { RequestHandle, RequestSink, RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { VirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import type { BenchShape } from './ThroughputShapes.js';

/** An entry instance of the bench: the router, or the baseline in its place. */
export interface RecoveryInstance {
  readonly domain: string;
  submit(spec: RequestSpec, sink: RequestSink): RequestHandle;
  getPoisonDigest(): PoisonDigest;
  mergePoison(digest: PoisonDigest): void;
  /** Reports that membership found a domain reachable or unreachable. */
  setDomainReach(domain: string, reachable: boolean): void;
  /** Simulates a crash of the process: its connections break and all of its work stops. */
  kill(): void;
}

/** Record of one request, as its caller and its instance observe it. */
export interface RequestTrace {
  readonly id: string;
  readonly instance: number;
  /** Whether it has an idempotency key. */
  readonly isKeyed: boolean;
  readonly submittedAt: Millis;
  /** Arrival time of each token. */
  readonly tokenTimes: Millis[];
  /** Engines of its latest chain, by stage. */
  engines: readonly EngineId[];
  /** Time of the first failed attempt or repair after the fault. */
  detectedAt: Millis | null;
  endedAt: Millis | null;
  /** Kind and run state of the error that ended it. */
  problem: string | null;
  /** The request that the caller sent in its place after its instance crashed. */
  resentAs: RequestTrace | null;
}

/** The simulated fleet with its instances and callers. */
export interface RecoveryWorld {
  readonly shape: BenchShape;
  readonly timers: VirtualTimers;
  readonly fleet: VirtualFleet;
  readonly instances: readonly RecoveryInstance[];
  readonly traces: readonly RequestTrace[];
  readonly tallies: RecoveryTallies;
  /** Advances virtual time, letting promises settle every few milliseconds. */
  advanceTo(time: Millis): Promise<void>;
  /** Sets whether the platform's service responds. */
  setPlatformUp(isUp: boolean): void;
  killInstance(index: number): void;
  /** Partitions a domain's engines and instances from all others; null heals the partition. */
  setPartitionedDomain(domain: string | null): void;
  /** Sends one request to an instance; the returned trace is updated while the request runs. */
  send(prompt: string, instance: number): RequestTrace;
}

/** Counts of violations; all must be zero. */
export interface RecoveryTallies {
  readonly lost: number;
  /** Keyed requests that ran more than once. */
  readonly doubled: number;
  /** Unexpected tokens, answers of the wrong length and requests that end twice. */
  readonly cutOff: number;
}
