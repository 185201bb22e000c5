/**
 * Virtual engines behind the `OpenEngineCall` port, for benchmarks and tests. The fleet simulates engine
 * speed, memory and layer ranges, link delays and rates, and faults, and counts what ran.
 */
import type { EngineFacts, EngineLoad, Holding } from '@skylarksail/core/CoreEngine';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, LayerRange, Millis, RequestId } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  EngineCall,
  FailurePlaceName,
  OpenEngineCall,
} from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { VirtualFault } from './VirtualEngine.js';
import { VirtualEngine } from './VirtualEngine.js';
import type { GetLinkFault, GetVirtualLink } from './VirtualLinks.js';
import { createVirtualLinks } from './VirtualLinks.js';
import type { VirtualWorkItem, VirtualPrompt } from './VirtualRun.js';
import { VirtualRun } from './VirtualRun.js';

export interface VirtualEngineSpec {
  readonly facts: EngineFacts;
  readonly holding: Holding;
}

export interface VirtualFleetOptions {
  readonly timers: TimerService;
  readonly engines: readonly VirtualEngineSpec[];
  readonly getLink: GetVirtualLink;
  /** Size of one token's activations, which a stage sends to the next, in bytes. */
  readonly activationBytes: number;
  /** Size of one token's KV cache per layer, in bytes. */
  readonly kvBytesPerLayer: number;
  /** Delay between an entry instance and an engine. */
  readonly entryDelayMs: Millis;
  readonly readPrompt: (prompt: string) => VirtualPrompt;
  readonly createToken: (call: EngineCall, index: number) => string;
  /** Whether a request crashes the engine that first computes it. */
  readonly isPoison: (call: EngineCall) => boolean;
  /** Called for each attempt that an engine accepts and each pass of tokens through its layers. */
  readonly onRecord?: (record: VirtualRecord) => void;
}

/** An event at an engine, for checks of complete histories. */
export type VirtualRecord = VirtualRecordSource &
  (
    | { readonly kind: 'taken' }
    /** These layers ran the sequence's tokens up to position `end`, exclusive. */
    | { readonly kind: 'pass'; readonly end: number; readonly layers: LayerRange }
  );

interface VirtualRecordSource {
  readonly engine: EngineId;
  readonly request: RequestId;
  readonly attempt: number;
}

/** Counts of what ran, for the checks of tests and benchmarks. */
export interface VirtualLedger {
  readonly tokens: number;
  /** Work items that reached a stage out of layer order. */
  readonly layerOrderViolations: number;
  /** Attempts that an engine received more than 3 s after it began to leave. */
  readonly acceptedWhileLeaving: number;
  /** Number of started attempts by request. */
  readonly started: ReadonlyMap<RequestId, number>;
}

export interface VirtualFleet {
  readonly open: OpenEngineCall;
  readLoads(): readonly EngineLoad[];
  readLoad(engine: EngineId): EngineLoad | null;
  readPrefixes(engine: EngineId): readonly string[];
  readLedger(): VirtualLedger;
  setFault(engine: EngineId, fault: VirtualFault): void;
  setLinkFault(getFault: GetLinkFault | null): void;
  setLeaving(engine: EngineId): void;
  setHolding(engine: EngineId, holding: Holding): void;
}

const LEAVING_GRACE_MS = 3000;
const PREFILL_CHUNK_TOKENS = 64;
const TOKEN_ID_BYTES = 4;
const STATUS_WRONG_HOLDING = 409;
const STATUS_TOO_MANY = 429;

export function createVirtualFleet(options: VirtualFleetOptions): VirtualFleet {
  const { timers } = options;
  const links = createVirtualLinks(timers, options.getLink);
  const started = new Map<RequestId, number>();
  let tokens = 0;
  let layerFaults = 0;
  let acceptedWhileLeaving = 0;
  const engines = new Map(
    options.engines.map(({ facts, holding }) => [
      facts.id,
      new VirtualEngine(facts, holding, timers, handleComputed),
    ]),
  );

  function getEngine(id: EngineId): VirtualEngine {
    const engine = engines.get(id);
    invariant(engine, `virtual engine ${id} exists`);
    return engine;
  }

  function getStageEngine(run: VirtualRun, stage: number): VirtualEngine | null {
    const id = run.call.chain.stages[stage]?.engine;
    return id === undefined ? null : (engines.get(id) ?? null);
  }

  function open(call: EngineCall, listener: Parameters<OpenEngineCall>[1]): () => void {
    const run = new VirtualRun(call, options.readPrompt(call.prompt), listener, releaseAll);
    timers.registerTimeout(options.entryDelayMs, () => admitStage(run, 0));
    return () => {
      run.close();
    };
  }

  function releaseAll(run: VirtualRun): void {
    run.call.chain.stages.forEach(({ engine }) => engines.get(engine)?.release(run));
  }

  /** Requests admission at this stage, then at the later ones; starts the run after the last. */
  function admitStage(run: VirtualRun, stage: number): void {
    const wanted = run.call.chain.stages[stage];
    if (!run.isOpen) {
      return;
    }
    if (!wanted) {
      startRun(run);
      return;
    }
    const engine = engines.get(wanted.engine);
    if (!engine || engine.isCrashed) {
      const place = stage === 0 ? FailurePlace.Connect : FailurePlace.Stage;
      failRun(run, createFailure(place, wanted.engine, null, true));
      return;
    }
    if (engine.isHung) {
      return;
    }
    if (!holdsStage(engine.holding, run, stage)) {
      const place = FailurePlace.Refused;
      failRun(run, createFailure(place, wanted.engine, STATUS_WRONG_HOLDING, true));
      return;
    }
    if (timers.now() > engine.leavingAt + LEAVING_GRACE_MS) {
      acceptedWhileLeaving += 1;
    }
    const isAdmitted = engine.admit(run, () =>
      sendToNextStage(run, stage, () => admitStage(run, stage + 1)),
    );
    if (isAdmitted) {
      options.onRecord?.({ kind: 'taken', ...getRecordSource(engine, run) });
    } else {
      failRun(run, createFailure(FailurePlace.Refused, wanted.engine, STATUS_TOO_MANY, true));
    }
  }

  /** Sends a small message from a stage to the next one. */
  function sendToNextStage(run: VirtualRun, stage: number, onArrived: () => void): void {
    const from = getStageEngine(run, stage);
    const to = getStageEngine(run, stage + 1);
    if (from && to) {
      links.send(from.facts, to.facts, TOKEN_ID_BYTES, onArrived);
    } else {
      onArrived();
    }
  }

  function startRun(run: VirtualRun): void {
    const { request, chain } = run.call;
    started.set(request, (started.get(request) ?? 0) + 1);
    timers.registerTimeout(options.entryDelayMs, () => run.acknowledge());
    const cachedTokens = chain.stages.map((stage) =>
      getEngine(stage.engine).countCachedTokens(run),
    );
    importKv(run, cachedTokens, (cachedByStage) => {
      run.setCachedTokens(cachedByStage);
      sendPrefill(run);
    });
  }

  /** Imports KV cache from other engines, then reports the number of cached tokens per stage. */
  function importKv(
    run: VirtualRun,
    cachedTokens: readonly number[],
    onImported: (cachedTokens: readonly number[]) => void,
  ): void {
    const cachedByStage = [...cachedTokens];
    let pending = 1;
    function finishTransfer(): void {
      pending -= 1;
      if (pending === 0) {
        onImported(cachedByStage);
      }
    }
    run.call.chain.stages.forEach((stage, i) => {
      const source = run.call.importFrom.find(
        ({ engine, layers }) =>
          engine !== stage.engine &&
          layers.first === stage.layers.first &&
          layers.end === stage.layers.end,
      );
      const exporter = source && engines.get(source.engine);
      const exportable = exporter && !exporter.isHung ? exporter.countCachedTokens(run) : 0;
      if (!exporter || exportable <= (cachedTokens[i] ?? 0)) {
        return;
      }
      pending += 1;
      const layerCount = stage.layers.end - stage.layers.first;
      const bytes = exportable * layerCount * options.kvBytesPerLayer;
      links.send(exporter.facts, getEngine(stage.engine).facts, bytes, () => {
        cachedByStage[i] = exportable;
        finishTransfer();
      });
    });
    finishTransfer();
  }

  function sendPrefill(run: VirtualRun): void {
    const engine = getStageEngine(run, 0);
    const { contextTokens } = run;
    for (let start = 0; start < contextTokens; start += PREFILL_CHUNK_TOKENS) {
      const end = Math.min(start + PREFILL_CHUNK_TOKENS, contextTokens);
      const item = { run, stage: 0, start, end, layer: 0, prefill: true };
      if (end === contextTokens || run.countTokensToCompute(item) > 0) {
        engine?.enqueue(item);
      }
    }
  }

  function handleComputed(engine: VirtualEngine, items: readonly VirtualWorkItem[]): void {
    const poisonItem = items.find(({ run }) => run.isOpen && options.isPoison(run.call));
    if (poisonItem) {
      crash(engine);
      return;
    }
    items.forEach((item) => {
      if (item.run.isOpen) {
        forwardItem(engine, item);
      }
    });
  }

  /** Forwards a computed item to the next stage, or emits its token after the last stage. */
  function forwardItem(engine: VirtualEngine, item: VirtualWorkItem): void {
    const { run, stage } = item;
    const layers = run.call.chain.stages[stage]?.layers;
    if (!layers || layers.first !== item.layer) {
      layerFaults += 1;
      return;
    }
    const { start, end, prefill } = item;
    options.onRecord?.({ kind: 'pass', ...getRecordSource(engine, run), end, layers });
    const nextItem = { run, stage: stage + 1, start, end, layer: layers.end, prefill };
    const next = getStageEngine(run, stage + 1);
    if (!next) {
      finishToken(engine, nextItem);
      return;
    }
    const isLast = end === run.contextTokens;
    if (prefill && !isLast && run.countTokensToCompute(nextItem) === 0) {
      return;
    }
    const count = Math.max(1, run.countTokensToCompute(nextItem));
    links.send(engine.facts, next.facts, count * options.activationBytes, () =>
      next.enqueue(nextItem),
    );
  }

  function finishToken(last: VirtualEngine, item: VirtualWorkItem): void {
    const { run, end } = item;
    if (item.prefill && end < run.contextTokens) {
      return;
    }
    tokens += 1;
    const text = options.createToken(run.call, run.tokenCount);
    if (run.emitToken(text)) {
      run.end();
      return;
    }
    const first = getStageEngine(run, 0);
    const next = { run, stage: 0, start: end, end: end + 1, layer: 0, prefill: false };
    if (first) {
      links.send(last.facts, first.facts, TOKEN_ID_BYTES, () => first.enqueue(next));
    }
  }

  /**
   * Crashes an engine and fails its runs. The caller sees a broken stream if it was the first stage, and
   * a failure reported by the first stage otherwise.
   */
  function crash(engine: VirtualEngine): void {
    const { id } = engine.facts;
    const { runs } = engine;
    engine.setFault({ kind: 'crashed' });
    runs.forEach((run) => {
      const isFirst = run.call.chain.stages[0]?.engine === id;
      const place = isFirst ? FailurePlace.Stream : FailurePlace.Stage;
      failRun(run, createFailure(place, id, null, false));
    });
  }

  function failRun(run: VirtualRun, failure: AttemptFailure): void {
    timers.registerTimeout(options.entryDelayMs, () => run.fail(failure));
  }

  return {
    open,
    readLoads: () =>
      [...engines.values()]
        .filter((engine) => !engine.isCrashed && !engine.isHung)
        .map((engine) => engine.readLoad()),
    readLoad(id) {
      const engine = getEngine(id);
      return engine.isCrashed || engine.isHung ? null : engine.readLoad();
    },
    readPrefixes: (id) => getEngine(id).readPrefixes(),
    readLedger: () => ({
      tokens,
      layerOrderViolations: layerFaults,
      acceptedWhileLeaving,
      started,
    }),
    setFault(id, fault) {
      if (fault.kind === 'crashed') {
        crash(getEngine(id));
      } else {
        getEngine(id).setFault(fault);
      }
    },
    setLinkFault: (getFault) => links.setFault(getFault),
    setLeaving: (id) => getEngine(id).setLeaving(),
    setHolding: (id, holding) => getEngine(id).setHolding(holding),
  };
}

function holdsStage(holding: Holding, run: VirtualRun, stage: number): boolean {
  const { variant, stages } = run.call.chain;
  const layers = stages[stage]?.layers;
  return (
    layers !== undefined &&
    holding.model === variant.model &&
    holding.version === variant.version &&
    (variant.adapter === null || holding.adapters.includes(variant.adapter)) &&
    holding.layers.first <= layers.first &&
    layers.end <= holding.layers.end
  );
}

function getRecordSource(engine: VirtualEngine, { call }: VirtualRun): VirtualRecordSource {
  return { engine: engine.facts.id, request: call.request, attempt: call.attempt };
}

function createFailure(
  place: FailurePlaceName,
  engine: EngineId,
  status: number | null,
  provenNotRun: boolean,
): AttemptFailure {
  return { place, engine, status, retryAfter: null, provenNotRun };
}
