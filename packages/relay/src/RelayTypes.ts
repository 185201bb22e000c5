/** What the relay is told of backend servers and instances, and what it exchanges with its adapters. */
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
  /** Names one life of the server; a restart has another, also under the same name. */
  readonly id: EngineId;
  /** The name under which it is registered. */
  readonly server: string;
  /** When this life began, in Unix ms; null where the server does not say. */
  readonly born: number | null;
  readonly service: ServiceId;
  readonly address: HostPort;
  readonly domain: DomainId;
  readonly state: LifeStateName;
  /** Kind of accelerator; null at a plain service. */
  readonly accelerator: string | null;
  /** Layers that it serves now; null if it holds none. */
  readonly layers: LayerRange | null;
}

/** An entry instance as it registered itself. */
export interface InstanceEntry {
  readonly id: InstanceId;
  readonly domain: DomainId;
  /** Where it answers its peers; null if it does not. */
  readonly address: HostPort | null;
}

/** What a key of the store holds, told by the adapter that knows how the store is laid out. */
export type StoreContent =
  | { readonly kind: 'config'; readonly config: RouteConfig }
  | { readonly kind: 'backend'; readonly entry: BackendEntry }
  /** The entry of a backend server that cannot be read: it names no server to use. */
  | { readonly kind: 'unreadable'; readonly server: string; readonly reason: string }
  | { readonly kind: 'other' };

/** Reads a key's content; throws what its own layer defines if it makes no sense. */
export type ReadContent = (item: StoreItem) => StoreContent;

/** The name of the backend server whose entry a key is, or null for any other key. */
export type ReadBackendKey = (key: string) => string | null;

/** A caller's request, read whole. */
export interface RelayCall {
  readonly id: RequestId;
  readonly host: string;
  readonly method: string;
  /** Path with its query, as sent. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** What the caller showed as its key, or null. */
  readonly key: string | null;
  /** How long the caller will wait from now on; null if it did not say. */
  readonly timeLeft: Millis | null;
  readonly body: Uint8Array;
  /** Size of the work, where the caller told it. */
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Why a request is answered by us and not by an engine. */
export interface RelayRefusal {
  readonly status: 400 | 401 | 404 | 502 | 503 | 504;
  /** When to come back, for a request that has not run. */
  readonly retryAfter: Millis | null;
  readonly reason: string;
}

/** Hears of one call. One of `onAnswer`, `onEnd`, `onBroken` and `onRefused` comes last, once. */
export interface RelayListener {
  /** A stream begins; events follow. */
  onHead(head: AnswerHead): void;
  /** A whole event, as the engine wrote it, a character a byte. */
  onEvent(event: string): void;
  /** The stream is whole. */
  onEnd(): void;
  /** The stream ends early and must not look complete. */
  onAborted(): void;
  onAnswer(answer: ServiceAnswer): void;
  onRefused(refusal: RelayRefusal): void;
}
