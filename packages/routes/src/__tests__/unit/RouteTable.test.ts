import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Route, RouteConfig } from '../../RouteTypes.js';
import { createRouteTable, drawService } from '../../RouteTable.js';

function createRoute(prefix: string, change: Partial<Route> = {}): Route {
  return {
    name: `route ${prefix}`,
    host: 'h',
    prefix,
    kind: 'safe',
    isResumable: false,
    timeout: 1000,
    firstAnswerGoal: 100,
    callerPatience: null,
    pauseGoal: null,
    priority: 1,
    targets: [{ service: 's', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    ...change,
  };
}

function createConfig(routes: readonly Route[]): RouteConfig {
  return {
    version: 1,
    routes,
    services: [{ id: 's', maxConnections: 10, healthPath: '/health', pipeline: null }],
    teams: [{ id: 'branches', keys: ['k1', 'k2'], priority: null }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  };
}

describe('RouteTable', () => {
  it('matches the longest prefix that ends at a slash', () => {
    const table = createRouteTable(
      createConfig([createRoute('/'), createRoute('/a/'), createRoute('/a/b/')]),
    );
    const find = (path: string): string | undefined => table.findRoute('h', path)?.prefix;
    expect(find('/a/b/c')).to.equal('/a/b/');
    expect(find('/a/b/')).to.equal('/a/b/');
    expect(find('/a/b')).to.equal('/a/');
    expect(find('/ab/c')).to.equal('/');
  });

  it('finds no route for another host or without a matching prefix', () => {
    const table = createRouteTable(createConfig([createRoute('/a/')]));
    expect(table.findRoute('other', '/a/x')).to.equal(null);
    expect(table.findRoute('h', '/b/x')).to.equal(null);
    expect(table.findRoute('h', '')).to.equal(null);
  });

  it('finds a team by each of its keys', () => {
    const table = createRouteTable(createConfig([]));
    expect(table.findTeam('k2')?.id).to.equal('branches');
    expect(table.findTeam('k3')).to.equal(null);
  });

  it('finds each of thousands of routes', () => {
    const routes = Array.from({ length: 5000 }, (_, i) => createRoute(`/r${i}/x/`));
    const table = createRouteTable(createConfig(routes));
    const found = routes.filter(
      ({ prefix }) => table.findRoute('h', `${prefix}y`)?.prefix === prefix,
    );
    expect(found).to.have.length(5000);
  });

  it('picks services by weight', () => {
    const route = createRoute('/', {
      targets: [
        { service: 'a', weight: 90 },
        { service: 'b', weight: 10 },
      ],
    });
    const random = createRandom(1);
    const drawn = Array.from({ length: 1000 }, () => drawService(route, random));
    const share = drawn.filter((service) => service === 'b').length;
    expect(share).to.be.within(70, 130);
    expect(drawService(createRoute('/', { targets: [] }), random)).to.equal(null);
  });
});
