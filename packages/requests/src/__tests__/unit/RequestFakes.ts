/** Fake router ports for tests: engines that a test controls, and a record of all calls. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import { createChain } from '@skylarksail/core/CoreChain';
import { invariant } from '@skylarksail/core/CoreErrors';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  ClaimRequest,
  ClaimOutcome,
  ClaimPort,
  EngineCall,
  EngineCallListener,
  ServiceAnswer,
  ServiceCall,
  ServiceCallListener,
} from '../../RequestPorts.js';
import { FailurePlace } from '../../RequestPorts.js';
import type { RequestRouter } from '../../RequestRouter.js';
import { createRequestRouter } from '../../RequestRouter.js';
import type {
  ChainChoice,
  ChainRequest,
  RequestHandle,
  RequestProblem,
  RequestSpec,
} from '../../RequestTypes.js';
import type { DecisionRecord, RouterDeps, RouterMetric } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { ServiceSpec } from '../../ServiceTypes.js';

export const VARIANT = { model: 'm', version: 'v1', adapter: null };
const LAYERS = 12;

/** What the sink of a request received. */
export interface ReceivedAnswer {
  readonly tokens: string[];
  readonly ends: string[];
  readonly problems: RequestProblem[];
  readonly handle: RequestHandle;
}

/** A call that the fake engines received. */
export interface OpenedCall {
  readonly call: EngineCall;
  readonly listener: EngineCallListener;
  readonly openedAt: Millis;
  isCancelled: boolean;
}

export interface OpenedServiceCall {
  readonly call: ServiceCall;
  readonly listener: ServiceCallListener;
}

/** A claim whose outcome the test decides. */
export interface OpenedClaim {
  readonly ask: ClaimRequest;
  readonly answer: (outcome: ClaimOutcome) => void;
}

export interface FakeWorld {
  readonly timers: VirtualTimers;
  readonly router: RequestRouter;
  readonly calls: OpenedCall[];
  readonly serviceCalls: OpenedServiceCall[];
  readonly claims: OpenedClaim[];
  readonly claimLog: string[];
  readonly decisions: DecisionRecord[];
  readonly metrics: RouterMetric[];
  /** The fake choice of chains, for tests that observe or replace it. */
  readonly choices: Pick<RouterDeps, 'chooseChain' | 'chooseRepair'>;
  submit(id: string, change?: Partial<RequestSpec>): ReceivedAnswer;
  /** Returns the newest call. */
  last(): OpenedCall;
  count(name: RouterMetric['name']): number;
}

/** Creates a router with fake ports. By default engines `a…` hold the first half of the layers, `b…` the second. */
export function createFakeWorld(
  change: Partial<RouterDeps> = {},
  engines: readonly (readonly EngineId[])[] = [
    ['a1', 'a2', 'a3'],
    ['b1', 'b2', 'b3'],
  ],
): FakeWorld {
  const timers = createVirtualTimers();
  const calls: OpenedCall[] = [];
  const serviceCalls: OpenedServiceCall[] = [];
  const claims: OpenedClaim[] = [];
  const claimLog: string[] = [];
  const decisions: DecisionRecord[] = [];
  const metrics: RouterMetric[] = [];
  const claimPort: ClaimPort = {
    claim: (ask) =>
      new Promise((resolve) => {
        claims.push({ ask, answer: resolve });
      }),
    settle: (token, record) => claimLog.push(`settle ${token} ${record.run} ${record.answer}`),
    release: (token) => claimLog.push(`release ${token}`),
  };

  function choose(
    request: ChainRequest,
    kept: Chain | null,
    failed: readonly EngineId[],
  ): ChainChoice {
    const stages: (Stage | null)[] = engines.map((group, i) => {
      const before = kept?.stages[i]?.engine;
      const isKept = before !== undefined && !failed.includes(before);
      const engine = isKept
        ? before
        : group.find((id) => !request.avoid.includes(id) && (i > 0 || mayBegin(request, id)));
      const first = (i * LAYERS) / engines.length;
      return engine ? { engine, layers: { first, end: first + LAYERS / engines.length } } : null;
    });
    const chain = createChain(
      VARIANT,
      LAYERS,
      stages.filter((stage) => stage !== null),
    );
    return chain.ok
      ? {
          kind: 'chain',
          chain: chain.value,
          importFrom: [],
          hold: { noteFirstToken: () => undefined, release: () => undefined },
        }
      : { kind: 'none', isFull: false, retryAfter: 500 };
  }

  const choices: FakeWorld['choices'] = {
    chooseChain: (request) => choose(request, null, []),
    chooseRepair: (request) => choose(request, request.broken, request.failed),
  };
  const router = createRequestRouter({
    cfg: DEFAULT_ROUTER_CONFIG,
    timers,
    random: createRandom(1),
    ...choices,
    openEngineCall: (call, listener) => {
      const opened = { call, listener, openedAt: timers.now(), isCancelled: false };
      calls.push(opened);
      return () => {
        opened.isCancelled = true;
      };
    },
    chooseServer: (_service, avoid) => {
      const server = ['s1', 's2'].find((id) => !avoid.includes(id));
      return server ? { server, release: () => undefined } : null;
    },
    openServiceCall: (call, listener) => {
      serviceCalls.push({ call, listener });
      return () => undefined;
    },
    claims: claimPort,
    getTeamLimits: () => ({ share: 1, queueLimit: 64 }),
    getKvCapacity: () => null,
    getBootId: (engine) => `boot-of-${engine}`,
    onDecision: (record) => decisions.push(record),
    onCount: (metric) => metrics.push(metric),
    ...change,
  });

  return {
    timers,
    router,
    calls,
    serviceCalls,
    claims,
    claimLog,
    decisions,
    metrics,
    choices,
    submit(id, specChange = {}) {
      const tokens: string[] = [];
      const ends: string[] = [];
      const problems: RequestProblem[] = [];
      const handle = router.submit(createSpec(id, timers.now(), specChange), {
        onStart: () => undefined,
        onToken: (index, token) => {
          invariant(index === tokens.length, `token ${index} comes after ${tokens.length}`);
          tokens.push(token);
        },
        onEnd: (reason) => ends.push(reason),
        onError: (problem) => problems.push(problem),
      });
      return { tokens, ends, problems, handle };
    },
    last() {
      const opened = calls.at(-1);
      invariant(opened, 'a call was opened');
      return opened;
    },
    count: (name) =>
      metrics.filter((metric) => metric.name === name).reduce((sum, { value }) => sum + value, 0),
  };
}

function mayBegin({ firstEngines = null }: ChainRequest, engine: EngineId): boolean {
  return firstEngines === null || firstEngines.includes(engine);
}

export function createSpec(id: string, now: Millis, change: Partial<RequestSpec>): RequestSpec {
  return {
    id,
    team: 't',
    model: VARIANT.model,
    variant: VARIANT,
    layerCount: LAYERS,
    prompt: `prompt of ${id}`,
    maxTokens: 100,
    priority: 'normal',
    deadline: now + 60_000,
    idempotencyKey: null,
    idempotent: true,
    prefixKeys: [],
    ...change,
  };
}

/** Acknowledges a call with the chain that it asked for. */
export function acknowledge({ call, listener }: OpenedCall): void {
  listener.onAcknowledged({ variant: call.chain.variant, stages: call.chain.stages });
}

/** Sends the expected tokens from index `from` up to, not including, `to`, one every `gap`. */
export function sendTokens(
  world: FakeWorld,
  opened: OpenedCall,
  from: number,
  to: number,
  gap: Millis = 30,
): void {
  for (let i = from; i < to; i++) {
    world.timers.advanceTo(world.timers.now() + gap);
    opened.listener.onToken(i, `w${i}`);
  }
}

/** Returns the first tokens of the expected answer. */
export function listWords(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `w${i}`);
}

export function createFailure(change: Partial<AttemptFailure>): AttemptFailure {
  return {
    place: FailurePlace.Stream,
    engine: null,
    status: null,
    retryAfter: null,
    provenNotRun: false,
    ...change,
  };
}

export function listEngines({ call }: OpenedCall): EngineId[] {
  return call.chain.stages.map((stage) => stage.engine);
}

/** Submits a call to a plain service and records what its caller receives. */
export function callService(world: FakeWorld, id: string, change: Partial<ServiceSpec> = {}) {
  const answers: ServiceAnswer[] = [];
  const problems: RequestProblem[] = [];
  const spec: ServiceSpec = {
    id,
    team: 't',
    service: 's',
    method: 'POST',
    path: '/p',
    headers: {},
    body: new Uint8Array([1]),
    priority: 'normal',
    deadline: world.timers.now() + 10_000,
    idempotencyKey: null,
    idempotent: false,
    ...change,
  };
  const handle = world.router.submitService(spec, {
    onAnswer: (answer) => answers.push(answer),
    onError: (problem) => problems.push(problem),
  });
  return { answers, problems, handle };
}
