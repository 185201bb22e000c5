/** Checks a manifest as a whole: its shape, and that every name it uses is one that it defines. */
import { z } from 'zod';
import type { Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { Manifest, ManifestTeam } from './ManifestSchema.js';
import { manifestSchema, teamSchema } from './ManifestSchema.js';
import type { SlicedWork } from './ManifestSlices.js';
import { mapInSlices, runSynchronously } from './ManifestSlices.js';

/** One thing that is wrong, with where it stands: `teams[3].models[0]`. */
export interface ManifestFault {
  readonly path: string;
  readonly message: string;
}

/** The whole but for its teams, which are checked one by one. */
const outlineSchema = manifestSchema.extend({ teams: z.array(z.unknown()).default([]) });

/** Gives the manifest with its defaults filled in, or everything that is wrong with it. */
export function checkManifest(input: unknown): Result<Manifest, readonly ManifestFault[]> {
  return runSynchronously(checkInSlices(input));
}

/** The same as work in slices. */
export function* checkInSlices(
  input: unknown,
): SlicedWork<Result<Manifest, readonly ManifestFault[]>> {
  const outline = outlineSchema.safeParse(input);
  if (!outline.success) {
    return createFailed(listFaults(outline.error, []));
  }
  const checked = yield* mapInSlices(outline.data.teams, (team, i) => {
    const parsed = teamSchema.safeParse(team);
    return parsed.success ? parsed.data : listFaults(parsed.error, ['teams', i]);
  });
  const faults = checked.filter((team) => Array.isArray(team)).flat();
  if (faults.length > 0) {
    return createFailed(faults);
  }
  const manifest: Manifest = { ...outline.data, teams: checked as ManifestTeam[] };
  const wrong: ManifestFault[] = [];
  for (const find of [findRepeatedIds, findUnknownNames, findRepeatedKeys]) {
    wrong.push(...find(manifest));
    yield;
  }
  return wrong.length === 0 ? createOk(manifest) : createFailed(wrong);
}

function listFaults(error: z.ZodError, above: readonly PropertyKey[]): ManifestFault[] {
  return error.issues.map(({ path, message }) => ({
    path: formatPath([...above, ...path]),
    message,
  }));
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number' ? `${text}[${part}]` : `${text}${text ? '.' : ''}${String(part)}`,
    '',
  );
}

function findRepeatedIds(manifest: Manifest): ManifestFault[] {
  const lists = {
    models: manifest.models,
    teams: manifest.teams,
    services: manifest.services,
    domains: manifest.domains,
    accelerators: manifest.accelerators,
  };
  return Object.entries(lists).flatMap(([list, elements]) => {
    const seen = new Set<string>();
    return elements.flatMap(({ id }, i) => {
      const repeated = seen.has(id);
      seen.add(id);
      return repeated ? [{ path: `${list}[${i}].id`, message: `"${id}" is defined twice` }] : [];
    });
  });
}

function findUnknownNames(manifest: Manifest): ManifestFault[] {
  const models = new Set(manifest.models.map(({ id }) => id));
  const services = new Set(manifest.services.map(({ id }) => id));
  const faults: ManifestFault[] = [];
  const expectKnown = (known: ReadonlySet<string>, id: string, path: string): void => {
    if (!known.has(id)) {
      faults.push({ path, message: `"${id}" is not defined` });
    }
  };
  manifest.models.forEach((model, i) => {
    const versions = new Set(model.versions.map(({ id }) => id));
    expectKnown(versions, model.serve, `models[${i}].serve`);
  });
  manifest.teams.forEach((team, i) => {
    team.models.forEach((id, j) => expectKnown(models, id, `teams[${i}].models[${j}]`));
    team.services.forEach((id, j) => expectKnown(services, id, `teams[${i}].services[${j}]`));
  });
  manifest.domains.forEach((domain, i) => {
    domain.serves.forEach(({ model }, j) =>
      expectKnown(models, model, `domains[${i}].serves[${j}].model`),
    );
  });
  return faults;
}

/**
 * Two teams with one key would see each other's answers, and which team a caller is would depend on
 * the order of the list; the manifest is refused instead.
 */
function findRepeatedKeys(manifest: Manifest): ManifestFault[] {
  const owners = new Map<string, string>();
  return manifest.teams.flatMap((team, i) =>
    team.keyHashes.flatMap((hash, j) => {
      const owner = owners.get(hash);
      owners.set(hash, owner ?? team.id);
      return owner === undefined
        ? []
        : [{ path: `teams[${i}].keyHashes[${j}]`, message: `also a key of "${owner}"` }];
    }),
  );
}
