/** Manifests for the config bench with any number of teams. */
import { createHash } from 'node:crypto';
import type { ManifestInput } from '@skylarksail/manifest/ManifestSchema';

const MODELS = 9;
const DOMAINS = 8;

/** Returns the bearer key of a team in the manifests of `createBenchManifest`. */
export function getBenchKey(team: number): string {
  return `bench-key-${team}`;
}

/**
 * Creates the manifest of a change, in which one team has a higher queue limit. Racing submissions of
 * the same change differ in `variant`, which is added to that limit.
 */
export function createBenchManifest(
  teamCount: number,
  change: number,
  variant: number,
): ManifestInput {
  const models = Array.from({ length: MODELS }, (_, i) => ({
    id: `model-${i}`,
    layers: 48,
    versions: [{ id: 'v1', layerBytes: 1_000_000_000 }],
    serve: 'v1',
    adapters: ['letters', 'notes'],
  }));
  const teams = Array.from({ length: teamCount }, (_, i) => ({
    id: `team-${String(i).padStart(6, '0')}`,
    keyHashes: [`sha256:${createHash('sha256').update(getBenchKey(i)).digest('hex')}`],
    models: [`model-${i % MODELS}`, `model-${(i + 1) % MODELS}`],
    services: [],
    share: 1 + (i % 8),
    queueLimit: i === change % teamCount ? 100 + change + variant : 64,
  }));
  const domains = Array.from({ length: DOMAINS }, (_, i) => ({
    id: `d${i}`,
    region: `region-${Math.floor(i / 2)}`,
    serves: models.map(({ id }) => ({ model: id, minTokensPerSecond: 1000 })),
  }));
  return { schema: 1, models, teams, domains };
}
