/**
 * Read access to one revision of the manifest for the rest of an instance. Leaves stay serialized until
 * one of their teams is requested: with 47,000 teams the parsed form would exceed an instance's memory.
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

/** Maximum number of cached parsed leaves. Few are enough, because few teams call often. */
const MAX_PARSED_LEAVES = 128;
const ANY_PLACE = '*';

/** A complete manifest with its chunks. */
export interface HeldManifest {
  readonly root: ManifestRoot;
  readonly tree: ManifestTree;
  readonly chunks: ReadonlyMap<ChunkRef, string>;
}

/** An immutable view of one revision. A running request keeps the view that it started with. */
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
  /** Finds the link between two places; each lists its names from the rack up to the region. */
  findLink(from: readonly string[], to: readonly string[]): ManifestLink | undefined;
}

interface CompiledView extends ManifestView {
  readonly tree: ManifestTree;
  readonly base: ManifestBase;
  readonly keyTable: KeyTable;
}

/** Creates a view that shares unchanged data with `previous`. */
export function createManifestView(
  { root, tree, chunks }: HeldManifest,
  previous: ManifestView | null = null,
): ManifestView {
  const getChunk: GetChunk = (ref) => chunks.get(ref);
  const reusable = findReusableView(tree, previous as CompiledView | null);
  const base = reusable?.base ?? readBase(tree, getChunk);
  const models = reusable?.models ?? readModels(tree, getChunk);
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
    invariant(leaf !== undefined, 'the number of leaves must match the leaf count of the body');
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

/** Returns the previous view if only teams have changed since. */
function findReusableView(tree: ManifestTree, previous: CompiledView | null): CompiledView | null {
  const hasSameParts =
    previous?.tree.body.parts.length === tree.body.parts.length &&
    tree.body.parts.every(({ ref }, i) => previous.tree.body.parts[i]?.ref === ref);
  return hasSameParts ? previous : null;
}

function indexById<T extends { readonly id: string }>(elements: readonly T[]): Map<string, T> {
  return new Map(elements.map((element) => [element.id, element]));
}

/** Parses leaves on demand and caches the most recently parsed ones. */
function createLeafReader(getChunk: GetChunk): (leaf: ChunkRef) => readonly ManifestTeam[] {
  const parsed = new Map<ChunkRef, readonly ManifestTeam[]>();
  return (leaf) => {
    const cached = parsed.get(leaf);
    if (cached) {
      return cached;
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
  for (const fromName of [...from, ANY_PLACE]) {
    for (const toName of [...to, ANY_PLACE]) {
      const found = links.find(
        (link) =>
          (link.from === fromName && link.to === toName) ||
          (link.from === toName && link.to === fromName),
      );
      if (found) {
        return found;
      }
    }
  }
  return undefined;
}
