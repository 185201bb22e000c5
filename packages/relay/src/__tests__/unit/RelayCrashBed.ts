/** Instances before engines that end under some requests, alone or as a rack, and come back, in virtual time. */
import type { DomainId, LayerRange, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { PartsBed } from './RelayPartsBed.js';
import { BACKENDS, createPartsBed } from './RelayPartsBed.js';

/** A run of a request that crashes engines. */
export interface CrashingRun {
  readonly request: string;
  readonly engine: string;
  readonly at: Millis;
}

interface BedEngine {
  readonly id: string;
  readonly range: LayerRange;
  readonly domain: DomainId;
}

/** A run of a request that does no harm. */
interface HarmlessRun {
  readonly engines: readonly string[];
  readonly fail: (engine: string) => void;
}

const RANGES = [0, 2, 4, 6].map((first) => ({ first, end: first + 2 }));
const COPIES = 8;
/** Time from the begin of a run to the end of its engine. */
export const CRASH_DELAY: Millis = 90;
const HARMLESS_TIME: Millis = 800;
const RESTART_TIME: Millis = 1000;
/** Part of the path of a request that crashes the first engine of its chain. */
const CRASHING = 'crash';

export function createCrashBed(domains: readonly DomainId[] = ['d1']) {
  const runs: CrashingRun[] = [];
  const harmless = new Set<HarmlessRun>();
  const engines = new Map<string, BedEngine>();
  let starts = 0;
  let started: PartsBed | null = null;

  function addEngine(id: string, range: LayerRange, domain: DomainId): void {
    engines.set(id, { id, range, domain });
    started?.addEngine(id, range, domain);
  }

  /** Ends an engine, which comes back under another id. */
  function endEngine(id: string): void {
    const engine = engines.get(id);
    const { crashed, timers, store } = started as PartsBed;
    if (!engine || crashed.has(id)) {
      return;
    }
    crashed.add(id);
    [...harmless].filter((run) => run.engines.includes(id)).forEach(({ fail }) => fail(id));
    timers.registerTimeout(RESTART_TIME, () => {
      store.remove(`${BACKENDS}${id}`);
      engines.delete(id);
      starts += 1;
      addEngine(`r${starts}`, engine.range, engine.domain);
    });
  }

  function runHarmless(
    running: readonly string[],
    onCrash: (engine: string) => void,
    onEnd: () => void,
  ): Unregister {
    const { timers } = started as PartsBed;
    const cancel = timers.registerTimeout(HARMLESS_TIME, () => {
      stop();
      onEnd();
    });
    const run: HarmlessRun = {
      engines: running,
      fail: (engine) => {
        stop();
        onCrash(engine);
      },
    };
    function stop(): void {
      cancel();
      harmless.delete(run);
    }
    harmless.add(run);
    return stop;
  }

  const openCall: OpenEngineCall = (call, listener) => {
    const { timers, crashed } = started as PartsBed;
    const chain = call.chain.stages.map(({ engine }) => engine);
    const dead = chain.find((engine) => crashed.has(engine));
    const [first = ''] = chain;
    const [path = ''] = call.prompt.split('\n');
    if (dead !== undefined) {
      queueMicrotask(() =>
        listener.onFailure({
          place: dead === first ? FailurePlace.Connect : FailurePlace.Stage,
          engine: dead,
          status: null,
          retryAfter: null,
          provenNotRun: true,
        }),
      );
      return () => undefined;
    }
    queueMicrotask(() =>
      listener.onAcknowledged({ variant: call.chain.variant, stages: call.chain.stages }),
    );
    const fail = (engine: string): void =>
      listener.onFailure({
        place: engine === first ? FailurePlace.Stream : FailurePlace.Stage,
        engine,
        status: null,
        retryAfter: null,
        provenNotRun: false,
      });
    if (!path.includes(CRASHING)) {
      return runHarmless(chain, fail, () => {
        listener.onToken(call.resumeTokens.length, 'w');
        listener.onEnd('stop', call.resumeTokens.length + 1);
      });
    }
    runs.push({ request: path, engine: first, at: timers.now() });
    return timers.registerTimeout(CRASH_DELAY, () => {
      endEngine(first);
      fail(first);
    });
  };

  const bed = createPartsBed(() => openCall, domains);
  started = bed;
  // The engines with which each bed starts.
  RANGES.forEach((range, i) => engines.set(`e${i}`, { id: `e${i}`, range, domain: 'd1' }));
  domains.forEach((domain) =>
    RANGES.forEach((range, stage) =>
      Array.from({ length: COPIES }, (_, i) =>
        addEngine(`${domain}-c${i}-${stage}`, range, domain),
      ),
    ),
  );
  return {
    bed,
    runs,
    /** Ends some engines of a domain at the same moment, as if their rack had lost its power. */
    loseRack(domain: DomainId, count: number): void {
      [...engines.values()]
        .filter((engine) => engine.domain === domain && !bed.crashed.has(engine.id))
        .slice(0, count)
        .forEach(({ id }) => endEngine(id));
    },
  };
}
