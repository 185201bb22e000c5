/**
 * A revision of the manifest as the rest of an instance reads it. Leaves of teams stay text until one
 * of their teams is asked for: at 47,000 teams the parsed form would not fit the memory of a node.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { DomainId, ModelId, ServiceId, TeamId } from '@skylarksail/core/CoreTypes';
import type { ChunkRef, GetChunk, ManifestBase, ManifestTree } from './ManifestChunks.js';
import { getLeafNumber, readBase, readLeaf, readModels } from './ManifestChunks.js';
import type { ManifestRoot } from './ManifestRoot.js';
import type {
  ManifestAccelerator,
  ManifestDomain,
  ManifestLimits,
  ManifestLink,
  ManifestModel,
  ManifestService,
  ManifestTeam,
} from './ManifestSchema.js';
import type { KeyTable } from './ManifestTeams.js';
import { createKeyTable, findTeamByKey } from './ManifestTeams.js';

/** Parsed leaves that are kept; the teams that call often are few. */
const MAX_PARSED_LEAVES = 128;
const ANY = '*';

/** A whole manifest with its chunks. */
export interface HeldManifest {
  readonly root: ManifestRoot;
  readonly tree: ManifestTree;
  readonly chunks: ReadonlyMap<ChunkRef, string>;
}

/** One revision, unchanging. A request that runs keeps the view that it started with. */
export interface ManifestView {
  readonly revision: number;
  readonly models: readonly ManifestModel[];
  readonly services: readonly ManifestService[];
  readonly domains: readonly ManifestDomain[];
  readonly accelerators: readonly ManifestAccelerator[];
  readonly links: readonly ManifestLink[];
  readonly limits: ManifestLimits;
  getModel(id: ModelId): ManifestModel | undefined;
  getTeam(id: TeamId): ManifestTeam | undefined;
  /** The team that a bearer key belongs to. */
  getTeamByKey(bearerKey: string): ManifestTeam | undefined;
  getService(id: ServiceId): ManifestService | undefined;
  getDomain(id: DomainId): ManifestDomain | undefined;
  getAccelerator(id: string): ManifestAccelerator | undefined;
  /** Link between two places, each named from the narrowest (rack) to the widest (region). */
  findLink(from: readonly string[], to: readonly string[]): ManifestLink | undefined;
}

interface CompiledView extends ManifestView {
  readonly tree: ManifestTree;
  readonly base: ManifestBase;
  readonly keyTable: KeyTable;
}

/** Compiles a view, sharing with `previous` whatever did not change. */
export function createManifestView(
  { root, tree, chunks }: HeldManifest,
  previous: ManifestView | null = null,
): ManifestView {
  const getChunk: GetChunk = (ref) => chunks.get(ref);
  const shared = findShared(tree, previous as CompiledView | null);
  const base = shared?.base ?? readBase(tree, getChunk);
  const models = shared?.models ?? readModels(tree, getChunk);
  const readTeams = createLeafReader(getChunk);
  const keyTable = createKeyTable(
    tree.leaves,
    (leaf) => readLeaf(leaf, getChunk),
    (previous as CompiledView | null)?.keyTable ?? null,
  );
  const modelsById = indexById(models);
  const servicesById = indexById(base.services);
  const domainsById = indexById(base.domains);
  const acceleratorsById = indexById(base.accelerators);

  function getTeam(id: TeamId): ManifestTeam | undefined {
    const leaf = tree.leaves[getLeafNumber(id, tree.body.leafCount)];
    invariant(leaf !== undefined, 'a tree has as many leaves as its body says');
    return readTeams(leaf).find((team) => team.id === id);
  }

  const view: CompiledView = {
    tree,
    base,
    revision: root.revision,
    models,
    services: base.services,
    domains: base.domains,
    accelerators: base.accelerators,
    links: base.links,
    limits: base.limits,
    keyTable,
    getModel: (id) => modelsById.get(id),
    getTeam,
    getTeamByKey: (bearerKey) => findTeamByKey(keyTable, readTeams, bearerKey),
    getService: (id) => servicesById.get(id),
    getDomain: (id) => domainsById.get(id),
    getAccelerator: (id) => acceleratorsById.get(id),
    findLink: (from, to) => findLink(base.links, from, to),
  };
  return view;
}

/** The previous view, if nothing but teams has changed since. */
function findShared(tree: ManifestTree, previous: CompiledView | null): CompiledView | null {
  const isSame =
    previous?.tree.body.parts.length === tree.body.parts.length &&
    tree.body.parts.every(({ ref }, i) => previous.tree.body.parts[i]?.ref === ref);
  return isSame ? previous : null;
}

function indexById<T extends { readonly id: string }>(elements: readonly T[]): Map<string, T> {
  return new Map(elements.map((element) => [element.id, element]));
}

/** Parses leaves when first read and keeps the newest few. */
function createLeafReader(getChunk: GetChunk): (leaf: ChunkRef) => readonly ManifestTeam[] {
  const parsed = new Map<ChunkRef, readonly ManifestTeam[]>();
  return (leaf) => {
    const known = parsed.get(leaf);
    if (known) {
      return known;
    }
    const teams = readLeaf(leaf, getChunk);
    const [oldest] = parsed.keys();
    if (parsed.size >= MAX_PARSED_LEAVES && oldest !== undefined) {
      parsed.delete(oldest);
    }
    parsed.set(leaf, teams);
    return teams;
  };
}

function findLink(
  links: readonly ManifestLink[],
  from: readonly string[],
  to: readonly string[],
): ManifestLink | undefined {
  for (const a of [...from, ANY]) {
    for (const b of [...to, ANY]) {
      const found = links.find(
        (link) => (link.from === a && link.to === b) || (link.from === b && link.to === a),
      );
      if (found) {
        return found;
      }
    }
  }
  return undefined;
}
