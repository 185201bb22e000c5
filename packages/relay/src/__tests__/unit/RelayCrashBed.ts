/** Instances before engines that end under some requests, alone or as a rack, and come back, in virtual time. */
import type { DomainId, LayerRange, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { EngineCall, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
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

/** What an engine does with a run. */
export interface CrashBedOptions {
  /** Whether the run ends the first engine of its chain. */
  readonly isCrashing: (call: EngineCall) => boolean;
  /**
   * Time for which an engine reads a prompt, one after the other; then the answer begins, or the engine ends. If null, the
   * only event of an answer comes at its end.
   */
  readonly readTime: Millis | null;
}

/** A run of which nothing is known but that it is on its engines. */
interface OpenRun {
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
const BY_PATH: CrashBedOptions = {
  isCrashing: ({ prompt }) => getPath(prompt).includes(CRASHING),
  readTime: null,
};

function getPath(prompt: string): string {
  return prompt.split('\n')[0] ?? '';
}

export function createCrashBed(
  domains: readonly DomainId[] = ['d1'],
  { isCrashing, readTime }: CrashBedOptions = BY_PATH,
) {
  const runs: CrashingRun[] = [];
  const open = new Set<OpenRun>();
  const busyUntil = new Map<string, Millis>();
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
    [...open].filter((run) => run.engines.includes(id)).forEach(({ fail }) => fail(id));
    timers.registerTimeout(RESTART_TIME, () => {
      store.remove(`${BACKENDS}${id}`);
      engines.delete(id);
      starts += 1;
      addEngine(`r${starts}`, engine.range, engine.domain);
    });
  }

  /** Time until an engine has read a prompt that comes now. */
  function takeReadTime(engine: string, time: Millis): Millis {
    const { timers } = started as PartsBed;
    const begin = Math.max(timers.now(), busyUntil.get(engine) ?? 0) + time;
    busyUntil.set(engine, begin);
    return begin - timers.now();
  }

  /** Keeps a run on its engines; if one of them ends, the run fails. Returns what ends it. */
  function keepOpen(engineIds: readonly string[], onCrash: (engine: string) => void): Unregister {
    const run: OpenRun = {
      engines: engineIds,
      fail: (engine) => {
        open.delete(run);
        onCrash(engine);
      },
    };
    open.add(run);
    return () => open.delete(run);
  }

  const openCall: OpenEngineCall = (call, listener) => {
    const { timers, crashed } = started as PartsBed;
    const chain = call.chain.stages.map(({ engine }) => engine);
    const dead = chain.find((engine) => crashed.has(engine));
    const [first = ''] = chain;
    const path = getPath(call.prompt);
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
    const isCrash = isCrashing(call);
    if (isCrash) {
      runs.push({ request: path, engine: first, at: timers.now() });
    }
    let cancelTimer: Unregister = () => undefined;
    const close = keepOpen(chain, (engine) => {
      cancelTimer();
      fail(engine);
    });
    let next = call.resumeTokens.length;
    const sendToken = (): void => {
      listener.onToken(next, 'w');
      next += 1;
    };
    const begin = (): void => {
      if (isCrash) {
        cancelTimer = timers.registerTimeout(CRASH_DELAY, () => endEngine(first));
        return;
      }
      if (readTime !== null) {
        sendToken();
      }
      cancelTimer = timers.registerTimeout(HARMLESS_TIME, () => {
        close();
        sendToken();
        listener.onEnd('stop', next);
      });
    };
    if (readTime === null) {
      begin();
    } else {
      cancelTimer = timers.registerTimeout(takeReadTime(first, readTime), begin);
    }
    return () => {
      close();
      cancelTimer();
    };
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
