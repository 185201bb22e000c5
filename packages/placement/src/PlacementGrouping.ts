/**
 * Partitions a sequence of engines into groups whose engines all hold the same layers. Finds the partition that
 * holds all layers with the fewest engines alone in their group and, among equals, the fewest groups.
 */
import { invariant } from '@skylarksail/core/CoreErrors';

/** The size of a group of adjacent engines, and the number of layers that they all hold. */
export interface GroupSize {
  readonly size: number;
  readonly layers: number;
}

/** Number of layers that each of `size` engines from index `first` on can hold as one group. */
export type CountGroupLayers = (first: number, size: number) => number;

/** The best partition found of a prefix of the sequence that holds a given number of layers. */
interface PartialGrouping {
  /** Engines that are alone in their group. */
  readonly soleHolders: number;
  readonly groups: number;
  readonly before: PartialGrouping | null;
  readonly last: GroupSize | null;
}

/** The best partition of a prefix of the sequence, by the number of layers that it holds. */
type Row = Map<number, PartialGrouping>;

/**
 * Finds the best partition by dynamic programming, with at most `maxEngines` engines per group; null if the
 * engines cannot hold the layers.
 */
export function findGrouping(
  engineCount: number,
  maxEngines: number,
  layerCount: number,
  countLayers: CountGroupLayers,
): readonly GroupSize[] | null {
  const empty: PartialGrouping = { soleHolders: 0, groups: 0, before: null, last: null };
  const rows: Row[] = [new Map([[0, empty]])];
  for (let end = 1; end <= engineCount; end++) {
    const row: Row = new Map();
    for (let size = 1; size <= Math.min(maxEngines, end); size++) {
      const before = rows[end - size];
      invariant(before, 'rows of shorter prefixes must be computed first');
      addGroup(row, before, { size, layers: countLayers(end - size, size) }, layerCount);
    }
    rows.push(row);
  }
  const best = rows[engineCount]?.get(layerCount);
  return best ? listGroups(best) : null;
}

/** Extends every partition of the preceding engines by a group. */
function addGroup(row: Row, before: Row, last: GroupSize, layerCount: number): void {
  if (last.layers <= 0) {
    return;
  }
  before.forEach((partial, held) => {
    const layers = Math.min(layerCount, held + last.layers);
    const found: PartialGrouping = {
      soleHolders: partial.soleHolders + (last.size === 1 ? 1 : 0),
      groups: partial.groups + 1,
      before: partial,
      last,
    };
    const known = row.get(layers);
    if (!known || isBetter(found, known)) {
      row.set(layers, found);
    }
  });
}

function isBetter(a: PartialGrouping, b: PartialGrouping): boolean {
  return a.soleHolders === b.soleHolders ? a.groups < b.groups : a.soleHolders < b.soleHolders;
}

function listGroups(best: PartialGrouping): readonly GroupSize[] {
  const groups: GroupSize[] = [];
  for (let at: PartialGrouping | null = best; at?.last; at = at.before) {
    groups.unshift(at.last);
  }
  return groups;
}
