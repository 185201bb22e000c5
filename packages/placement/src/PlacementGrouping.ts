/**
 * Finds how a row of engines is best cut into groups that hold the same layers: the cut that holds all layers
 * with the fewest engines that stand alone in their group, and then in the fewest groups.
 */
import { invariant } from '@skylarksail/core/CoreErrors';

/** Engines next to each other in the row, and the layers that each of them holds. */
export interface GroupSize {
  readonly size: number;
  readonly layers: number;
}

/** Layers that `size` engines from the one at `first` on can hold, each of them all. */
export type CountGroupLayers = (first: number, size: number) => number;

/** The best way found to hold a number of layers with the first engines of the row. */
interface PartialGrouping {
  /** Engines whose layers no other holds. */
  readonly alone: number;
  readonly groups: number;
  readonly before: PartialGrouping | null;
  readonly last: GroupSize | null;
}

/** The best way for each number of layers that the first engines of the row can hold. */
type Row = Map<number, PartialGrouping>;

/** Groups of `mostEngines` at the most. Null if the engines cannot hold the layers. */
export function findGrouping(
  engineCount: number,
  mostEngines: number,
  layerCount: number,
  countLayers: CountGroupLayers,
): readonly GroupSize[] | null {
  const empty: PartialGrouping = { alone: 0, groups: 0, before: null, last: null };
  const rows: Row[] = [new Map([[0, empty]])];
  for (let end = 1; end <= engineCount; end++) {
    const row: Row = new Map();
    for (let size = 1; size <= Math.min(mostEngines, end); size++) {
      const before = rows[end - size];
      invariant(before, 'shorter rows are known');
      addGroup(row, before, { size, layers: countLayers(end - size, size) }, layerCount);
    }
    rows.push(row);
  }
  const best = rows[engineCount]?.get(layerCount);
  return best ? listGroups(best) : null;
}

/** Adds a group behind every partial cut of the engines before it. */
function addGroup(row: Row, before: Row, last: GroupSize, layerCount: number): void {
  if (last.layers <= 0) {
    return;
  }
  before.forEach((partial, held) => {
    const layers = Math.min(layerCount, held + last.layers);
    const found: PartialGrouping = {
      alone: partial.alone + (last.size === 1 ? 1 : 0),
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
  return a.alone === b.alone ? a.groups < b.groups : a.alone < b.alone;
}

function listGroups(best: PartialGrouping): readonly GroupSize[] {
  const groups: GroupSize[] = [];
  for (let at: PartialGrouping | null = best; at?.last; at = at.before) {
    groups.unshift(at.last);
  }
  return groups;
}
