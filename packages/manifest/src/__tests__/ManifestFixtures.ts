/** Manifests of any size for tests. */
import { createHash } from 'node:crypto';
import { checkManifest } from '../ManifestCheck.js';
import type { Manifest } from '../ManifestSchema.js';

/** Bearer key of a team of `createManifest`. */
export function getTestKey(team: number): string {
  return `test-key-${team}`;
}

/** A whole manifest with so many teams, in order of their ids. */
export function createManifest(teamCount: number): Manifest {
  const checked = checkManifest({
    schema: 1,
    models: [{ id: 'notes', layers: 8, versions: [{ id: 'v1', layerBytes: 1000 }], serve: 'v1' }],
    teams: Array.from({ length: teamCount }, (_, i) => ({
      id: `team-${String(i).padStart(6, '0')}`,
      keyHashes: [`sha256:${createHash('sha256').update(getTestKey(i)).digest('hex')}`],
      models: ['notes'],
    })),
    domains: [{ id: 'north' }, { id: 'south' }],
  });
  if (!checked.ok) {
    throw new Error(JSON.stringify(checked.error));
  }
  return checked.value;
}
