/** Shape of a manifest, checked by the schema library; other modules use the types inferred here. */
import { z } from 'zod';
import { Priority } from '@skylarksail/core/CoreConstants';

const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const KEY_HASH_PATTERN = /^sha256:[0-9a-f]{64}$/;

const name = z.string().regex(NAME_PATTERN, 'lower-case letters, digits, dots and hyphens');
const priority = z.enum(Priority);

/** A version of a model's weights. */
export const versionSchema = z.strictObject({
  id: name,
  /** Bytes of the weights of one layer. */
  layerBytes: z.int().positive(),
});

export const modelSchema = z.strictObject({
  id: name,
  layers: z.int().min(1).max(1024),
  versions: z.array(versionSchema).min(1),
  /** Version that new requests run. */
  serve: name,
  adapters: z.array(name).default([]),
  /** Bytes that pass from one stage to the next for one token. */
  activationBytes: z.int().positive().default(16384),
  maxContextTokens: z.int().positive().default(32768),
});

export const teamSchema = z.strictObject({
  id: name,
  /** SHA-256 of each bearer key; the keys themselves are never in a manifest. */
  keyHashes: z.array(z.string().regex(KEY_HASH_PATTERN)).min(1),
  models: z.array(name).default([]),
  services: z.array(name).default([]),
  /** Weight in the sharing of capacity between teams that want more than there is. */
  share: z.number().positive().max(1000).default(1),
  maxPriority: priority.default('normal'),
  /** Requests of this team that may wait at one instance. */
  queueLimit: z.int().min(0).max(10000).default(64),
});

export const routeSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service, exact or ending in `*`. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
});

export const serviceSchema = z.strictObject({
  id: name,
  /** Calls that differ from what their method promises (GET, HEAD, PUT and DELETE are idempotent). */
  routes: z.array(routeSchema).default([]),
  timeoutMs: z.int().positive().default(10000),
});

export const domainSchema = z.strictObject({
  id: name,
  region: name.default('local'),
  /** What the domain must be able to serve, model by model. */
  serves: z
    .array(
      z.strictObject({
        model: name,
        /** Least capacity that must stay up while versions or layer ranges change. */
        minTokensPerSecond: z.number().min(0).default(0),
        /** Share of the domain's accelerators beyond the minimum. */
        weight: z.number().positive().default(1),
      }),
    )
    .default([]),
});

export const acceleratorSchema = z.strictObject({
  id: name,
  decodeLayerTokensPerSecond: z.number().positive(),
  prefillLayerTokensPerSecond: z.number().positive(),
  weightBytes: z.number().positive(),
  kvLayerTokens: z.number().positive(),
  maxBatch: z.int().positive().default(64),
  /** Whether these engines refuse an order with an old fencing number. */
  checksFencing: z.boolean().default(false),
});

export const linkSchema = z.strictObject({
  /** Racks, domains or regions that the link joins; `*` is any other. */
  from: z.string(),
  to: z.string(),
  bytesPerSecond: z.number().positive(),
  delayMs: z.number().min(0),
});

export const limitsSchema = z.strictObject({
  /** Deadline of a request that names none. */
  defaultDeadlineMs: z.int().positive().default(60000),
  maxDeadlineMs: z.int().positive().default(600000),
  /** Retries as a share of first tries, over the whole fleet. */
  retryShare: z.number().min(0).max(1).default(0.1),
  /** Share of a domain's capacity that may be lent to other domains. */
  crossDomainShare: z.number().min(0).max(1).default(0.2),
  /** How long the claim of a keyed request is kept. */
  claimRetentionMs: z.int().positive().default(86400000),
  /** Crashes after which a request is refused. */
  poisonCrashes: z.int().min(1).default(2),
});

export const manifestSchema = z.strictObject({
  schema: z.literal(1),
  models: z.array(modelSchema).default([]),
  teams: z.array(teamSchema).default([]),
  services: z.array(serviceSchema).default([]),
  domains: z.array(domainSchema).min(1),
  accelerators: z.array(acceleratorSchema).default([]),
  links: z.array(linkSchema).default([]),
  limits: limitsSchema.prefault({}),
});

export type Manifest = z.output<typeof manifestSchema>;
export type ManifestInput = z.input<typeof manifestSchema>;
export type ManifestModel = z.output<typeof modelSchema>;
export type ManifestTeam = z.output<typeof teamSchema>;
export type ManifestService = z.output<typeof serviceSchema>;
export type ManifestDomain = z.output<typeof domainSchema>;
export type ManifestAccelerator = z.output<typeof acceleratorSchema>;
export type ManifestLink = z.output<typeof linkSchema>;
export type ManifestLimits = z.output<typeof limitsSchema>;
