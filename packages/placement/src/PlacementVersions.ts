/** Which version of a model new requests should run while versions change. */
import type { EngineLoad, EngineFacts } from '@skylarksail/core/CoreEngine';
import type { VersionId } from '@skylarksail/core/CoreTypes';
import { computeVersionCapacities } from './PlacementCapacity.js';
import type { PlacementModel } from './PlacementTypes.js';

/** A version that may be routed to, with the share of new requests that should run it. */
export interface ServableVersion {
  readonly version: VersionId;
  readonly tokensPerSecond: number;
  readonly share: number;
}

/** Without a minimum, the wanted version is served once it has this share of what is served. */
const ENOUGH_SHARE = 0.5;

/**
 * Versions that new requests should run, by share. The wanted one alone as soon as a whole chain holds
 * it and it gives the minimum; until then the old one alone while it gives the minimum; else all, each
 * by what it can carry. Empty if no whole chain holds any version.
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
  const all = [...computeVersionCapacities(model, serving)].sort(
    ([a, x], [b, y]) => y - x || (a < b ? -1 : 1),
  );
  const total = all.reduce((sum, [, capacity]) => sum + capacity, 0);
  const wanted = all.find(([version]) => version === model.serve);
  const enough = minTokensPerSecond > 0 ? minTokensPerSecond : total * ENOUGH_SHARE;
  const alone = wanted && wanted[1] >= enough ? wanted : all.find(([, rate]) => rate >= enough);
  return (alone ? [alone] : all).map(([version, tokensPerSecond]) => ({
    version,
    tokensPerSecond,
    share: alone ? 1 : tokensPerSecond / total,
  }));
}

/** The version to route one request to: `draw` in [0, 1) chooses by share. Null if none can be served. */
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
