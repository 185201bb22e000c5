/** Messages of the way through a peer: what an instance that doesn't reach a backend server asks of one that may. */
import type { EngineId, LayerRange, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  ChainAcknowledgement,
  EngineCall,
  FinishReason,
  ServiceAnswer,
  ServiceCall,
} from '@skylarksail/requests/RequestPorts';
import type { EngineStatus, HealthAnswer, RangeOrderAnswer } from './RelayPorts.js';
import type { InstanceEntry } from './RelayTypes.js';

/** What a peer is asked to do over its own links; it never passes a task on to another. */
export type ForwardTask =
  | {
      readonly kind: 'engine-call';
      readonly call: EngineCall;
      /** Whether a permit was taken for it; if not, the peer takes one where its server needs it. */
      readonly hasPermit: boolean;
    }
  | { readonly kind: 'service-call'; readonly call: ServiceCall; readonly hasPermit: boolean }
  /** Whether a connection to the server can be made. */
  | { readonly kind: 'check'; readonly server: EngineId }
  | { readonly kind: 'health'; readonly server: EngineId }
  | { readonly kind: 'status'; readonly server: EngineId }
  | {
      readonly kind: 'order';
      readonly server: EngineId;
      readonly range: LayerRange;
      readonly orderCount: number;
    };

/** Why a peer refuses a task. Nothing of it has run. */
export const ForwardRefusal = {
  /** It has as many tasks as it takes. */
  Full: 'full',
  /** It doesn't reach the server itself. */
  CutOff: 'cut-off',
  /** Neither it nor the peers that it asked reached the server a moment ago. */
  Unreached: 'unreached',
  /** It doesn't know the server. */
  Unknown: 'unknown',
  /** It is shutting down. */
  Leaving: 'leaving',
  /** It is of a version that takes no tasks. */
  Unsupported: 'unsupported',
} as const;

export type ForwardRefusalName = (typeof ForwardRefusal)[keyof typeof ForwardRefusal];

/** An event of a task. */
export type ForwardFrame =
  | { readonly kind: 'refused'; readonly reason: ForwardRefusalName }
  /** The peer has begun; it reports whether a byte may have reached the server later. */
  | { readonly kind: 'taken' }
  | { readonly kind: 'connection'; readonly isSent: boolean }
  | { readonly kind: 'acknowledged'; readonly acknowledgement: ChainAcknowledgement }
  | { readonly kind: 'token'; readonly index: number; readonly token: string }
  | { readonly kind: 'end'; readonly reason: FinishReason; readonly tokenCount: number }
  | { readonly kind: 'answer'; readonly answer: ServiceAnswer }
  | { readonly kind: 'failure'; readonly failure: AttemptFailure }
  | { readonly kind: 'checked'; readonly isReached: boolean }
  | { readonly kind: 'health'; readonly health: HealthAnswer }
  | { readonly kind: 'status'; readonly status: EngineStatus | null }
  | { readonly kind: 'ordered'; readonly outcome: RangeOrderAnswer };

const LAST_FRAMES: ReadonlySet<ForwardFrame['kind']> = new Set([
  'refused',
  'end',
  'answer',
  'failure',
  'checked',
  'health',
  'status',
  'ordered',
]);

/** Whether a frame ends its task. */
export function isLastFrame({ kind }: ForwardFrame): boolean {
  return LAST_FRAMES.has(kind);
}

/** Receives the frames of a task; after the last one, or after `onClosed`, nothing follows. */
export interface ForwardListener {
  onFrame(frame: ForwardFrame): void;
  /** The connection to the peer failed; `isSent`: whether the peer may have received the task. */
  onClosed(isSent: boolean): void;
}

/** Gives a peer a task; the returned function cancels it there. */
export type OpenForward = (
  peer: InstanceEntry,
  task: ForwardTask,
  listener: ForwardListener,
) => Unregister;

/**
 * Carries out a peer's task; the returned function cancels it. `waited`: maximum time since the peer sent it, none if left
 * out.
 */
export type ServeForward = (
  task: ForwardTask,
  send: (frame: ForwardFrame) => void,
  waited?: Millis,
) => Unregister;

/** Takes time that has passed off the time that a call has left. */
export function shortenTask(task: ForwardTask, elapsed: Millis): ForwardTask {
  switch (task.kind) {
    case 'engine-call':
      return { ...task, call: { ...task.call, timeLeft: task.call.timeLeft - elapsed } };
    case 'service-call':
      return { ...task, call: { ...task.call, timeLeft: task.call.timeLeft - elapsed } };
    default:
      return task;
  }
}

/** The server that a task needs a link to: of a chain, its first engine. */
export function getTaskServer(task: ForwardTask): EngineId {
  switch (task.kind) {
    case 'engine-call':
      return task.call.chain.stages[0]?.engine ?? '';
    case 'service-call':
      return task.call.server;
    default:
      return task.server;
  }
}
