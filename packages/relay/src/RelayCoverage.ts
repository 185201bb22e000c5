/**
 * Reports when no engine of this instance's failure domain holds some of the layers, and when all are held again.
 * Without such a log record, a coverage gap shows only in the requests that failed because of it.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, ServiceId } from '@skylarksail/core/CoreTypes';
import { findGaps } from '@skylarksail/placement/PlacementRanges';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { Catalogue } from './RelayCatalogue.js';

/** How the layers of a service are covered in a failure domain. */
export interface LayerCoverage {
  readonly service: ServiceId;
  readonly domain: DomainId;
  /** Number of layers that are held by no engine that accepts new work. */
  readonly missing: number;
  /** Number of engines that accept new work. */
  readonly engines: number;
}

export interface RelayCoverageOptions {
  readonly domain: DomainId;
  readonly catalogue: Catalogue;
  readonly getTable: () => RouteTable | null;
  readonly onChange: (coverage: LayerCoverage) => void;
}

/** The returned function calls `onChange` for each service whose number of missing layers has changed. */
export function createCoverageCheck(options: RelayCoverageOptions): () => void {
  const { domain, catalogue, getTable, onChange } = options;
  const known = new Map<ServiceId, number>();

  function dropOthers(ids: ReadonlySet<ServiceId>): void {
    [...known.keys()].filter((id) => !ids.has(id)).forEach((id) => known.delete(id));
  }

  return () => {
    const services = getTable()?.config.services ?? [];
    dropOthers(new Set(services.map(({ id }) => id)));
    for (const { id, pipeline } of services) {
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
