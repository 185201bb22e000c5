/**
 * Tells when layers of the own failure domain go without an engine, and when all are held again. Without such
 * a line a bad span of time can be told only from the requests that it cost.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, ServiceId } from '@skylarksail/core/CoreTypes';
import { findGaps } from '@skylarksail/placement/PlacementRanges';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { Catalogue } from './RelayCatalogue.js';

/** The layers of one service in a failure domain. */
export interface LayerCoverage {
  readonly service: ServiceId;
  readonly domain: DomainId;
  /** Layers that no engine holds that takes new work. */
  readonly missing: number;
  readonly engines: number;
}

export interface RelayCoverageOptions {
  readonly domain: DomainId;
  readonly catalogue: Catalogue;
  readonly getTable: () => RouteTable | null;
  readonly onChange: (coverage: LayerCoverage) => void;
}

/** The returned function looks at the catalogue as it is now, and tells of what has changed since. */
export function createCoverageCheck(options: RelayCoverageOptions): () => void {
  const { domain, catalogue, getTable, onChange } = options;
  const known = new Map<ServiceId, number>();

  return () => {
    for (const { id, pipeline } of getTable()?.config.services ?? []) {
      if (pipeline !== null) {
        const live = catalogue
          .list()
          .filter(
            (entry) =>
              entry.service === id && entry.domain === domain && entry.state === LifeState.Live,
          );
        const gaps = findGaps(
          live.map(({ id: engine, layers }) => ({ id: engine, memoryBytes: 0, held: layers })),
          pipeline,
        );
        const missing = gaps.reduce((sum, { first, end }) => sum + end - first, 0);
        if (known.get(id) !== missing) {
          known.set(id, missing);
          onChange({ service: id, domain, missing, engines: live.length });
        }
      }
    }
  };
}
