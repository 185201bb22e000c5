/** What a stand-in ran, kept so that checks can count layers and effects. */
import type { LayerRange } from '@skylarksail/core/CoreTypes';

/** One pass of one token through one engine's layers. */
export interface LayerPass {
  readonly request: string;
  readonly attempt: number;
  readonly token: number;
  readonly engine: string;
  readonly layers: LayerRange;
  /** Milliseconds since 1970 when it ended, by the machine's clock. */
  readonly at: number;
}

/** One call that a plain service carried out. */
export interface ServiceEffect {
  readonly request: string;
  readonly attempt: number;
  readonly method: string;
  readonly path: string;
  readonly key: string | null;
}

/** Keeps the newest entries up to a bound and counts what it let go. */
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

/** What is wrong with the passes of one request, in words; empty if nothing is. */
export function findLayerViolations(
  passes: readonly LayerPass[],
  layerCount: number,
  deliveredTokens: number,
): string[] {
  const byToken = new Map<string, LayerPass[]>();
  const faults: string[] = [];
  const complete = new Set<number>();
  for (const pass of [...passes].sort((a, b) => a.at - b.at)) {
    const key = `${pass.attempt}/${pass.token}`;
    byToken.set(key, [...(byToken.get(key) ?? []), pass]);
  }
  for (const [key, tokenPasses] of byToken) {
    let covered = 0;
    for (const { layers, token } of tokenPasses) {
      if (layers.first !== covered) {
        faults.push(`attempt/token ${key}: layer ${layers.first} ran after ${covered} layers`);
      }
      covered = layers.end;
      if (covered === layerCount) {
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
