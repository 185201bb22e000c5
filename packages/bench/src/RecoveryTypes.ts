/** What the recovery bench's parts tell each other. */
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
  /** Membership has found that a domain can or cannot be reached. */
  setDomainReach(domain: string, reachable: boolean): void;
  /** Ends the process: its connections break, and nothing of it goes on. */
  kill(): void;
}

/** What happened to one request, as its caller and its instance saw it. */
export interface RequestTrace {
  readonly id: string;
  readonly instance: number;
  readonly isKeyed: boolean;
  readonly submittedAt: Millis;
  /** Times at which tokens came. */
  readonly tokenTimes: Millis[];
  engines: readonly EngineId[];
  /** First sign after the fault that the trouble was noticed. */
  detectedAt: Millis | null;
  endedAt: Millis | null;
  problem: string | null;
  /** The request that the caller sent in its place after its instance had died. */
  resentAs: RequestTrace | null;
}

/** The running fleet with its instances and callers. */
export interface RecoveryWorld {
  readonly shape: BenchShape;
  readonly timers: VirtualTimers;
  readonly fleet: VirtualFleet;
  readonly instances: readonly RecoveryInstance[];
  readonly traces: readonly RequestTrace[];
  readonly tallies: RecoveryTallies;
  /** Moves time on, letting promises settle every few milliseconds. */
  advanceTo(time: Millis): Promise<void>;
  /** Whether the platform's service answers. */
  setPlatformUp(isUp: boolean): void;
  killInstance(index: number): void;
  /** Cuts a domain off from all others, engines and instances; null heals the cut. */
  setPartitionedDomain(domain: string | null): void;
  /** Sends one request to an instance; resolves nothing, its trace tells. */
  send(prompt: string, instance: number): RequestTrace;
}

/** What must be zero. */
export interface RecoveryTallies {
  readonly lost: number;
  readonly doubled: number;
  readonly cutOff: number;
}
