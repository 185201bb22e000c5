/**
 * The compiled configuration, indexed for lookup: routes by host and prefix, teams by key. Each new version
 * replaces the whole table; a request keeps using the table with which it started.
 */
import type { ServiceId } from '@skylarksail/core/CoreTypes';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { Route, RouteConfig, RoutedService, RouteTeam } from './RouteTypes.js';

export interface RouteTable {
  readonly config: RouteConfig;
  /** Returns the route with the longest matching prefix of the path, or null. */
  findRoute(host: string, path: string): Route | null;
  /** Returns the team to which a key belongs, or null. */
  findTeam(key: string): RouteTeam | null;
  findService(id: ServiceId): RoutedService | null;
}

/** Compiles a configuration. A lookup takes one step per path segment, independent of the number of routes. */
export function createRouteTable(config: RouteConfig): RouteTable {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of config.routes) {
    const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    hosts.set(route.host, prefixes);
  }
  const services = new Map(config.services.map((service) => [service.id, service]));
  const teams = new Map(
    (config.teams ?? []).flatMap((team) => team.keys.map((key) => [key, team] as const)),
  );
  return {
    config,
    findRoute(host, path) {
      const prefixes = hosts.get(host);
      return prefixes ? findLongest(prefixes, path) : null;
    },
    findTeam: (key) => teams.get(key) ?? null,
    findService: (id) => services.get(id) ?? null,
  };
}

/** Finds the longest prefix. Prefixes end with a slash, so only the parts of the path up to a slash can match. */
function findLongest(prefixes: ReadonlyMap<string, Route>, path: string): Route | null {
  for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route) {
      return route;
    }
    if (end === 0) {
      return null;
    }
  }
  return null;
}

/** Picks one of a route's services at random by weight. Returns null if no target has a positive weight. */
export function drawService(route: Route, random: Random): ServiceId | null {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let draw = random.nextFloat() * total;
  for (const { service, weight } of route.targets) {
    draw -= weight;
    if (draw < 0) {
      return service;
    }
  }
  return null;
}
