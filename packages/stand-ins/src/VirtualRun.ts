/** One attempt on a chain of virtual engines: where its tokens are and what it has yet to prefill. */
import type {
  AttemptFailure,
  EngineCall,
  EngineCallListener,
} from '@skylarksail/requests/RequestPorts';

/** What a virtual engine reads from a prompt. */
export interface VirtualPrompt {
  readonly tokens: number;
  /** Prefix that other prompts share, or null. */
  readonly prefixKey: string | null;
  readonly prefixTokens: number;
}

/** Tokens `[start, end)` of a sequence on their way through a stage. */
export interface VirtualWorkItem {
  readonly run: VirtualRun;
  readonly stage: number;
  readonly start: number;
  readonly end: number;
  /** Layers that have run for these tokens. */
  readonly layer: number;
  readonly prefill: boolean;
}

export class VirtualRun {
  /** Tokens that the KV cache must hold before the next new token: prompt and resumed tokens. */
  readonly contextTokens: number;

  private open = true;

  private produced: number;

  /** By stage: tokens at the end of the context that the stage has to prefill. */
  private needs: readonly number[] = [];

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

  /** Tokens that the sequence may come to hold. */
  get kvTokens(): number {
    return this.prompt.tokens + this.call.maxTokens;
  }

  get tokenCount(): number {
    return this.produced;
  }

  /**
   * Takes what each stage already holds of the context. A stage needs the activations of every token
   * that a stage behind it misses, so what is missing there must run here too.
   */
  setCachedTokens(held: readonly number[]): void {
    let need = 1;
    const needs = held.map(() => 1);
    for (let i = held.length - 1; i >= 0; i--) {
      need = Math.max(need, this.contextTokens - (held[i] ?? 0));
      needs[i] = need;
    }
    this.needs = needs;
  }

  /** Layers that a stage runs. */
  getLayerCount(stage: number): number {
    const layers = this.call.chain.stages[stage]?.layers;
    return layers ? layers.end - layers.first : 0;
  }

  /** Tokens of an item that the stage must compute; the others are in its cache. */
  countTokensToCompute({ stage, start, end, prefill }: VirtualWorkItem): number {
    if (!prefill) {
      return end - start;
    }
    const from = this.contextTokens - (this.needs[stage] ?? 0);
    return Math.max(0, end - Math.max(start, from));
  }

  acknowledge(): void {
    if (this.open) {
      const { variant, stages } = this.call.chain;
      this.listener.onAcknowledged({ variant, stages });
    }
  }

  /** Gives the next token; true if it was the last one. */
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

  /** Ends the attempt without a word to the listener; false if it had already ended. */
  close(): boolean {
    if (!this.open) {
      return false;
    }
    this.open = false;
    this.onClosed(this);
    return true;
  }
}
