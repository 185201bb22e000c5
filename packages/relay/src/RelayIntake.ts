/**
 * Takes callers' requests: finds route, team and service, hands the work to the router, and turns what
 * the router says of it into an answer.
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
import type { ConfirmCurrent } from './RelayConfirm.js';
import { ONLY_VERSION } from './RelayFacts.js';
import type { RelayCall, RelayListener, RelayRefusal } from './RelayTypes.js';

export interface RelayIntakeOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly router: RequestRouter;
  readonly getTable: () => RouteTable | null;
  /** Time since this instance last knew all that the store held. */
  readonly getStaleness: () => Millis;
  /** Time after its acknowledgement in which a change is to be in force everywhere. */
  readonly changeTime: Millis;
  readonly confirmCurrent: ConfirmCurrent;
  readonly onDecision: (decision: {
    readonly request: string;
    readonly decision: string;
    readonly [field: string]: unknown;
  }) => void;
}

export interface RelayIntake {
  /** Takes a request; the handle is for a caller that leaves. */
  submit(call: RelayCall, listener: RelayListener): RequestHandle;
}

/** What was found out about a call before it goes to the router. */
interface RoutedCall {
  readonly call: RelayCall;
  readonly route: Route;
  readonly team: TeamId;
  readonly priority: PriorityName;
  readonly service: RoutedService;
  readonly deadline: Millis;
}

/** By what configuration a call was refused: a 404 or 401 may mean that it is behind. */
interface RefusalBasis {
  readonly version: number | null;
  readonly newsAge: Millis;
}

const Status = { Unauthorized: 401, NotFound: 404 } as const;
/** Callers without a key belong to no team. */
const NO_TEAM: TeamId = '';
/** Time left to answer within the caller's own deadline, so that the answer still reaches it. */
const ANSWER_TIME: Millis = 20;
/** When to come back while no configuration is known: it comes within a second or two of a start. */
const NO_CONFIG_RETRY: Millis = 500;
const DEFAULT_RETRY: Millis = 500;
/** The age of news may leave out so much: an answer of the store that stood still before its first byte. */
const NEWS_AGE_ERROR: Millis = 700;
/** An instance that is behind mostly catches up within a second, and others are not behind. */
const BEHIND_RETRY: Millis = 500;
/**
 * A lost chain is mended within some five seconds, and a caller may come back once at most. So a request
 * waits here for nearly as long as its caller bears silence; then it is refused, and told to come back
 * when the chain is most likely whole, with as much patience again.
 */
const MOST_PATIENCE: Millis = 5000;
const PATIENCE_SHARE = 0.3;
/** Part of the caller's patience: it is told to come back before it has left for good. */
const CALLER_PATIENCE_SHARE = 0.85;
const CHAIN_RETRY: Millis = 4000;
/** An idempotent call goes to another server after so many times the time that is on time. */
const ATTEMPT_GOALS = 1;
const DRAIN_RETRY: Millis = 50;
/** A request that crashes engines is not worth a resend soon. */
const POISON_RETRY: Millis = 30_000;
/** Ranks of routes, 0 first, to our priorities. */
const PRIORITIES: readonly PriorityName[] = [
  Priority.Urgent,
  Priority.High,
  Priority.Normal,
  Priority.Low,
];

const NO_HANDLE: RequestHandle = { cancel: () => undefined };

export function createRelayIntake(options: RelayIntakeOptions): RelayIntake {
  const {
    timers,
    random,
    router,
    getTable,
    getStaleness: getNewsAge,
    confirmCurrent: confirmNews,
    onDecision,
  } = options;
  const longestNewsAge = Math.max(0, options.changeTime - NEWS_AGE_ERROR);

  function refuse(
    call: RelayCall,
    listener: RelayListener,
    refusal: RelayRefusal,
    judgedBy: Partial<RefusalBasis> = {},
  ): RequestHandle {
    onDecision({ request: call.id, decision: 'refused', ...refusal, ...judgedBy });
    listener.onRefused(refusal);
    return NO_HANDLE;
  }

  function submit(call: RelayCall, listener: RelayListener): RequestHandle {
    const routed = findRoute(call);
    if (!('status' in routed)) {
      return submitRouted(routed, listener);
    }
    return isUnknown(routed) && isBehind()
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
      newsAge: Math.round(getNewsAge()),
    });
  }

  /** Whether a change that is to be in force by now may be missing here. */
  function isBehind(): boolean {
    return getNewsAge() > longestNewsAge;
  }

  /** What is not known here may be in the store already: it is asked first. */
  function confirmUnknown(call: RelayCall, listener: RelayListener): RequestHandle {
    const askedAt = timers.now();
    let handle: RequestHandle | null = null;
    let hasLeft = false;
    confirmNews(() => {
      if (hasLeft) {
        return;
      }
      const waited = timers.now() - askedAt;
      const timeLeft = call.timeLeft === null ? null : Math.max(0, call.timeLeft - waited);
      const routed = findRoute({ ...call, timeLeft });
      handle =
        'status' in routed
          ? refuseUnrouted(call, listener, isBehind() ? softenUnknown(routed) : routed)
          : submitRouted(routed, listener);
    });
    return {
      cancel() {
        hasLeft = true;
        handle?.cancel();
      },
    };
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
    const patience = Math.min(call.timeLeft ?? Infinity, route.timeout);
    return {
      call,
      route,
      team: team?.id ?? NO_TEAM,
      priority: PRIORITIES[team?.priority ?? route.priority] ?? Priority.Low,
      service,
      deadline: timers.now() + Math.max(0, patience - ANSWER_TIME),
    };
  }

  function submitStream(
    { call, route, team, priority, service, deadline }: RoutedCall,
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
        MOST_PATIENCE,
        PATIENCE_SHARE * (deadline - timers.now()),
        CALLER_PATIENCE_SHARE * (route.callerPatience ?? Infinity),
      ),
      prefixKeys: [],
      ...(route.isResumable && route.callerPatience !== null
        ? { breakAfter: CALLER_PATIENCE_SHARE * route.callerPatience }
        : {}),
    };
    const times = createEventTimes(timers.now());
    let hasBegun = false;
    return router.submit(spec, {
      onStart: (head) => {
        hasBegun = true;
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
        if (hasBegun) {
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
      attemptTimeout: ATTEMPT_GOALS * route.firstAnswerGoal,
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
 * What this instance does not know may be new to it alone. A caller gives up after 404 or 401, and after 503 it comes
 * back, most likely at another instance.
 */
function softenUnknown(refusal: RelayRefusal): RelayRefusal {
  return isUnknown(refusal)
    ? { status: 503, retryAfter: BEHIND_RETRY, reason: `${refusal.reason}, news is old` }
    : refusal;
}

/** How an answer's events came, so that a late one can be told from the log. */
interface EventTimes {
  note(now: Millis): void;
  read(route: Pick<Route, 'firstAnswerGoal' | 'pauseGoal'>): EventReport;
}

interface EventReport {
  readonly events: number;
  readonly firstMs: Millis;
  readonly longestPauseMs: Millis;
  /** Which of the route's goals was missed first; left out if both were kept. */
  readonly lateBy?: 'first' | 'pause';
}

function createEventTimes(start: Millis): EventTimes {
  let events = 0;
  let first = 0;
  let last = start;
  let longestPause = 0;
  return {
    note(now) {
      if (events === 0) {
        first = now - start;
      } else {
        longestPause = Math.max(longestPause, now - last);
      }
      events += 1;
      last = now;
    },
    read: ({ firstAnswerGoal, pauseGoal }) => {
      const isLateFirst = first > firstAnswerGoal;
      const isLate = isLateFirst || longestPause > (pauseGoal ?? Infinity);
      return {
        events,
        firstMs: Math.round(first),
        longestPauseMs: Math.round(longestPause),
        ...(isLate ? { lateBy: isLateFirst ? 'first' : 'pause' } : {}),
      };
    },
  };
}

/** A status that promises no more than is known: 503 only of what has not run and never will. */
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
