/**
 * Accepts callers' requests: finds the route, team and service, submits the request to the router, and translates the
 * router's events into an answer.
 */
import { Priority, RunState } from '@skylarksail/core/CoreConstants';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, TeamId } from '@skylarksail/core/CoreTypes';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { RequestHandle, RequestProblem } from '@skylarksail/requests/RequestTypes';
import { ProblemKind } from '@skylarksail/requests/RequestTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import { drawService } from '@skylarksail/routes/RouteTable';
import type { PipelineFacts, Route, RoutedService } from '@skylarksail/routes/RouteTypes';
import { RouteKind } from '@skylarksail/routes/RouteTypes';
import type { RelayArrivals } from './RelayArrivals.js';
import type { ConfirmCurrent } from './RelayConfirm.js';
import { createEventTimes } from './RelayEventTimes.js';
import { ONLY_VERSION } from './RelayFacts.js';
import { getUnreadLimit, getUnreadTime, holdFor } from './RelayHeldCalls.js';
import type { StartGate } from './RelayStartGate.js';
import type { RelayCall, RelayListener, RelayRefusal } from './RelayTypes.js';

export interface RelayIntakeOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly router: RequestRouter;
  readonly getTable: () => RouteTable | null;
  /** Time since the local copy was last in sync with the store. */
  readonly getStaleness: () => Millis;
  /** Time within which a change must be in force on all instances after its acknowledgement. */
  readonly changeTime: Millis;
  readonly confirmCurrent: ConfirmCurrent;
  readonly arrivals: Pick<RelayArrivals, 'add'>;
  /** Holds requests until the first configuration is in force. */
  readonly startGate: Pick<StartGate, 'isOpen' | 'wait'>;
  readonly onDecision: (decision: {
    readonly request: string;
    readonly decision: string;
    readonly [field: string]: unknown;
  }) => void;
}

export interface RelayIntake {
  /** Accepts a request; the handle cancels it when the caller disconnects. */
  submit(call: RelayCall, listener: RelayListener): RequestHandle;
}

/** A call with its route, team and service, before it is submitted to the router. */
interface RoutedCall {
  readonly call: RelayCall;
  readonly route: Route;
  readonly team: TeamId;
  readonly priority: PriorityName;
  readonly service: RoutedService;
  /** Maximum time since its caller sent it. */
  readonly age: Millis;
  readonly deadline: Millis;
}

/** The configuration on which a refusal is based: a 404 or 401 may be due to a stale one. */
interface RefusalBasis {
  readonly version: number | null;
  readonly newsAge: Millis;
}

const Status = { Unauthorized: 401, NotFound: 404 } as const;
/** Callers without a key belong to no team. */
const NO_TEAM: TeamId = '';
/** Time reserved before the caller's deadline so that the answer still reaches the caller. */
const ANSWER_MARGIN: Millis = 20;
/** Retry delay while no configuration is in force: one arrives within a second or two after a start. */
const NO_CONFIG_RETRY: Millis = 500;
const DEFAULT_RETRY: Millis = 500;
/** Staleness can be understated by this much, the delay of a store answer that stalled before its first byte. */
const STALENESS_ERROR: Millis = 700;
/** Retry delay of a request that an instance which is behind did not begin: its retry goes to another. */
const BEHIND_RETRY: Millis = 50;
/** Retry delay of a stale instance: it usually catches up within a second, and other instances are current. */
const STALE_RETRY: Millis = 500;
/**
 * A lost chain is repaired within about five seconds, and a caller retries at most once. So a request waits here for
 * almost all of its caller's patience. Then it is refused with a retry delay after which the chain is most likely
 * complete, and the retry has the same patience again.
 */
const MAX_PATIENCE: Millis = 5000;
const PATIENCE_SHARE = 0.3;
/** Share of the caller's patience that is used: a refusal must arrive before the caller leaves for good. */
const CALLER_PATIENCE_SHARE = 0.85;
const CHAIN_RETRY: Millis = 4000;
/** An idempotent call is sent to another server after this many times the route's goal for the first answer. */
const ATTEMPT_TIMEOUT_FACTOR = 1;
const DRAIN_RETRY: Millis = 50;
/** Retry delay of a request that crashes engines: it must not be retried soon. */
const POISON_RETRY: Millis = 30_000;
/** Priorities by the rank of a route or team; rank 0 is the most urgent. */
const PRIORITIES: readonly PriorityName[] = [
  Priority.Urgent,
  Priority.High,
  Priority.Normal,
  Priority.Low,
];

const NO_HANDLE: RequestHandle = { cancel: () => undefined };

export function createRelayIntake(options: RelayIntakeOptions): RelayIntake {
  const { timers, random, router, getTable, getStaleness, confirmCurrent, onDecision } = options;
  const maxStaleness = Math.max(0, options.changeTime - STALENESS_ERROR);

  function refuse(
    call: RelayCall,
    listener: RelayListener,
    refusal: RelayRefusal,
    basis: Partial<RefusalBasis> = {},
  ): RequestHandle {
    onDecision({ request: call.id, decision: 'refused', ...refusal, ...basis });
    listener.onRefused(refusal);
    return NO_HANDLE;
  }

  function submit(call: RelayCall, listener: RelayListener): RequestHandle {
    return getTable() === null && !options.startGate.isOpen()
      ? submitLater(call, options.startGate.wait, (held) => submitArrived(held, listener))
      : submitArrived(call, listener);
  }

  /** Submits a request in its turn, unless its caller has left by then. */
  function submitArrived(call: RelayCall, listener: RelayListener): RequestHandle {
    const now = timers.now();
    let handle: RequestHandle = NO_HANDLE;
    const takeBack = options.arrivals.add({
      sentAt: now - (call.waited ?? 0) - (call.held ?? 0),
      holdUntil: now + getUnreadLimit(call),
      begin: () => {
        handle = submitNow(holdFor(call, timers.now() - now), listener);
      },
      refuse: () => {
        handle = refuse(call, listener, {
          status: 503,
          retryAfter: BEHIND_RETRY,
          reason: 'this instance is behind',
        });
      },
    });
    return {
      cancel() {
        takeBack();
        handle.cancel();
      },
    };
  }

  /** Submits a request after a wait, with the time that is left then, unless its caller disconnects before. */
  function submitLater(
    call: RelayCall,
    wait: (resume: () => void) => void,
    submitHeld: (call: RelayCall) => RequestHandle,
  ): RequestHandle {
    const startedAt = timers.now();
    let handle: RequestHandle | null = null;
    let isCancelled = false;
    wait(() => {
      if (!isCancelled) {
        handle = submitHeld(holdFor(call, timers.now() - startedAt));
      }
    });
    return {
      cancel() {
        isCancelled = true;
        handle?.cancel();
      },
    };
  }

  function submitNow(call: RelayCall, listener: RelayListener): RequestHandle {
    const routed = findRoute(call);
    if (!('status' in routed)) {
      return submitRouted(routed, listener);
    }
    return isUnknown(routed) && isStale()
      ? confirmUnknown(call, listener)
      : refuseUnrouted(call, listener, routed);
  }

  function refuseUnrouted(
    call: RelayCall,
    listener: RelayListener,
    refusal: RelayRefusal,
  ): RequestHandle {
    return refuse(call, listener, refusal, {
      version: getTable()?.config.version ?? null,
      newsAge: Math.round(getStaleness()),
    });
  }

  /** Whether this instance may lack a change that must already be in force. */
  function isStale(): boolean {
    return getStaleness() > maxStaleness;
  }

  /** Confirms with the store before refusing an unknown route or key, because the store may already have it. */
  function confirmUnknown(call: RelayCall, listener: RelayListener): RequestHandle {
    return submitLater(
      call,
      (resume) => confirmCurrent(resume),
      (held) => {
        const routed = findRoute(held);
        return 'status' in routed
          ? refuseUnrouted(held, listener, isStale() ? toRetryable(routed) : routed)
          : submitRouted(routed, listener);
      },
    );
  }

  function submitRouted(routed: RoutedCall, listener: RelayListener): RequestHandle {
    const { call, route, service } = routed;
    onDecision({
      request: call.id,
      decision: 'routed',
      route: route.name,
      version: getTable()?.config.version,
      service: service.id,
      team: routed.team,
      ...(call.waited ? { waitedMs: Math.round(call.waited) } : {}),
    });
    const { pipeline } = service;
    return pipeline ? submitStream(routed, pipeline, listener) : submitService(routed, listener);
  }

  function findRoute(call: RelayCall): RoutedCall | RelayRefusal {
    const table = getTable();
    if (table === null) {
      return { status: 503, retryAfter: NO_CONFIG_RETRY, reason: 'no configuration yet' };
    }
    const [path = ''] = call.path.split('?');
    const route = table.findRoute(call.host, path);
    if (route === null) {
      return { status: Status.NotFound, retryAfter: null, reason: 'no route' };
    }
    const team = call.key === null ? null : table.findTeam(call.key);
    if (table.config.teams !== null && team === null && !route.isPublic) {
      return { status: Status.Unauthorized, retryAfter: null, reason: 'unknown key' };
    }
    const drawn = drawService(route, random);
    const service = drawn === null ? null : table.findService(drawn);
    if (service === null) {
      return { status: 503, retryAfter: DEFAULT_RETRY, reason: 'no service' };
    }
    const waited = getUnreadTime(call, route);
    const timeLeft = Math.min(
      (call.timeLeft ?? Infinity) - waited,
      route.timeout - waited - (call.held ?? 0),
    );
    if (waited > 0 && timeLeft <= ANSWER_MARGIN) {
      return { status: 503, retryAfter: BEHIND_RETRY, reason: 'its time may have passed unread' };
    }
    return {
      call,
      route,
      team: team?.id ?? NO_TEAM,
      priority: PRIORITIES[team?.priority ?? route.priority] ?? Priority.Low,
      service,
      age: waited + (call.held ?? 0),
      deadline: timers.now() + Math.max(0, timeLeft - ANSWER_MARGIN),
    };
  }

  function submitStream(
    { call, route, team, priority, service, age, deadline }: RoutedCall,
    pipeline: PipelineFacts,
    listener: RelayListener,
  ): RequestHandle {
    const spec = {
      id: call.id,
      team,
      model: service.id,
      variant: { model: service.id, version: ONLY_VERSION, adapter: null },
      layerCount: pipeline.layers,
      original: { method: call.method, path: call.path, headers: call.headers, body: call.body },
      prompt: `${call.path}\n${Buffer.from(call.body).toString('latin1')}`,
      promptTokens: call.promptTokens,
      maxTokens: call.maxTokens,
      priority,
      deadline,
      idempotencyKey: null,
      idempotent: route.kind === RouteKind.Safe || route.isResumable,
      maxAttempts: route.maxAttempts,
      patience: Math.min(
        MAX_PATIENCE,
        PATIENCE_SHARE * (deadline - timers.now()),
        Math.max(0, CALLER_PATIENCE_SHARE * (route.callerPatience ?? Infinity) - age),
      ),
      sharedParts: call.sharedParts ?? [],
      prefixKeys: [],
      ...(route.isResumable && route.callerPatience !== null
        ? { breakAfter: CALLER_PATIENCE_SHARE * route.callerPatience }
        : {}),
    };
    const times = createEventTimes(timers.now());
    let hasStarted = false;
    return router.submit(spec, {
      onStart: (head) => {
        hasStarted = true;
        listener.onHead(head ?? { status: 200, headers: {} });
      },
      onToken: (_index, event) => {
        times.note(timers.now());
        listener.onEvent(event);
      },
      onEnd: () => {
        onDecision({ request: call.id, decision: 'answered', ...times.read(route) });
        listener.onEnd();
      },
      onError: (problem) => {
        if (hasStarted) {
          onDecision({
            request: call.id,
            decision: 'broken-off',
            reason: problem.kind,
            ...times.read(route),
          });
          listener.onAborted();
        } else {
          refuse(call, listener, toRefusal(problem));
        }
      },
    });
  }

  function submitService(
    { call, route, team, priority, service, deadline }: RoutedCall,
    listener: RelayListener,
  ): RequestHandle {
    const spec = {
      id: call.id,
      team,
      service: service.id,
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
      priority,
      deadline,
      idempotencyKey: null,
      idempotent: route.kind === RouteKind.Safe,
      maxAttempts: route.maxAttempts,
      attemptTimeout: ATTEMPT_TIMEOUT_FACTOR * route.firstAnswerGoal,
    };
    return router.submitService(spec, {
      onAnswer: (answer) => listener.onAnswer(answer),
      onError: (problem) => refuse(call, listener, toRefusal(problem)),
    });
  }

  return { submit };
}

function isUnknown({ status }: RelayRefusal): boolean {
  return status === Status.NotFound || status === Status.Unauthorized;
}

/**
 * Replaces a 404 or 401 with a 503, because other instances may already have the route or key. A caller gives up after
 * a 404 or 401 but retries after a 503, most likely at another instance.
 */
function toRetryable(refusal: RelayRefusal): RelayRefusal {
  return isUnknown(refusal)
    ? { status: 503, retryAfter: STALE_RETRY, reason: `${refusal.reason}, news is old` }
    : refusal;
}

/** Chooses a status that claims no more than is known: 503 only if the request has not run and never will. */
function toRefusal(problem: RequestProblem): RelayRefusal {
  const reason = `${problem.kind} ${problem.run}`;
  if (problem.run === RunState.NotRun) {
    return { status: 503, retryAfter: getRetryAfter(problem), reason };
  }
  const status = problem.kind === ProblemKind.Deadline ? 504 : 502;
  return { status, retryAfter: null, reason };
}

function getRetryAfter({ kind, retryAfter }: RequestProblem): Millis {
  switch (kind) {
    case ProblemKind.Draining:
      return DRAIN_RETRY;
    case ProblemKind.NoChain:
    case ProblemKind.EngineFailed:
      return CHAIN_RETRY;
    case ProblemKind.Poison:
      return POISON_RETRY;
    default:
      return retryAfter ?? DEFAULT_RETRY;
  }
}
