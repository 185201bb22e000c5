/** Chooses the version of a model that new requests run during a version rollout. */
import type { EngineLoad, EngineFacts } from '@skylarksail/core/CoreEngine';
import type { VersionId } from '@skylarksail/core/CoreTypes';
import { computeVersionCapacities } from './PlacementCapacity.js';
import type { PlacementModel } from './PlacementTypes.js';

/** A version that requests may be routed to, with the share of new requests that should run it. */
export interface ServableVersion {
  readonly version: VersionId;
  readonly tokensPerSecond: number;
  readonly share: number;
}

/** Without a minimum, one version serves alone once it has this share of the model's capacity. */
const SOLE_VERSION_SHARE = 0.5;

/**
 * Lists the versions that new requests should run, with their shares. Lists only the manifest's version
 * once a whole chain holds it and it provides the minimum; until then only an old version that provides
 * the minimum; otherwise all versions, in proportion to capacity. Empty if no whole chain holds any.
 */
export function getServableVersions(
  model: PlacementModel,
  minTokensPerSecond: number,
  engines: readonly { readonly facts: EngineFacts; readonly load: EngineLoad }[],
): readonly ServableVersion[] {
  const serving = engines.flatMap(({ facts, load }) => {
    const { holding } = load;
    const engine = { facts, holding, expected: holding, isUsable: true, running: load.running };
    return holding && load.state === 'live' ? [{ engine, holding }] : [];
  });
  const capacities = [...computeVersionCapacities(model, serving)].sort(
    ([a, x], [b, y]) => y - x || (a < b ? -1 : 1),
  );
  const total = capacities.reduce((sum, [, capacity]) => sum + capacity, 0);
  const target = capacities.find(([version]) => version === model.serve);
  const required = minTokensPerSecond > 0 ? minTokensPerSecond : total * SOLE_VERSION_SHARE;
  const sole =
    target && target[1] >= required ? target : capacities.find(([, rate]) => rate >= required);
  return (sole ? [sole] : capacities).map(([version, tokensPerSecond]) => ({
    version,
    tokensPerSecond,
    share: sole ? 1 : tokensPerSecond / total,
  }));
}

/** Picks the version for one request: `draw` in [0, 1) selects by share. Null if none can be served. */
export function chooseServableVersion(
  versions: readonly ServableVersion[],
  draw: number,
): VersionId | null {
  let sum = 0;
  for (const { version, share } of versions) {
    sum += share;
    if (draw < sum) {
      return version;
    }
  }
  return versions.at(-1)?.version ?? null;
}
