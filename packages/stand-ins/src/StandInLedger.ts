/** Record of what a stand-in executed, for checks that count layer passes and side effects. */
import type { LayerRange } from '@skylarksail/core/CoreTypes';

/** One pass of one token through one engine's layers. */
export interface LayerPass {
  readonly request: string;
  readonly attempt: number;
  readonly token: number;
  readonly engine: string;
  readonly layers: LayerRange;
  /** End of the pass in Unix milliseconds, by the machine's clock. */
  readonly at: number;
}

/** One call that a plain service executed. */
export interface ServiceEffect {
  readonly request: string;
  readonly attempt: number;
  readonly method: string;
  readonly path: string;
  readonly key: string | null;
}

/** Keeps the newest entries up to a bound and counts the dropped ones. */
export interface Ledger<T> {
  record(entry: T): void;
  read(): { readonly entries: readonly T[]; readonly dropped: number };
  clear(): void;
}

const LEDGER_LIMIT = 400_000;

export function createLedger<T>(limit = LEDGER_LIMIT): Ledger<T> {
  let entries: T[] = [];
  let dropped = 0;
  return {
    record(entry) {
      entries.push(entry);
      if (entries.length > 2 * limit) {
        dropped += entries.length - limit;
        entries = entries.slice(-limit);
      }
    },
    read: () => ({ entries, dropped }),
    clear() {
      entries = [];
      dropped = 0;
    },
  };
}

/**
 * Describes each violation in the passes of one request: layers that ran out of order, and delivered tokens
 * that no attempt ran through all layers.
 */
export function findLayerViolations(
  passes: readonly LayerPass[],
  layerCount: number,
  deliveredTokens: number,
): string[] {
  const passesByToken = new Map<string, LayerPass[]>();
  const faults: string[] = [];
  const complete = new Set<number>();
  for (const pass of [...passes].sort((a, b) => a.at - b.at)) {
    const key = `${pass.attempt}/${pass.token}`;
    passesByToken.set(key, [...(passesByToken.get(key) ?? []), pass]);
  }
  for (const [key, tokenPasses] of passesByToken) {
    let layersDone = 0;
    for (const { layers, token } of tokenPasses) {
      if (layers.first !== layersDone) {
        faults.push(`attempt/token ${key}: layer ${layers.first} ran after ${layersDone} layers`);
      }
      layersDone = layers.end;
      if (layersDone === layerCount) {
        complete.add(token);
      }
    }
  }
  for (let token = 0; token < deliveredTokens; token++) {
    if (!complete.has(token)) {
      faults.push(`token ${token}: no attempt ran all layers`);
    }
  }
  return faults;
}
