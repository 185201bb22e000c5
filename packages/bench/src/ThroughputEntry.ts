/** A simulated entry instance: a bounded priority queue, a routing policy and calls to the fleet. */
import { getPriorityRank, MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { EngineCall, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { ChainQuery } from '@skylarksail/routing/RoutingChoice';
import type { RoutedCall } from '@skylarksail/routing/RoutingState';
import type { BenchPolicy } from './ThroughputPolicies.js';
import type { BenchRequestKind } from './ThroughputShapes.js';
import { BENCH_VARIANT } from './ThroughputShapes.js';

/** One request of the bench. */
export interface BenchRequest {
  readonly id: string;
  readonly work: BenchRequestKind;
  /** Text that the virtual engines parse: `prefix key/prefix tokens/own tokens`. */
  readonly prompt: string;
  readonly prefixKey: string;
  readonly ownTokens: number;
  readonly answerTokens: number;
  readonly arrivedAt: Millis;
}

/** Receives the events that the callers of an instance observe. */
export interface BenchMeter {
  onArrived(answerTokens: number): void;
  onFirstToken(wait: Millis, now: Millis): void;
  onTokenGap(gap: Millis, now: Millis): void;
  onToken(now: Millis): void;
  onRefused(): void;
  onFailed(): void;
}

export interface BenchEntryOptions {
  readonly timers: TimerService;
  readonly domain: DomainId;
  readonly layerCount: number;
  readonly policy: BenchPolicy;
  readonly open: OpenEngineCall;
  readonly meter: BenchMeter;
}

const QUEUE_LIMIT = 64;
/** A request that waits longer is refused, because its first token would come too late. */
const MAX_WAIT_MS = 1000;
const RETRY_PERIOD_MS = 10;
const NO_ENGINES: ReadonlySet<string> = new Set();

/** Starts an instance and returns the function that accepts the requests of its callers. */
export function createBenchEntry(options: BenchEntryOptions): (req: BenchRequest) => void {
  const { timers, policy, meter } = options;
  let queue: BenchRequest[] = [];

  function accept(req: BenchRequest): void {
    meter.onArrived(req.answerTokens);
    let position = queue.length;
    const rank = getPriorityRank(req.work.priority);
    while (
      position > 0 &&
      getPriorityRank((queue[position - 1] as BenchRequest).work.priority) < rank
    ) {
      position -= 1;
    }
    queue.splice(position, 0, req);
    if (queue.length > QUEUE_LIMIT) {
      queue.pop();
      meter.onRefused();
    }
    dispatch();
  }

  function dispatch(): void {
    const earliestArrival = timers.now() - MAX_WAIT_MS;
    const waiting = queue.filter(({ arrivedAt }) => arrivedAt >= earliestArrival);
    for (let i = waiting.length; i < queue.length; i++) {
      meter.onRefused();
    }
    queue = waiting;
    while (queue.length > 0) {
      const req = queue[0] as BenchRequest;
      const routed = policy.choose(createChainQuery(req));
      if (!routed) {
        return;
      }
      queue.shift();
      run(req, routed);
    }
  }

  function createChainQuery(req: BenchRequest): ChainQuery {
    const { prefixTokens, priority } = req.work;
    return {
      variant: BENCH_VARIANT,
      layerCount: options.layerCount,
      domain: options.domain,
      priority,
      promptTokens: prefixTokens + req.ownTokens,
      maxTokens: req.answerTokens,
      prefixKeys: [{ key: req.prefixKey, tokens: prefixTokens }],
      avoidEngines: NO_ENGINES,
      now: timers.now(),
    };
  }

  function run(req: BenchRequest, routed: RoutedCall): void {
    const startedAt = timers.now();
    let firstAt: Millis | null = null;
    let lastAt = startedAt;
    policy.onStart(routed, startedAt);

    function end(): void {
      const gaps = req.answerTokens - 1;
      const meanGap = firstAt !== null && gaps > 0 ? (lastAt - firstAt) / gaps : null;
      policy.onEnd(routed, (firstAt ?? timers.now()) - startedAt, meanGap, timers.now());
      dispatch();
    }

    const call: EngineCall = {
      request: req.id,
      attempt: 1,
      chain: routed.chain,
      team: 'bench',
      original: null,
      prompt: req.prompt,
      resumeTokens: [],
      maxTokens: req.answerTokens,
      priority: req.work.priority,
      timeLeft: 60 * MILLIS_PER_SECOND,
      importFrom: [],
    };
    options.open(call, {
      onAcknowledged() {},
      onToken() {
        const now = timers.now();
        meter.onToken(now);
        if (firstAt === null) {
          firstAt = now;
          meter.onFirstToken(now - req.arrivedAt, now);
          policy.onFirstToken(routed, now);
        } else {
          meter.onTokenGap(now - lastAt, now);
        }
        lastAt = now;
      },
      onEnd: end,
      onFailure() {
        meter.onFailed();
        end();
      },
    });
  }

  timers.registerInterval(RETRY_PERIOD_MS, dispatch);
  return accept;
}
