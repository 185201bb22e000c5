/** Entries of backend servers and instances, store contents, and the types exchanged with adapters. */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import type {
  DomainId,
  EngineId,
  HostPort,
  InstanceId,
  LayerRange,
  Millis,
  RequestId,
  ServiceId,
} from '@skylarksail/core/CoreTypes';
import type { AnswerHead, ServiceAnswer } from '@skylarksail/requests/RequestPorts';
import type { RouteConfig } from '@skylarksail/routes/RouteTypes';
import type { StoreItem } from '@skylarksail/store/StoreRange';

/** A backend server as it registered itself. */
export interface BackendEntry {
  /** Identifies one incarnation of the server; a restart under the same name gets a new id. */
  readonly id: EngineId;
  /** The name under which it is registered. */
  readonly server: string;
  /** Start time of this incarnation, in Unix ms; null if the server does not report it. */
  readonly born: number | null;
  readonly service: ServiceId;
  readonly address: HostPort;
  readonly domain: DomainId;
  readonly state: LifeStateName;
  /** Kind of accelerator; null for a plain service. */
  readonly accelerator: string | null;
  /** Layers that it currently serves; null if it holds none. */
  readonly layers: LayerRange | null;
}

/** An instance as it registered itself. */
export interface InstanceEntry {
  readonly id: InstanceId;
  readonly domain: DomainId;
  /** Address for requests of its peers; null if it accepts none. */
  readonly address: HostPort | null;
}

/** Content of a store key, decoded by the adapter that knows the layout of the store. */
export type StoreContent =
  | { readonly kind: 'config'; readonly config: RouteConfig }
  | { readonly kind: 'backend'; readonly entry: BackendEntry }
  /** An entry of a backend server that cannot be decoded and so provides no usable server. */
  | { readonly kind: 'unreadable'; readonly server: string; readonly reason: string }
  | { readonly kind: 'other' };

/** Decodes the content of a store key; throws an error type of the adapter if it is invalid. */
export type ReadContent = (item: StoreItem) => StoreContent;

/** Returns the name of the backend server whose entry is stored at a key; null for any other key. */
export type ReadBackendKey = (key: string) => string | null;

/** A caller's request with its complete body. */
export interface RelayCall {
  readonly id: RequestId;
  readonly host: string;
  readonly method: string;
  /** Path with its query, as sent. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Key that the caller presented; null if none. */
  readonly key: string | null;
  /** Remaining time that the caller will wait; null if not specified. */
  readonly timeLeft: Millis | null;
  /** Maximum time for which it waited unread, which is still to be taken off `timeLeft`; none if left out. */
  readonly waited?: Millis;
  /** Time for which this instance has had it since, which is taken off `timeLeft` already; none if left out. */
  readonly held?: Millis;
  readonly body: Uint8Array;
  /** Ids of the parts of its prompt that other requests may share, in order; none if left out. */
  readonly sharedParts?: readonly string[];
  /** Size of the work in tokens, if the caller specified it. */
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** An error answer from this instance, not from a backend server. */
export interface RelayRefusal {
  readonly status: 400 | 401 | 404 | 502 | 503 | 504;
  /** Delay after which to retry a request that has not run; null if none is suggested. */
  readonly retryAfter: Millis | null;
  readonly reason: string;
}

/** Receives the events of one call. The last event is exactly one answer, stream end, stream abort or refusal. */
export interface RelayListener {
  /** A stream starts; events follow. */
  onHead(head: AnswerHead): void;
  /** A complete event as the engine sent it, one character for each byte. */
  onEvent(event: string): void;
  /** The stream is complete. */
  onEnd(): void;
  /** The stream ended early and must not appear complete to the caller. */
  onAborted(): void;
  onAnswer(answer: ServiceAnswer): void;
  onRefused(refusal: RelayRefusal): void;
}
