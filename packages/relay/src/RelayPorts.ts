/** The ways to backend servers that the relay uses, implemented by adapters with sockets behind them. */
import type {
  EngineId,
  HostPort,
  LayerRange,
  Millis,
  ServiceId,
} from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall, OpenServiceCall } from '@skylarksail/requests/RequestPorts';
import type { BackendEntry } from './RelayTypes.js';

/** What a server says of its health. `id` is that of the incarnation that answered. */
export type HealthAnswer =
  | { readonly kind: 'well'; readonly id: EngineId }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'silent' };

/** Questions to backend servers. */
export interface BackendProbePort {
  readHealth(entry: BackendEntry, timeout: Millis): Promise<HealthAnswer>;
  readStatus(entry: BackendEntry, timeout: Millis): Promise<EngineStatus | null>;
}

/** What an engine says of its orders. */
export interface EngineStatus {
  /** When the life that answered began, in Unix ms; null where it does not say. */
  readonly born: number | null;
  /** Orders that it has accepted since its start. */
  readonly orderCount: number;
  /** Whether one is being carried out. */
  readonly isBusy: boolean;
  /** Layers that it serves now; null if it holds none. */
  readonly layers: LayerRange | null;
}

/** `stale`: another order came first. `refused`: it does not fit. */
export type RangeOrderAnswer = 'accepted' | 'stale' | 'refused' | 'unknown';

/** The orders' way to the engines. */
export interface RangeOrderPort {
  readStatus(entry: BackendEntry, timeout: Millis): Promise<EngineStatus | null>;
  /** Orders an engine to hold `range`, provided that it has accepted `orderCount` orders so far. */
  order(
    entry: BackendEntry,
    range: LayerRange,
    orderCount: number,
    timeout: Millis,
  ): Promise<RangeOrderAnswer>;
}

/** What the adapter of calls may ask about backend servers. */
export interface BackendView {
  getBackend(id: EngineId): BackendEntry | null;
  findByAddress(address: HostPort): EngineId | null;
  /** Path that a service's backend servers answer about their health; null if it is not known. */
  getHealthPath(service: ServiceId): string | null;
  /** Connections that this instance may have to the backend server at an address. */
  getMaxConnections(address: HostPort): number;
}

/** The ways to backend servers, with sockets behind them. */
export interface BackendPorts {
  readonly openEngineCall: OpenEngineCall;
  readonly openServiceCall: OpenServiceCall;
  readonly orders: RangeOrderPort;
  readonly readHealth: BackendProbePort['readHealth'];
}
