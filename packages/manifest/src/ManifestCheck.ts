/** Validates a manifest: its shape, the uniqueness of ids and keys, and that each reference resolves. */
import { z } from 'zod';
import type { Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { Manifest, ManifestTeam } from './ManifestSchema.js';
import { manifestSchema, teamSchema } from './ManifestSchema.js';
import type { SlicedWork } from './ManifestSlices.js';
import { mapInSlices, runSynchronously } from './ManifestSlices.js';

/** A validation error with the path of the offending value, such as `teams[3].models[0]`. */
export interface ManifestFault {
  readonly path: string;
  readonly message: string;
}

/** The manifest schema without the teams, which are validated one by one. */
const uncheckedTeamsSchema = manifestSchema.extend({ teams: z.array(z.unknown()).default([]) });

/** Returns the manifest with its defaults filled in, or the faults that were found. */
export function checkManifest(input: unknown): Result<Manifest, readonly ManifestFault[]> {
  return runSynchronously(checkInSlices(input));
}

/** Interruptible variant of {@link checkManifest}. */
export function* checkInSlices(
  input: unknown,
): SlicedWork<Result<Manifest, readonly ManifestFault[]>> {
  const parsedInput = uncheckedTeamsSchema.safeParse(input);
  if (!parsedInput.success) {
    return createFailed(convertZodError(parsedInput.error, []));
  }
  const checked = yield* mapInSlices(parsedInput.data.teams, (team, i) => {
    const parsed = teamSchema.safeParse(team);
    return parsed.success ? parsed.data : convertZodError(parsed.error, ['teams', i]);
  });
  const faults = checked.filter((team) => Array.isArray(team)).flat();
  if (faults.length > 0) {
    return createFailed(faults);
  }
  const manifest: Manifest = { ...parsedInput.data, teams: checked as ManifestTeam[] };
  const wrong: ManifestFault[] = [];
  for (const findFaults of [findDuplicateIds, findUndefinedReferences, findDuplicateKeys]) {
    wrong.push(...findFaults(manifest));
    yield;
  }
  return wrong.length === 0 ? createOk(manifest) : createFailed(wrong);
}

function convertZodError(error: z.ZodError, parentPath: readonly PropertyKey[]): ManifestFault[] {
  return error.issues.map(({ path, message }) => ({
    path: formatPath([...parentPath, ...path]),
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

function findDuplicateIds(manifest: Manifest): ManifestFault[] {
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

function findUndefinedReferences(manifest: Manifest): ManifestFault[] {
  const models = new Set(manifest.models.map(({ id }) => id));
  const services = new Set(manifest.services.map(({ id }) => id));
  const faults: ManifestFault[] = [];
  const checkReference = (known: ReadonlySet<string>, id: string, path: string): void => {
    if (!known.has(id)) {
      faults.push({ path, message: `"${id}" is not defined` });
    }
  };
  manifest.models.forEach((model, i) => {
    const versions = new Set(model.versions.map(({ id }) => id));
    checkReference(versions, model.serve, `models[${i}].serve`);
  });
  manifest.teams.forEach((team, i) => {
    team.models.forEach((id, j) => checkReference(models, id, `teams[${i}].models[${j}]`));
    team.services.forEach((id, j) => checkReference(services, id, `teams[${i}].services[${j}]`));
  });
  manifest.domains.forEach((domain, i) => {
    domain.serves.forEach(({ model }, j) =>
      checkReference(models, model, `domains[${i}].serves[${j}].model`),
    );
  });
  return faults;
}

/**
 * Finds bearer keys that two teams share. Such teams would see each other's answers, and the team of a
 * caller would depend on the order of the list, so the manifest is rejected.
 */
function findDuplicateKeys(manifest: Manifest): ManifestFault[] {
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
