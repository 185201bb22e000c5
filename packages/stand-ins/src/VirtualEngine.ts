/**
 * A virtual engine: continuous batching in virtual time, with limited KV memory, a prefix cache, and
 * faults. A step takes decode tokens up to the batch limit and some prompt tokens. It lasts
 * `layers * ((FIXED * maxBatch + (1 - FIXED) * tokens) / decodeRate + promptTokens / prefillRate)`
 * seconds, where FIXED is `FIXED_STEP_SHARE`. A full step of decode tokens thus runs at the decode rate.
 */
import { getPriorityRank, LifeState, MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, EngineLoad, Holding } from '@skylarksail/core/CoreEngine';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, RequestId } from '@skylarksail/core/CoreTypes';
import type { VirtualWorkItem, VirtualRun } from './VirtualRun.js';

/** Fraction of a full step's time that a step takes regardless of its number of tokens. */
const FIXED_STEP_SHARE = 0.3;
/** A step takes no further prefill items after this many tokens, to bound the delay of decode tokens. */
const PREFILL_TOKENS_PER_STEP = 64;
/** Maximum number of runs that wait for KV memory, as a multiple of the batch limit. */
const MAX_WAITING_BATCHES = 4;
const KV_RETAINED_MS = 3000;
const PREFIX_CACHE_SHARE = 0.1;

/** Failure mode of a virtual engine. */
export type VirtualFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'crashed' }
  | { readonly kind: 'hung' }
  /** Each step takes `factor` times as long. */
  | { readonly kind: 'slow'; readonly factor: number };

interface WaitingRun {
  readonly run: VirtualRun;
  readonly onAdmitted: () => void;
}

export class VirtualEngine {
  private fault: VirtualFault = { kind: 'none' };

  private boot = 1;

  private lifeState: LifeStateName = LifeState.Live;

  private leavingSince = Infinity;

  private decodes: VirtualWorkItem[] = [];

  private prefills: VirtualWorkItem[] = [];

  private waiting: WaitingRun[] = [];

  private isStepping = false;

  private usedLayerTokens = 0;

  private readonly admitted = new Map<VirtualRun, number>();

  private readonly retainedContexts = new Map<RequestId, { tokens: number; until: Millis }>();

  private readonly prefixes = new Map<string, number>();

  constructor(
    readonly facts: EngineFacts,
    private currentHolding: Holding,
    private readonly timers: TimerService,
    private readonly onComputed: (engine: VirtualEngine, items: readonly VirtualWorkItem[]) => void,
  ) {}

  get holding(): Holding {
    return this.currentHolding;
  }

  get isCrashed(): boolean {
    return this.fault.kind === 'crashed';
  }

  get isHung(): boolean {
    return this.fault.kind === 'hung';
  }

  /** Time at which the engine began to leave, or Infinity. */
  get leavingAt(): Millis {
    return this.leavingSince;
  }

  get runs(): readonly VirtualRun[] {
    return [...this.admitted.keys(), ...this.waiting.map(({ run }) => run)];
  }

  setHolding(holding: Holding): void {
    this.currentHolding = holding;
  }

  setLeaving(): void {
    this.lifeState = LifeState.Leaving;
    this.leavingSince = this.timers.now();
  }

  /** Sets or clears a fault. A crash drops all state; the engine recovers as a new process. */
  setFault(fault: VirtualFault): void {
    if (this.isCrashed && fault.kind !== 'crashed') {
      this.boot += 1;
    }
    this.fault = fault;
    if (fault.kind === 'crashed') {
      this.clearState();
    }
    this.scheduleStep();
  }

  /** Load that the engine reports at this time. */
  readLoad(): EngineLoad {
    return {
      engine: this.facts.id,
      bootId: `${this.facts.id}-${this.boot}`,
      state: this.lifeState,
      holding: this.currentHolding,
      running: this.admitted.size,
      queued: this.waiting.length,
      kvUsed: this.usedLayerTokens / this.facts.kvLayerTokens,
      orderNumber: 0,
    };
  }

  /** Keys of the cached prefixes, least recently used first. */
  readPrefixes(): readonly string[] {
    return [...this.prefixes.keys()];
  }

  /** Reserves KV memory for a run, now or once enough is free; false if too many runs wait. */
  admit(run: VirtualRun, onAdmitted: () => void): boolean {
    if (this.waiting.length >= MAX_WAITING_BATCHES * this.facts.maxBatch) {
      return false;
    }
    insertByPriority(this.waiting, { run, onAdmitted }, (entry) => entry.run);
    this.admitWaiting();
    return true;
  }

  /** Number of the run's context tokens cached from an earlier attempt or a shared prefix. */
  countCachedTokens(run: VirtualRun): number {
    const kept = this.retainedContexts.get(run.call.request);
    if (kept && kept.until >= this.timers.now()) {
      return Math.min(kept.tokens, run.contextTokens);
    }
    const { prefixKey } = run.prompt;
    return (prefixKey !== null && this.prefixes.get(prefixKey)) || 0;
  }

  /** Frees a run's memory; its KV cache can still be exported for `KV_RETAINED_MS`. */
  release(run: VirtualRun): void {
    const reserved = this.admitted.get(run);
    this.waiting = this.waiting.filter((entry) => entry.run !== run);
    if (reserved === undefined) {
      return;
    }
    this.admitted.delete(run);
    this.usedLayerTokens -= reserved;
    const until = this.timers.now() + KV_RETAINED_MS;
    this.retainedContexts.set(run.call.request, {
      tokens: run.prompt.tokens + run.tokenCount,
      until,
    });
    this.timers.registerTimeout(KV_RETAINED_MS, () => this.dropExpiredContext(run.call.request));
    this.admitWaiting();
  }

  enqueue(item: VirtualWorkItem): void {
    if (this.isCrashed) {
      return;
    }
    if (item.prefill) {
      insertByPriority(this.prefills, item, ({ run }) => run);
    } else {
      this.decodes.push(item);
    }
    this.scheduleStep();
  }

  private get layerCount(): number {
    return this.currentHolding.layers.end - this.currentHolding.layers.first;
  }

  private admitWaiting(): void {
    while (this.waiting.length > 0) {
      const { run, onAdmitted } = this.waiting[0] as WaitingRun;
      const reserved = run.kvTokens * getRunLayerCount(run, this.facts.id);
      if (this.usedLayerTokens + reserved > this.facts.kvLayerTokens) {
        return;
      }
      this.waiting.shift();
      this.usedLayerTokens += reserved;
      this.admitted.set(run, reserved);
      onAdmitted();
    }
  }

  /** Schedules a step after all events due now, so that items enqueued at the same time share a batch. */
  private scheduleStep(): void {
    if (this.isStepping || this.isHung || this.isCrashed) {
      return;
    }
    if (this.decodes.length + this.prefills.length > 0) {
      this.isStepping = true;
      const { boot } = this;
      this.timers.registerTimeout(0, () => this.runStep(boot));
    }
  }

  private runStep(boot: number): void {
    if (boot !== this.boot || this.isCrashed) {
      return;
    }
    this.decodes = this.decodes.filter(({ run }) => run.isOpen);
    this.prefills = this.prefills.filter(({ run }) => run.isOpen);
    const decodes = this.decodes.splice(0, this.facts.maxBatch);
    const prefills = this.takePrefills();
    if (decodes.length + prefills.length === 0) {
      this.isStepping = false;
      return;
    }
    const items = prefills.length > 0 ? [...decodes, ...prefills] : decodes;
    this.timers.registerTimeout(this.getStepTime(items), () => this.endStep(boot, items));
  }

  private endStep(boot: number, items: readonly VirtualWorkItem[]): void {
    if (boot !== this.boot || this.isCrashed) {
      return;
    }
    this.isStepping = false;
    if (this.isHung) {
      // Requeues the step's items, so that the engine computes them if the hang ends.
      this.decodes.unshift(...items.filter(({ prefill }) => !prefill));
      this.prefills.unshift(...items.filter(({ prefill }) => prefill));
      return;
    }
    for (const item of items) {
      if (item.prefill) {
        this.cachePrefix(item);
      }
    }
    this.onComputed(this, items);
    this.scheduleStep();
  }

  private takePrefills(): readonly VirtualWorkItem[] {
    let tokens = 0;
    let count = 0;
    while (count < this.prefills.length && tokens < PREFILL_TOKENS_PER_STEP) {
      const item = this.prefills[count] as VirtualWorkItem;
      tokens += item.run.countTokensToCompute(item);
      count += 1;
    }
    return this.prefills.splice(0, count);
  }

  private getStepTime(items: readonly VirtualWorkItem[]): Millis {
    const { decodeLayerTokensPerSecond, prefillLayerTokensPerSecond, maxBatch } = this.facts;
    let decode = FIXED_STEP_SHARE * maxBatch * this.layerCount;
    let prompt = 0;
    for (const item of items) {
      const work = item.run.countTokensToCompute(item) * item.run.getLayerCount(item.stage);
      if (item.prefill) {
        prompt += work;
      } else {
        decode += (1 - FIXED_STEP_SHARE) * work;
      }
    }
    const seconds = decode / decodeLayerTokensPerSecond + prompt / prefillLayerTokensPerSecond;
    const factor = this.fault.kind === 'slow' ? this.fault.factor : 1;
    return seconds * factor * MILLIS_PER_SECOND;
  }

  private cachePrefix({ run, end }: VirtualWorkItem): void {
    const { prefixKey, prefixTokens } = run.prompt;
    if (prefixKey === null || end < prefixTokens) {
      return;
    }
    const isNew = !this.prefixes.delete(prefixKey);
    this.prefixes.set(prefixKey, prefixTokens);
    if (isNew) {
      this.evictPrefixes();
    }
  }

  private evictPrefixes(): void {
    const limit = (PREFIX_CACHE_SHARE * this.facts.kvLayerTokens) / this.layerCount;
    let tokens = [...this.prefixes.values()].reduce((sum, n) => sum + n, 0);
    for (const [key, n] of this.prefixes) {
      if (tokens <= limit) {
        break;
      }
      this.prefixes.delete(key);
      tokens -= n;
    }
  }

  private dropExpiredContext(request: RequestId): void {
    const kept = this.retainedContexts.get(request);
    if (kept && kept.until <= this.timers.now()) {
      this.retainedContexts.delete(request);
    }
  }

  private clearState(): void {
    this.boot += 1;
    this.isStepping = false;
    this.decodes = [];
    this.prefills = [];
    this.waiting = [];
    this.usedLayerTokens = 0;
    this.admitted.clear();
    this.retainedContexts.clear();
    this.prefixes.clear();
  }
}

/** Number of an engine's layers that a run uses. */
function getRunLayerCount(run: VirtualRun, engine: EngineId): number {
  return run.getLayerCount(run.call.chain.stages.findIndex((stage) => stage.engine === engine));
}

/** Inserts an entry after all entries of the same or a higher priority. */
function insertByPriority<T>(queue: T[], entry: T, getRun: (entry: T) => VirtualRun): void {
  const rank = getPriorityRank(getRun(entry).call.priority);
  let at = queue.length;
  while (at > 0 && getPriorityRank(getRun(queue[at - 1] as T).call.priority) < rank) {
    at -= 1;
  }
  queue.splice(at, 0, entry);
}
