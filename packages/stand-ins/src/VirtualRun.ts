/** One attempt on a chain of virtual engines: its progress and what each stage must prefill. */
import type {
  AttemptFailure,
  EngineCall,
  EngineCallListener,
} from '@skylarksail/requests/RequestPorts';

/** Properties of a prompt that virtual engines use. */
export interface VirtualPrompt {
  readonly tokens: number;
  /** Key of a prefix shared with other prompts, or null. */
  readonly prefixKey: string | null;
  readonly prefixTokens: number;
}

/** Tokens `[start, end)` of a sequence, to be computed by a stage. */
export interface VirtualWorkItem {
  readonly run: VirtualRun;
  readonly stage: number;
  readonly start: number;
  readonly end: number;
  /** Number of layers that have run for these tokens. */
  readonly layer: number;
  readonly prefill: boolean;
}

export class VirtualRun {
  /** Number of tokens to cache before the first new one: the prompt and the resumed tokens. */
  readonly contextTokens: number;

  private open = true;

  private produced: number;

  /** Per stage: number of tokens at the end of the context that it must prefill. */
  private tokensToPrefill: readonly number[] = [];

  constructor(
    readonly call: EngineCall,
    readonly prompt: VirtualPrompt,
    private readonly listener: EngineCallListener,
    private readonly onClosed: (run: VirtualRun) => void,
  ) {
    this.produced = call.resumeTokens.length;
    this.contextTokens = prompt.tokens + this.produced;
  }

  get isOpen(): boolean {
    return this.open;
  }

  /** Maximum length of the sequence in tokens, for which KV memory is reserved. */
  get kvTokens(): number {
    return this.prompt.tokens + this.call.maxTokens;
  }

  get tokenCount(): number {
    return this.produced;
  }

  /**
   * Sets how many context tokens each stage has cached. A stage must also compute the tokens that a
   * later stage lacks, because the later stage needs their activations.
   */
  setCachedTokens(held: readonly number[]): void {
    let need = 1;
    const tokensToPrefill = held.map(() => 1);
    for (let i = held.length - 1; i >= 0; i--) {
      need = Math.max(need, this.contextTokens - (held[i] ?? 0));
      tokensToPrefill[i] = need;
    }
    this.tokensToPrefill = tokensToPrefill;
  }

  /** Number of layers that a stage runs. */
  getLayerCount(stage: number): number {
    const layers = this.call.chain.stages[stage]?.layers;
    return layers ? layers.end - layers.first : 0;
  }

  /** Number of an item's tokens that the stage must compute; the others are in its cache. */
  countTokensToCompute({ stage, start, end, prefill }: VirtualWorkItem): number {
    if (!prefill) {
      return end - start;
    }
    const from = this.contextTokens - (this.tokensToPrefill[stage] ?? 0);
    return Math.max(0, end - Math.max(start, from));
  }

  acknowledge(): void {
    if (this.open) {
      const { variant, stages } = this.call.chain;
      this.listener.onAcknowledged({ variant, stages });
    }
  }

  /** Emits the next token; true if it is the last one. */
  emitToken(text: string): boolean {
    const index = this.produced;
    this.produced += 1;
    this.listener.onToken(index, text);
    return this.produced >= this.call.maxTokens;
  }

  end(): void {
    if (this.close()) {
      this.listener.onEnd('length', this.produced);
    }
  }

  fail(failure: AttemptFailure): void {
    if (this.close()) {
      this.listener.onFailure(failure);
    }
  }

  /** Ends the attempt without notifying the listener; false if it has already ended. */
  close(): boolean {
    if (!this.open) {
      return false;
    }
    this.open = false;
    this.onClosed(this);
    return true;
  }
}
