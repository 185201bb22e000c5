import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { checkManifest } from '../../ManifestCheck.js';
import { createManifestJsonSchema } from '../../ManifestJsonSchema.js';
import { hashBearerKey } from '../../ManifestTeams.js';

function readRepositoryFile(path: string): string {
  return readFileSync(new URL(`../../../../../${path}`, import.meta.url), 'utf8');
}

describe('ManifestSamples', () => {
  it('publishes the JSON Schema that matches the validation of manifests', () => {
    // If this fails, regenerate the file with packages/manifest/bin/write-schema.mjs.
    const published: unknown = JSON.parse(readRepositoryFile('schema/manifest.schema.json'));
    expect(published).to.deep.equal(JSON.parse(JSON.stringify(createManifestJsonSchema())));
  });

  ['tt-north', 'pnw'].forEach((firm) => {
    it(`accepts the sample manifest of ${firm} with the keys listed in the README`, () => {
      const checked = checkManifest(JSON.parse(readRepositoryFile(`manifests/${firm}.json`)));
      if (!checked.ok) {
        expect.fail(JSON.stringify(checked.error));
      }
      const page = readRepositoryFile('manifests/README.md');
      checked.value.teams.forEach((team) => {
        const key = `test-${firm}-${team.id}`;
        expect(page).to.include(`\`${key}\``);
        expect(team.keyHashes).to.deep.equal([hashBearerKey(key)]);
      });
      expect(checked.value.teams).to.have.length(10);
      expect(checked.value.domains).to.have.length(3);
    });
  });
});
