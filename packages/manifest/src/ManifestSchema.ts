/** Schemas that validate a manifest, and the types that are inferred from them. */
import { z } from 'zod';
import { Priority } from '@skylarksail/core/CoreConstants';

const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const KEY_HASH_PATTERN = /^sha256:[0-9a-f]{64}$/;

const name = z.string().regex(NAME_PATTERN, 'lower-case letters, digits, dots and hyphens');
const priority = z.enum(Priority);

/** One version of a model's weights. */
export const versionSchema = z.strictObject({
  id: name,
  /** Size of one layer's weights in bytes. */
  layerBytes: z.int().positive(),
});

export const modelSchema = z.strictObject({
  id: name,
  layers: z.int().min(1).max(1024),
  versions: z.array(versionSchema).min(1),
  /** Version that serves new requests. */
  serve: name,
  adapters: z.array(name).default([]),
  /** Bytes that one stage sends to the next per token. */
  activationBytes: z.int().positive().default(16384),
  maxContextTokens: z.int().positive().default(32768),
});

export const teamSchema = z.strictObject({
  id: name,
  /** SHA-256 of each bearer key; a manifest never contains the keys themselves. */
  keyHashes: z.array(z.string().regex(KEY_HASH_PATTERN)).min(1),
  models: z.array(name).default([]),
  services: z.array(name).default([]),
  /** Weight by which teams share capacity when demand exceeds it. */
  share: z.number().positive().max(1000).default(1),
  maxPriority: priority.default('normal'),
  /** Maximum number of queued requests of this team at one instance. */
  queueLimit: z.int().min(0).max(10000).default(64),
});

export const routeSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path relative to the service: an exact path, or a prefix that ends in `*`. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
});

export const serviceSchema = z.strictObject({
  id: name,
  /** Routes that override whether their method is idempotent; GET, HEAD, PUT and DELETE are by default. */
  routes: z.array(routeSchema).default([]),
  timeoutMs: z.int().positive().default(10000),
});

export const domainSchema = z.strictObject({
  id: name,
  region: name.default('local'),
  /** Models that the domain must be able to serve. */
  serves: z
    .array(
      z.strictObject({
        model: name,
        /** Minimum capacity that must stay available while versions or layer ranges change. */
        minTokensPerSecond: z.number().min(0).default(0),
        /** Weight by which the model shares the domain's accelerators beyond the minimum. */
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
  /** Whether engines on this accelerator reject an order with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
});

export const linkSchema = z.strictObject({
  /** Racks, domains or regions that the link connects; `*` matches any other. */
  from: z.string(),
  to: z.string(),
  bytesPerSecond: z.number().positive(),
  delayMs: z.number().min(0),
});

export const limitsSchema = z.strictObject({
  /** Deadline of a request that does not specify one. */
  defaultDeadlineMs: z.int().positive().default(60000),
  maxDeadlineMs: z.int().positive().default(600000),
  /** Maximum ratio of retries to first attempts across the whole fleet. */
  retryShare: z.number().min(0).max(1).default(0.1),
  /** Share of a domain's capacity that other domains may use. */
  crossDomainShare: z.number().min(0).max(1).default(0.2),
  /** Retention time of the claim of a request with an idempotency key. */
  claimRetentionMs: z.int().positive().default(86400000),
  /** Number of crashes after which a request is rejected as a poison request. */
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
