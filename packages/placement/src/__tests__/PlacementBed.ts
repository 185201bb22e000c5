/** Simulated engines that take orders, fail and report late, and instances that place them over one fake store. */
import type { EngineLoad, Holding } from '@skylarksail/core/CoreEngine';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { TimerService, VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { createFakeStore } from '@skylarksail/store/FakeStore';
import { computeModelCapacity } from '../PlacementCapacity.js';
import type {
  EngineReport,
  Order,
  OrderAnswer,
  PlacementDecision,
} from '../PlacementOrderTypes.js';
import { planPlacement } from '../PlacementPlan.js';
import type { PlacementRunner, PlacementRunnerDeps } from '../PlacementRunner.js';
import { startPlacementRunner } from '../PlacementRunner.js';
import type { PlacementEngine, PlacementManifest } from '../PlacementTypes.js';

const WIRE_DELAY: Millis = 5;
const RESTART_TIME: Millis = 4000;

/** How an engine misbehaves. */
export interface BedFaults {
  readonly refuses: boolean;
  readonly halfFinishes: boolean;
  readonly crashesOnLoad: boolean;
  readonly losesAnswers: boolean;
  readonly losesOrders: boolean;
  readonly isGone: boolean;
  readonly isLeaving: boolean;
}

export interface TakenOrder {
  readonly engine: EngineId;
  readonly number: number;
  readonly at: Millis;
  readonly by: string;
  readonly want: Holding | null;
  readonly bytes: number;
  readonly boot: number;
}

export interface BedOptions {
  readonly engines: readonly PlacementEngine[];
  readonly manifest: PlacementManifest;
  readonly seed?: number;
  readonly loadMsPerLayer?: Millis;
  readonly reportLag?: Millis;
  /** Whether the engines hold their targets from the start. */
  readonly isPlaced?: boolean;
  readonly deps?: Partial<PlacementRunnerDeps>;
}

interface EngineState {
  holding: Holding | null;
  highest: number;
  boots: number;
  upAt: Millis;
  faults: Partial<BedFaults>;
}

/** An instance's process. While it is paused, its timers do not fire. */
interface Process {
  paused: boolean;
  /** Orders that the process has written and its machine has not sent; null if they are sent at once. */
  held: (() => void)[] | null;
  /** Listeners of timers that came due during the pause. */
  readonly waiting: (() => void)[];
}

export function createBed(options: BedOptions) {
  const timers: VirtualTimers = createVirtualTimers(0);
  const random = createRandom(options.seed ?? 1);
  const platform = createFakeStore({ timers, random });
  const loadTimePerLayer = options.loadMsPerLayer ?? 200;
  const reportLag = options.reportLag ?? 3000;
  const taken: TakenOrder[] = [];
  const refused: TakenOrder[] = [];
  const decisions: (PlacementDecision & { readonly at: Millis })[] = [];
  const processes = new Map<string, Process>();
  const runners = new Map<string, PlacementRunner>();
  const states = new Map<EngineId, EngineState>();
  const history: { readonly at: Millis; readonly reports: readonly EngineReport[] }[] = [];
  const manifests = new Map<string, PlacementManifest>();
  let { engines, manifest } = options;

  const { targets } = planPlacement({ domain: 'd1', manifest, engines });
  engines.forEach(({ facts }) => {
    states.set(facts.id, createState(options.isPlaced ? (targets.get(facts.id) ?? null) : null));
  });

  function createState(holding: Holding | null): EngineState {
    return { holding, highest: 0, boots: 1, upAt: 0, faults: {} };
  }

  function getState(engine: EngineId): EngineState {
    return states.get(engine) as EngineState;
  }

  function isUp({ faults, upAt }: EngineState): boolean {
    return !faults.isGone && timers.now() >= upAt;
  }

  function createReports(): readonly EngineReport[] {
    return engines.flatMap(({ facts }) => {
      const state = getState(facts.id);
      const load: EngineLoad = {
        engine: facts.id,
        bootId: `${facts.id}/${state.boots}`,
        state: state.faults.isLeaving ? 'leaving' : 'live',
        holding: state.holding,
        running: 0,
        queued: 0,
        kvUsed: 0,
        orderNumber: state.highest,
      };
      return isUp(state) ? [{ facts, load }] : [];
    });
  }

  function crash(engine: EngineId): void {
    const state = getState(engine);
    state.boots += 1;
    state.holding = null;
    state.highest = 0;
    state.upAt = timers.now() + RESTART_TIME;
  }

  function countBytes(want: Holding | null): number {
    const model = want && manifest.getModel(want.model);
    const version = model?.versions.find(({ id }) => id === want?.version);
    return want && version ? (want.layers.end - want.layers.first) * version.layerBytes : 0;
  }

  /** Handles an order that arrives at an engine. */
  function receive(by: string, engine: EngineId, order: Order, answer: (a: OrderAnswer) => void) {
    const state = getState(engine);
    const { faults, boots } = state;
    if (faults.losesOrders || !isUp(state)) {
      return;
    }
    const { number, want } = order;
    const record = {
      engine,
      number,
      at: timers.now(),
      by,
      want,
      bytes: countBytes(want),
      boot: boots,
    };
    const accelerator = engines.find(({ facts }) => facts.id === engine)?.facts.accelerator ?? '';
    const checksFencing = manifest.getAccelerator(accelerator)?.checksFencing ?? false;
    if (faults.refuses || (checksFencing && number < state.highest)) {
      refused.push(record);
      answer({ kind: 'refused', highest: state.highest });
      return;
    }
    state.highest = Math.max(state.highest, number);
    taken.push(record);
    state.holding = null;
    const layers = want ? want.layers.end - want.layers.first : 0;
    timers.registerTimeout(layers * loadTimePerLayer, () => {
      if (state.boots !== boots) {
        return;
      }
      if (state.faults.crashesOnLoad) {
        crash(engine);
        return;
      }
      const partialHolding = want && {
        ...want,
        layers: { ...want.layers, end: want.layers.first + 1 },
      };
      state.holding = state.faults.halfFinishes ? partialHolding : want;
      if (!state.faults.losesAnswers) {
        answer({ kind: 'done', holding: state.holding });
      }
    });
  }

  function createProcessTimers(process: Process): TimerService {
    const guard = (listener: () => void) => () => {
      if (process.paused) {
        process.waiting.push(listener);
      } else {
        listener();
      }
    };
    return {
      now: timers.now,
      registerTimeout: (delay, listener) => timers.registerTimeout(delay, guard(listener)),
      registerInterval: (period, listener) => timers.registerInterval(period, guard(listener)),
    };
  }

  function sendOrder(by: string, engine: EngineId, order: Order): Promise<OrderAnswer> {
    return new Promise((resolve) => {
      const answer = (result: OrderAnswer) =>
        timers.registerTimeout(WIRE_DELAY, () => resolve(result));
      const transmit = () =>
        timers.registerTimeout(WIRE_DELAY, () => receive(by, engine, order, answer));
      const process = processes.get(by) as Process;
      if (process.held) {
        process.held.push(transmit);
      } else {
        transmit();
      }
      timers.registerTimeout(60_000, () => resolve({ kind: 'unknown' }));
    });
  }

  function start(instance: string, deps: Partial<PlacementRunnerDeps> = {}): PlacementRunner {
    const process: Process = { paused: false, held: null, waiting: [] };
    processes.set(instance, process);
    const runner = startPlacementRunner({
      domain: 'd1',
      timers: createProcessTimers(process),
      random,
      platform: platform.connect(instance),
      instance,
      isOwnDuty: () => true,
      getManifest: () => manifests.get(instance) ?? manifest,
      listReports: () =>
        history.findLast(({ at }) => at <= timers.now() - reportLag)?.reports ?? [],
      sendOrder: (engine, order) => sendOrder(instance, engine, order),
      onDecision: (decision) => decisions.push({ ...decision, at: timers.now() }),
      weights: { bytesPerSecond: 1e13, burst: 60_000 },
      ...options.deps,
      ...deps,
    });
    runners.set(instance, runner);
    return runner;
  }

  const recordReports = () => history.push({ at: timers.now(), reports: createReports() });
  recordReports();
  timers.registerInterval(1000, recordReports);

  return {
    timers,
    platform,
    taken,
    refused,
    decisions,
    start,
    crash,
    getRunner: (instance: string) => runners.get(instance) as PlacementRunner,
    getHolding: (engine: EngineId) => getState(engine).holding,
    setFaults(engine: EngineId, faults: Partial<BedFaults>) {
      const state = getState(engine);
      state.faults = { ...state.faults, ...faults };
    },
    addEngine(engine: PlacementEngine) {
      engines = [...engines, engine];
      states.set(engine.facts.id, createState(null));
    },
    /** Sets the manifest of all instances, or of `instance` only. */
    setManifest(next: PlacementManifest, instance?: string) {
      if (instance === undefined) {
        manifest = next;
        manifests.clear();
      } else {
        manifests.set(instance, next);
      }
    },
    setHighestOrderNumber(engine: EngineId, number: number) {
      getState(engine).highest = number;
    },
    holdOrders(instance: string) {
      (processes.get(instance) as Process).held = [];
    },
    releaseOrders(instance: string) {
      const process = processes.get(instance) as Process;
      process.held?.forEach((put) => put());
      process.held = null;
    },
    pause(instance: string) {
      (processes.get(instance) as Process).paused = true;
    },
    /** Resumes a process. Its overdue timers fire with the latest first, which is the worst order. */
    resume(instance: string) {
      const process = processes.get(instance) as Process;
      process.paused = false;
      process.waiting
        .splice(0)
        .reverse()
        .forEach((run) => run());
    },
    run: (time: Millis) => timers.advanceToAsync(timers.now() + time),
    /** Tokens per second that the engines that are up provide. */
    getCapacity(id: string): number {
      const model = manifest.getModel(id);
      const serving = engines.flatMap((engine) => {
        const state = getState(engine.facts.id);
        return state.holding && isUp(state) && !state.faults.isLeaving
          ? [{ engine, holding: state.holding }]
          : [];
      });
      return model ? computeModelCapacity(model, serving) : 0;
    },
    /** Counts the moves left in a plan made from the engines' actual state. */
    countMovesLeft(): number {
      const actualEngines = engines.map((engine) => {
        const state = getState(engine.facts.id);
        return {
          ...engine,
          holding: state.holding,
          expected: state.holding,
          isUsable: isUp(state),
        };
      });
      const plan = planPlacement({ domain: 'd1', manifest, engines: actualEngines });
      return plan.moves.length + plan.blocked.length;
    },
  };
}

export type Bed = ReturnType<typeof createBed>;
