/**
 * A small fleet of virtual engines behind the port `OpenEngineCall`, for benches and tests: engines
 * with speed, memory and layers, links with delay and rate, faults, and a ledger of what ran.
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
  /** Bytes of one token's activations between two stages. */
  readonly activationBytes: number;
  /** Bytes of one token's KV cache in one layer. */
  readonly kvBytesPerLayer: number;
  /** Delay between an entry instance and an engine. */
  readonly entryDelayMs: Millis;
  readonly readPrompt: (prompt: string) => VirtualPrompt;
  readonly createToken: (call: EngineCall, index: number) => string;
  /** Whether a request crashes the engine that first computes it. */
  readonly isPoison: (call: EngineCall) => boolean;
  /** Hears of each attempt that an engine takes up, and of each pass of tokens through its layers. */
  readonly onRecord?: (record: VirtualRecord) => void;
}

/** One thing that an engine did, for checks of whole histories. */
export type VirtualRecord = VirtualRecordPlace &
  (
    | { readonly kind: 'taken' }
    /** Tokens up to position `end` of the sequence, exclusive, passed these layers. */
    | { readonly kind: 'pass'; readonly end: number; readonly layers: LayerRange }
  );

interface VirtualRecordPlace {
  readonly engine: EngineId;
  readonly request: RequestId;
  readonly attempt: number;
}

/** What ran, for the checks of tests and benches. */
export interface VirtualLedger {
  readonly tokens: number;
  /** Tokens that met a stage out of the order of layers. */
  readonly layerOrderViolations: number;
  /** Attempts that an engine took up more than 3 s after it began to leave. */
  readonly acceptedWhileLeaving: number;
  /** Attempts that were computed on, by request. */
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

  /** Asks one stage after the other to take the run; the last one starts it. */
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
    const taken = engine.admit(run, () => hop(run, stage, () => admitStage(run, stage + 1)));
    if (taken) {
      options.onRecord?.({ kind: 'taken', ...getPlace(engine, run) });
    } else {
      failRun(run, createFailure(FailurePlace.Refused, wanted.engine, STATUS_TOO_MANY, true));
    }
  }

  /** Sends a small message from a stage to the next one. */
  function hop(run: VirtualRun, stage: number, onArrived: () => void): void {
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
    const held = chain.stages.map((stage) => getEngine(stage.engine).countCachedTokens(run));
    importKv(run, held, (known) => {
      run.setCachedTokens(known);
      sendPrefill(run);
    });
  }

  /** Brings in what other engines hold of the KV cache, then goes on with what each stage holds. */
  function importKv(
    run: VirtualRun,
    held: readonly number[],
    onKnown: (held: readonly number[]) => void,
  ): void {
    const known = [...held];
    let pending = 1;
    function arrive(): void {
      pending -= 1;
      if (pending === 0) {
        onKnown(known);
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
      const found = exporter && !exporter.isHung ? exporter.countCachedTokens(run) : 0;
      if (!exporter || found <= (held[i] ?? 0)) {
        return;
      }
      pending += 1;
      const depth = stage.layers.end - stage.layers.first;
      const bytes = found * depth * options.kvBytesPerLayer;
      links.send(exporter.facts, getEngine(stage.engine).facts, bytes, () => {
        known[i] = found;
        arrive();
      });
    });
    arrive();
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
    const poison = items.find(({ run }) => run.isOpen && options.isPoison(run.call));
    if (poison) {
      crash(engine);
      return;
    }
    items.forEach((item) => {
      if (item.run.isOpen) {
        passOn(engine, item);
      }
    });
  }

  /** Sends an item that a stage has computed to the next stage, or gives its token. */
  function passOn(engine: VirtualEngine, item: VirtualWorkItem): void {
    const { run, stage } = item;
    const layers = run.call.chain.stages[stage]?.layers;
    if (!layers || layers.first !== item.layer) {
      layerFaults += 1;
      return;
    }
    const { start, end, prefill } = item;
    options.onRecord?.({ kind: 'pass', ...getPlace(engine, run), end, layers });
    const moved = { run, stage: stage + 1, start, end, layer: layers.end, prefill };
    const next = getStageEngine(run, stage + 1);
    if (!next) {
      finishToken(engine, moved);
      return;
    }
    const isLast = end === run.contextTokens;
    if (prefill && !isLast && run.countTokensToCompute(moved) === 0) {
      return;
    }
    const count = Math.max(1, run.countTokensToCompute(moved));
    links.send(engine.facts, next.facts, count * options.activationBytes, () =>
      next.enqueue(moved),
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

  /** Crashes an engine; the callers of its runs hear of it from the first stage. */
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
    readLedger: () => ({ tokens, layerOrderViolations: layerFaults, acceptedWhileLeaving, started }),
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

function getPlace(engine: VirtualEngine, { call }: VirtualRun): VirtualRecordPlace {
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
