import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import { manifestSchema } from '@skylarksail/manifest/ManifestSchema';
import { planPlacement } from '@skylarksail/placement/PlacementPlan';
import type { PlacementManifest } from '@skylarksail/placement/PlacementTypes';

// Plans the placement of the firms' own manifests with thirteen engines for each domain, of the accelerator
// kinds that each manifest lists.

const MANIFESTS = new URL('../../../../../manifests/', import.meta.url);
const ENGINES_PER_DOMAIN = 13;

function readManifest(name: string): PlacementManifest {
  const text = readFileSync(new URL(`${name}.json`, MANIFESTS), 'utf8');
  const manifest = manifestSchema.parse(JSON.parse(text));
  return {
    revision: 1,
    domains: manifest.domains,
    getModel: (id) => manifest.models.find((model) => model.id === id),
    getDomain: (id) => manifest.domains.find((domain) => domain.id === id),
    getAccelerator: (id) => manifest.accelerators.find((accelerator) => accelerator.id === id),
    findLink: () => undefined,
  };
}

function createEngines(name: string, domain: string): readonly EngineFacts[] {
  const text = readFileSync(new URL(`${name}.json`, MANIFESTS), 'utf8');
  const { accelerators } = manifestSchema.parse(JSON.parse(text));
  return Array.from({ length: ENGINES_PER_DOMAIN }, (_, i) => {
    const { id, ...facts } = accelerators[i % accelerators.length] ?? {};
    return {
      ...(facts as Omit<EngineFacts, 'id'>),
      id: `${domain}-e${i}`,
      domain,
      rack: `${domain}-r${Math.floor(i / 5)}`,
      address: { host: '127.0.0.1', port: 1 },
      accelerator: id ?? '',
    };
  });
}

describe("placement of the firms' manifests", () => {
  for (const name of ['pnw', 'tt-north']) {
    it(`meets each domain's minimum rates and uses over 90% of its engines' decode rate: ${name}`, () => {
      const manifest = readManifest(name);
      manifest.domains.forEach(({ id: domain, serves }) => {
        const facts = createEngines(name, domain);
        const engines = facts.map((fact) => ({
          facts: fact,
          holding: null,
          expected: null,
          isUsable: true,
          running: 0,
        }));
        const { capacities } = planPlacement({ domain, manifest, engines });
        const used = serves.reduce((sum, { model, minTokensPerSecond }) => {
          const rate = capacities.get(model) ?? 0;
          expect(rate, `${domain} ${model}`).to.be.at.least(minTokensPerSecond);
          return sum + rate * (manifest.getModel(model)?.layers ?? 0);
        }, 0);
        const bound = facts.reduce((sum, fact) => sum + fact.decodeLayerTokensPerSecond, 0);
        expect(used / bound, domain).to.be.above(0.9);
      });
    });
  }
});
