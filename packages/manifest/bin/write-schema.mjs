/** Regenerates schema/manifest.schema.json. Run it after changing ManifestSchema, and commit both. */
import { URL } from 'node:url';
import { writeFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { createManifestJsonSchema } from '@skylarksail/manifest/ManifestJsonSchema';

const file = new URL('../../../schema/manifest.schema.json', import.meta.url);
const options = await resolveConfig(file);
const text = JSON.stringify(createManifestJsonSchema());
writeFileSync(file, await format(text, { ...options, parser: 'json' }));
