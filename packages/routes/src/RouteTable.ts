/**
 * The compiled configuration: routes by host and prefix, teams by key. A new version makes a new table
 * that takes the place of the old one whole; a request keeps the table that it began with.
 */
import type { ServiceId } from '@skylarksail/core/CoreTypes';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { Route, RouteConfig, RoutedService, RouteTeam } from './RouteTypes.js';

export interface RouteTable {
  readonly config: RouteConfig;
  /** The route with the longest prefix that begins the path, or null. */
  findRoute(host: string, path: string): Route | null;
  /** The team that holds a key, or null. */
  findTeam(key: string): RouteTeam | null;
  findService(id: ServiceId): RoutedService | null;
}

/** Compiles a configuration. A look-up costs as many steps as the path has parts, whatever the routes. */
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

/** Every prefix ends with a slash, so only the path's own beginnings up to a slash can match. */
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

/** Draws one of a route's services by weight. Null if no target has any. */
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
