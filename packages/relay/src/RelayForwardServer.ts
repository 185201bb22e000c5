/**
 * Carries out tasks of peers over this instance's own links. It decides nothing about them: the instance whose caller it
 * is has chosen the server, and applies its limits, permits and budgets, so that each counts once. It only bounds how many
 * it takes, and passes none on.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Catalogue } from './RelayCatalogue.js';
import type {
  ForwardFrame,
  ForwardRefusalName,
  ForwardTask,
  ServeForward,
} from './RelayForwardTypes.js';
import { ForwardRefusal, getTaskServer, isLastFrame, shortenTask } from './RelayForwardTypes.js';
import type { BackendPorts } from './RelayPorts.js';
import type { RelayBackoffs } from './RelayBackoffs.js';

export interface ForwardServerOptions {
  readonly timers: TimerService;
  /** Ports over this instance's own links. */
  readonly own: BackendPorts;
  readonly catalogue: Pick<Catalogue, 'get'>;
  /** Whether this instance reaches a server through peers only. */
  readonly isCut: (server: EngineId) => boolean;
  /** Whether a server may be reached over the own link, by what was tried a moment ago. */
  readonly mayReach: (server: EngineId) => boolean;
  /** Takes a permit for a call to a server; false if it needs one and none is left. */
  readonly takePermit: (server: EngineId) => boolean;
  readonly backoffs: Pick<RelayBackoffs, 'getTimeLeft' | 'noteSent'>;
  /** Maximum time for which something that is read now may have waited unread. */
  readonly getUnreadTime: () => Millis;
  /** A task was taken or refused, for the log. */
  readonly onTask: (task: ForwardTask, what: string) => void;
}

export interface ForwardServer {
  readonly serve: ServeForward;
  /** Refuses new tasks from now on. */
  startLeaving(): void;
  /** Waits for the tasks that run, for at most `limit`. */
  waitForEnds(limit: Millis): Promise<void>;
  countTasks(): number;
}

/** As many as an instance takes callers of its own under high load. */
const MAX_TASKS = 512;
const PROBE_TIMEOUT: Millis = 200;

export function createForwardServer(options: ForwardServerOptions): ForwardServer {
  const { timers, own, catalogue, isCut, mayReach, takePermit, onTask } = options;
  const waiters: (() => void)[] = [];
  let running = 0;
  let isLeaving = false;

  function findRefusal(task: ForwardTask): ForwardRefusalName | null {
    const server = getTaskServer(task);
    const entry = catalogue.get(server);
    const isCall = 'call' in task;
    if (isLeaving) {
      return ForwardRefusal.Leaving;
    }
    // The asking instance may not have heard yet that the server leaves.
    if (entry === null || (isCall && entry.state !== LifeState.Live)) {
      return ForwardRefusal.Unknown;
    }
    // It asked this instance for a backoff, and not the peer.
    if (isCut(server) || options.backoffs.getTimeLeft(server) > 0) {
      return ForwardRefusal.CutOff;
    }
    if (!mayReach(server)) {
      return ForwardRefusal.Unreached;
    }
    if (isCall && task.call.timeLeft <= 0) {
      // It waited unread for as long as its caller waits.
      return ForwardRefusal.Full;
    }
    const isFull = running >= MAX_TASKS || (isCall && !task.hasPermit && !takePermit(server));
    return isFull ? ForwardRefusal.Full : null;
  }

  function noteEnd(): void {
    running -= 1;
    if (running === 0) {
      waiters.splice(0).forEach((resolve) => resolve());
    }
  }

  return {
    serve(given, send, waited = 0) {
      const task = shortenTask(given, Math.max(waited, options.getUnreadTime()));
      const refusal = findRefusal(task);
      onTask(task, refusal ?? 'passed-on');
      if (refusal !== null) {
        send({ kind: 'refused', reason: refusal });
        return () => undefined;
      }
      options.backoffs.noteSent(getTaskServer(task));
      running += 1;
      let isOver = false;
      const finish = (): void => {
        if (!isOver) {
          isOver = true;
          noteEnd();
        }
      };
      send({ kind: 'taken' });
      const cancel = runTask(own, catalogue, task, (frame) => {
        if (isOver) {
          return;
        }
        if (isLastFrame(frame)) {
          finish();
        }
        send(frame);
      });
      return () => {
        if (!isOver) {
          finish();
          cancel();
        }
      };
    },
    startLeaving() {
      isLeaving = true;
    },
    waitForEnds: (limit) =>
      new Promise((resolve) => {
        if (running === 0 || limit <= 0) {
          resolve();
          return;
        }
        const cancelLimit = timers.registerTimeout(limit, resolve);
        waiters.push(() => {
          cancelLimit();
          resolve();
        });
      }),
    countTasks: () => running,
  };
}

function runTask(
  own: BackendPorts,
  catalogue: Pick<Catalogue, 'get'>,
  task: ForwardTask,
  send: (frame: ForwardFrame) => void,
): Unregister {
  switch (task.kind) {
    case 'engine-call':
      return own.openEngineCall(task.call, {
        onConnection: (isSent) => send({ kind: 'connection', isSent }),
        onAcknowledged: (acknowledgement) => send({ kind: 'acknowledged', acknowledgement }),
        onToken: (index, token) => send({ kind: 'token', index, token }),
        onEnd: (reason, tokenCount) => send({ kind: 'end', reason, tokenCount }),
        onFailure: (failure) => send({ kind: 'failure', failure }),
      });
    case 'service-call':
      return own.openServiceCall(task.call, {
        onConnection: (isSent) => send({ kind: 'connection', isSent }),
        onAnswer: (answer) => send({ kind: 'answer', answer }),
        onFailure: (failure) => send({ kind: 'failure', failure }),
      });
    default:
      void answerQuestion(own, catalogue, task).then(send);
      return () => undefined;
  }
}

type Question = Exclude<ForwardTask, { kind: 'engine-call' | 'service-call' }>;

async function answerQuestion(
  own: BackendPorts,
  catalogue: Pick<Catalogue, 'get'>,
  task: Question,
): Promise<ForwardFrame> {
  const entry = catalogue.get(task.server);
  if (entry === null) {
    return { kind: 'refused', reason: ForwardRefusal.Unknown };
  }
  switch (task.kind) {
    case 'check':
      return { kind: 'checked', isReached: await own.checkConnection(entry) };
    case 'health':
      return { kind: 'health', health: await own.readHealth(entry, PROBE_TIMEOUT) };
    case 'status':
      return { kind: 'status', status: await own.orders.readStatus(entry, PROBE_TIMEOUT) };
    default:
      return {
        kind: 'ordered',
        outcome: await own.orders.order(entry, task.range, task.orderCount, PROBE_TIMEOUT),
      };
  }
}
