/** Ports to backend servers, implemented by network adapters. */
import type {
  EngineId,
  HostPort,
  LayerRange,
  Millis,
  ServiceId,
} from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall, OpenServiceCall } from '@skylarksail/requests/RequestPorts';
import type { BackendEntry } from './RelayTypes.js';

/**
 * Result of a health probe. `id` identifies the incarnation that answered; `backed-off`: it asked
 * for a backoff, and may not have been probed for that.
 */
export type HealthAnswer =
  | { readonly kind: 'well'; readonly id: EngineId }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'backed-off' };

/** Probes of backend servers. */
export interface BackendProbePort {
  readHealth(entry: BackendEntry, timeout: Millis): Promise<HealthAnswer>;
  readStatus(entry: BackendEntry, timeout: Millis): Promise<EngineStatus | null>;
}

/**
 * Time after which a connection that hangs while it is made is given up. Round trips take 40 ms at most, so that a server
 * which takes longer is down or its link is cut; the call then has time left to go through another instance.
 */
export const CONNECT_TIMEOUT: Millis = 200;

/** Whether a new connection to a server can be made within `CONNECT_TIMEOUT`. */
export type CheckConnection = (entry: BackendEntry) => Promise<boolean>;

/** Status of an engine and its orders. */
export interface EngineStatus {
  /** Start time of the incarnation that answered, in Unix ms; null if not reported. */
  readonly born: number | null;
  /** Number of orders accepted since its start. */
  readonly orderCount: number;
  /** Whether it is executing an order. */
  readonly isBusy: boolean;
  /** Layers that it currently serves; null if it holds none. */
  readonly layers: LayerRange | null;
}

/** `stale`: another order was accepted first. `refused`: the engine rejected the order. */
export type RangeOrderAnswer = 'accepted' | 'stale' | 'refused' | 'unknown';

/** Sends orders to engines. */
export interface RangeOrderPort {
  readStatus(entry: BackendEntry, timeout: Millis): Promise<EngineStatus | null>;
  /** Orders an engine to hold `range`, if it has accepted exactly `orderCount` orders so far. */
  order(
    entry: BackendEntry,
    range: LayerRange,
    orderCount: number,
    timeout: Millis,
  ): Promise<RangeOrderAnswer>;
}

/** Lookups of backend servers for the adapter that sends calls. */
export interface BackendView {
  getBackend(id: EngineId): BackendEntry | null;
  findByAddress(address: HostPort): EngineId | null;
  /** Path of the health check of a service's backend servers; null if unknown. */
  getHealthPath(service: ServiceId): string | null;
  /** Maximum number of connections from this instance to the backend server at an address. */
  getMaxConnections(address: HostPort): number;
  /** Records the requests a second that a server takes, as its answer names them; null if it names none. */
  noteRequestLimit(server: EngineId, limit: number | null): void;
  /** Records that a server said in an answer that it leaves. */
  noteSaidLeaving(server: EngineId): void;
  /** Records that a server asked this instance to send nothing for a time. */
  noteBackoffRequested(server: EngineId, time: Millis): void;
  /** Records that a server's connection carried an answer to another request, or to none. */
  noteForeignAnswer(server: EngineId): void;
  /** Whether the time for which a server wants nothing is not over. */
  isBackedOff(server: EngineId): boolean;
}

/** All ports to backend servers. */
export interface BackendPorts {
  readonly openEngineCall: OpenEngineCall;
  readonly openServiceCall: OpenServiceCall;
  readonly orders: RangeOrderPort;
  readonly readHealth: BackendProbePort['readHealth'];
  readonly checkConnection: CheckConnection;
}
