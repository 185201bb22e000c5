/**
 * Islands: racks between which links carry what the engines do. A chain that crosses a slow link is no
 * faster than the link, so each island gets whole chains of its own where it can hold a model.
 */
import { getRate } from './PlacementGoals.js';
import type { PlacementEngine, PlacementModel, PlacementState } from './PlacementTypes.js';

/** Part of a link's rate that a plan may fill. */
const LINK_FILL = 0.5;
/** Activations of prompt tokens that cross a link for each generated token, and the token's own. */
const TOKENS_PER_TOKEN = 2;

interface RackFacts {
  readonly rack: string;
  readonly engine: PlacementEngine;
  readonly rate: number;
}

/** The island of each rack, named after its first rack by name. */
export function findIslands(
  state: PlacementState,
  models: readonly PlacementModel[],
): ReadonlyMap<string, string> {
  const racks = sumRacks(state.engines);
  const names = new Map(racks.map(({ rack }) => [rack, rack]));
  racks.forEach((a, i) => {
    for (const b of racks.slice(i + 1)) {
      const [from, to] = [names.get(a.rack), names.get(b.rack)] as [string, string];
      if (from !== to && isFree(state, models, a, b)) {
        const kept = from < to ? from : to;
        names.forEach((name, rack) => {
          if (name === from || name === to) {
            names.set(rack, kept);
          }
        });
      }
    }
  });
  return names;
}

function sumRacks(engines: readonly PlacementEngine[]): readonly RackFacts[] {
  const racks = new Map<string, RackFacts>();
  for (const engine of engines) {
    const { rack } = engine.facts;
    const known = racks.get(rack);
    racks.set(rack, {
      rack,
      engine: known?.engine ?? engine,
      rate: (known?.rate ?? 0) + getRate(engine),
    });
  }
  return [...racks.values()].sort((a, b) => (a.rack < b.rack ? -1 : 1));
}

/** Whether a link carries whatever the weaker of two racks can do of any model. */
function isFree(
  { manifest }: PlacementState,
  models: readonly PlacementModel[],
  a: RackFacts,
  b: RackFacts,
): boolean {
  const link = manifest.findLink([a.rack, a.engine.facts.domain], [b.rack, b.engine.facts.domain]);
  const rate = Math.min(a.rate, b.rate);
  return (
    !link ||
    models.every(
      ({ activationBytes, layers }) =>
        (rate / layers) * activationBytes * TOKENS_PER_TOKEN <= link.bytesPerSecond * LINK_FILL,
    )
  );
}
