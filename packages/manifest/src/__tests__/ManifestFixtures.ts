/** Creates manifests with any number of teams for tests. */
import { createHash } from 'node:crypto';
import { checkManifest } from '../ManifestCheck.js';
import type { Manifest } from '../ManifestSchema.js';

/** Returns the bearer key of a team that `createManifest` creates. */
export function getTestKey(team: number): string {
  return `test-key-${team}`;
}

/** Creates a complete manifest with `teamCount` teams, sorted by id. */
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
