/**
 * Islands: sets of racks whose links are fast enough for the engines' activations. A chain that crosses a slow
 * link is no faster than the link, so each island that can hold a model gets whole chains of its own.
 */
import { getRate } from './PlacementGoals.js';
import type { PlacementEngine, PlacementModel, PlacementState } from './PlacementTypes.js';

/** Share of a link's bandwidth that a plan may use. */
const MAX_LINK_SHARE = 0.5;
/** Activations that cross a link per generated token: its own and those of prompt tokens. */
const ACTIVATIONS_PER_TOKEN = 2;

/** A rack's total rate, with one of its engines for the rack's domain. */
interface RackSummary {
  readonly rack: string;
  readonly engine: PlacementEngine;
  readonly rate: number;
}

/** The island of each rack; an island has the name of its alphabetically first rack. */
export function findIslands(
  state: PlacementState,
  models: readonly PlacementModel[],
): ReadonlyMap<string, string> {
  const racks = summarizeRacks(state.engines);
  const names = new Map(racks.map(({ rack }) => [rack, rack]));
  racks.forEach((a, i) => {
    for (const b of racks.slice(i + 1)) {
      const [from, to] = [names.get(a.rack), names.get(b.rack)] as [string, string];
      if (from !== to && hasFastLink(state, models, a, b)) {
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

function summarizeRacks(engines: readonly PlacementEngine[]): readonly RackSummary[] {
  const racks = new Map<string, RackSummary>();
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

/**
 * Whether the link between two racks can carry the activations of any model at the slower rack's full rate. A
 * link that the manifest does not list counts as unlimited.
 */
function hasFastLink(
  { manifest }: PlacementState,
  models: readonly PlacementModel[],
  a: RackSummary,
  b: RackSummary,
): boolean {
  const link = manifest.findLink([a.rack, a.engine.facts.domain], [b.rack, b.engine.facts.domain]);
  const rate = Math.min(a.rate, b.rate);
  return (
    !link ||
    models.every(
      ({ activationBytes, layers }) =>
        (rate / layers) * activationBytes * ACTIVATIONS_PER_TOKEN <=
        link.bytesPerSecond * MAX_LINK_SHARE,
    )
  );
}
