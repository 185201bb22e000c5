/**
 * Gives tasks to peers: calls and questions to backend servers that this instance doesn't reach itself. A task that no
 * peer takes has not run, and is told at once; one that a peer may have sent is never given to another.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { AttemptFailure } from '@skylarksail/requests/RequestPorts';
import { isUnreached } from '@skylarksail/requests/RequestFailures';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { ForwardPeers } from './RelayForwardPeers.js';
import type { ForwardFrame, ForwardTask, OpenForward } from './RelayForwardTypes.js';
import { ForwardRefusal, getTaskServer, isLastFrame, shortenTask } from './RelayForwardTypes.js';
import type { InstanceEntry } from './RelayTypes.js';

export interface RelayForwardingOptions {
  readonly timers: TimerService;
  readonly peers: ForwardPeers;
  readonly openForward: OpenForward;
  /** A peer reached a server for this instance. */
  readonly onReached: (server: EngineId) => void;
  /** No peer that was asked reached a server. */
  readonly onUnreached: (server: EngineId) => void;
  /** A peer has taken a task, refused it, or failed at it, for the log. */
  readonly onStep: (task: ForwardTask, peer: InstanceId, what: string) => void;
}

/** Receives the events of a task; the last one is a last frame, `onNobody` or `onLost`. */
export interface ForwardTaskListener {
  onFrame(frame: ForwardFrame): void;
  /** No peer has taken the task, or none reached its server: nothing of it has run. */
  onNobody(): void;
  /** The link to the peer was lost after it had the task: it may have run. */
  onLost(): void;
}

export interface RelayForwarding {
  /** Gives a task to one peer after the other until one takes it; the returned function cancels it. */
  open(task: ForwardTask, listener: ForwardTaskListener): Unregister;
  /** Asks a question; null if no peer answers in time. */
  ask<K extends ForwardFrame['kind']>(
    task: ForwardTask,
    kind: K,
    timeout: Millis,
  ): Promise<Extract<ForwardFrame, { kind: K }> | null>;
}

/** Time without a first frame after which a peer counts as silent. */
const TAKE_TIMEOUT: Millis = 300;
/** Time after which no further peer is tried; the call can then still be told to go elsewhere. */
const SEARCH_TIME: Millis = 500;
/** Peers that may fail to reach a server before it counts as unreachable for all. */
const MAX_UNREACHED = 2;
const MAX_TRIES = 6;

/** Failure of a call whose way is lost; it blames no server. */
export function createLinkFailure(engine: EngineId): AttemptFailure {
  return {
    place: FailurePlace.Link,
    engine,
    status: null,
    retryAfter: null,
    provenNotRun: false,
  };
}

export function createRelayForwarding(options: RelayForwardingOptions): RelayForwarding {
  const { timers, peers, openForward, onStep } = options;

  function open(task: ForwardTask, listener: ForwardTaskListener): Unregister {
    const server = getTaskServer(task);
    const startedAt = timers.now();
    const tried = new Set<InstanceId>();
    let unreached = 0;
    let cancel: Unregister = () => undefined;

    function tryNext(): void {
      const isOver = timers.now() - startedAt >= SEARCH_TIME || tried.size >= MAX_TRIES;
      const peer = isOver || unreached >= MAX_UNREACHED ? null : peers.choose(server, tried);
      if (peer === null) {
        if (unreached > 0) {
          options.onUnreached(server);
        }
        listener.onNobody();
        return;
      }
      tried.add(peer.id);
      give(peer);
    }

    /** What the caller may be told while a peer has the task: it may run there until the peer has refused it. */
    function noteSent(isSent: boolean): void {
      if (isRun(task)) {
        listener.onFrame({ kind: 'connection', isSent });
      }
    }

    /** Gives the task to one peer, and goes on to the next if that one refuses it. */
    function give(peer: InstanceEntry): void {
      let isTaken = false;
      let isEnded = false;
      let stop: Unregister = () => undefined;
      const cancelTimeout = timers.registerTimeout(TAKE_TIMEOUT, () => {
        stop();
        close(true);
      });
      peers.noteBegun(peer.id);
      cancel = () => {
        if (end()) {
          stop();
        }
      };
      noteSent(true);

      function end(): boolean {
        const isFirst = !isEnded;
        isEnded = true;
        cancelTimeout();
        if (isFirst) {
          peers.noteEnded(peer.id);
        }
        return isFirst;
      }

      function close(isSent: boolean): void {
        if (!end()) {
          return;
        }
        onStep(task, peer.id, isTaken ? 'lost' : 'silent');
        if (!isTaken) {
          peers.noteSilent(peer.id);
        }
        if (isSent && isRun(task)) {
          listener.onLost();
        } else {
          passOn();
        }
      }

      function passOn(): void {
        noteSent(false);
        tryNext();
      }

      function onFrame(frame: ForwardFrame): void {
        if (isEnded) {
          return;
        }
        cancelTimeout();
        if (isLastFrame(frame)) {
          end();
        }
        if (frame.kind === 'refused') {
          onStep(task, peer.id, frame.reason);
          peers.noteRefused(peer.id, server, frame.reason);
          unreached += frame.reason === ForwardRefusal.Unreached ? 1 : 0;
          passOn();
        } else if (isUnreachedFrame(frame)) {
          onStep(task, peer.id, 'unreached');
          peers.noteUnreached(peer.id, server);
          unreached += 1;
          passOn();
        } else if (frame.kind === 'taken') {
          isTaken = true;
          onStep(task, peer.id, 'taken');
        } else {
          if (isSignOfServer(frame)) {
            peers.noteReached(peer.id);
            options.onReached(server);
          }
          if (frame.kind !== 'connection') {
            listener.onFrame(frame);
          }
        }
      }

      const elapsed = timers.now() - startedAt;
      stop = openForward(peer, shortenTask(task, elapsed), { onFrame, onClosed: close });
    }

    tryNext();
    return () => cancel();
  }

  return {
    open,
    ask(task, kind, timeout) {
      return new Promise((resolve) => {
        let cancel: Unregister = () => undefined;
        let cancelTimeout: Unregister = () => undefined;
        const finish = (frame: ForwardFrame | null): void => {
          cancelTimeout();
          resolve(
            frame?.kind === kind ? (frame as Extract<ForwardFrame, { kind: typeof kind }>) : null,
          );
        };
        cancelTimeout = timers.registerTimeout(timeout, () => {
          cancel();
          resolve(null);
        });
        cancel = open(task, {
          onFrame: finish,
          onNobody: () => finish(null),
          onLost: () => finish(null),
        });
      });
    },
  };
}

/** Whether a task runs a request, which must not be given to two peers. Orders carry the count that they expect. */
function isRun({ kind }: ForwardTask): boolean {
  return kind === 'engine-call' || kind === 'service-call';
}

/** Whether the peer could not connect to the server. */
function isUnreachedFrame(frame: ForwardFrame): boolean {
  switch (frame.kind) {
    case 'failure':
      return isUnreached(frame.failure);
    case 'checked':
      return !frame.isReached;
    default:
      return false;
  }
}

/** Whether a frame shows that the peer has a link to the server. */
function isSignOfServer(frame: ForwardFrame): boolean {
  switch (frame.kind) {
    case 'connection':
      return frame.isSent;
    case 'acknowledged':
    case 'answer':
    case 'checked':
      return true;
    case 'health':
      return frame.health.kind === 'well';
    case 'status':
      return frame.status !== null;
    default:
      return false;
  }
}
