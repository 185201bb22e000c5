import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRouteTable } from '@skylarksail/routes/RouteTable';
import type { RoutedService } from '@skylarksail/routes/RouteTypes';
import { createCatalogue } from '../../RelayCatalogue.js';
import { createCoverageCheck } from '../../RelayCoverage.js';
import { createConfig, PIPELINE } from './RelayFixtures.js';

describe('RelayCoverage', () => {
  it('reports a gap again when its service was gone in between', () => {
    // Guards against missing layers that no log shows, and memory that grows with each service that was ever configured.
    const [letters] = createConfig().services as [RoutedService];
    const changes: string[] = [];
    let services: readonly RoutedService[] = [];
    const check = createCoverageCheck({
      domain: 'd1',
      catalogue: createCatalogue(createVirtualTimers()),
      getTable: () => createRouteTable(createConfig({ services })),
      onChange: ({ service, missing }) => changes.push(`${service} ${missing}`),
    });
    const withLetters = [{ ...letters, pipeline: PIPELINE }];
    [withLetters, withLetters, [], withLetters].forEach((next) => {
      services = next;
      check();
    });
    expect(changes).to.deep.equal(['letters 8', 'letters 8']);
  });
});
