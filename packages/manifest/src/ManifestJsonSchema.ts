/** Generates the published JSON Schema of a manifest from the schema that validates manifests. */
import { z } from 'zod';
import { manifestSchema } from './ManifestSchema.js';

/** Creates the schema of a submitter's input, in which fields with a default are optional. */
export function createManifestJsonSchema(): Record<string, unknown> {
  return {
    ...z.toJSONSchema(manifestSchema, { io: 'input' }),
    title: 'skylarksail manifest',
  };
}
