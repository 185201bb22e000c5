/** The published JSON Schema of a manifest, made from the schema that manifests are checked by. */
import { z } from 'zod';
import { manifestSchema } from './ManifestSchema.js';

/** What a submitter may write: fields with a default may be left out. */
export function createManifestJsonSchema(): Record<string, unknown> {
  return {
    ...z.toJSONSchema(manifestSchema, { io: 'input' }),
    title: 'skylarksail manifest',
  };
}
