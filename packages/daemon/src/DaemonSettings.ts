/**
 * Settings of the daemon: one JSON file that is validated completely before any component starts.
 */
import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { z } from 'zod';
import { DEFAULT_CALLER_CONNECTIONS } from '@skylarksail/connections/ConnectionLimits';
import { SettingsError } from './DaemonErrors.js';

const MAX_PORT = 65535;

const ipAddress = z.string().refine((text) => isIP(text) !== 0, 'an IP number, not a host name');

const addressSchema = z.strictObject({
  host: ipAddress,
  port: z.int().min(1).max(MAX_PORT),
});

/** Settings contain no secrets, only the file or the environment variable that holds one. */
const secretSchema = z.union([
  z.strictObject({ file: z.string().min(1) }),
  z.strictObject({ env: z.string().min(1) }),
]);

export const settingsSchema = z
  .strictObject({
    instance: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
    domain: z.string().min(1),
    rack: z.string().min(1).default('rack-0'),
    callers: addressSchema,
    admin: addressSchema,
    peers: addressSchema,
    platform: addressSchema,
    secrets: z.strictObject({
      /** Shared by all instances; authenticates peers to each other. */
      peer: secretSchema,
      /** Bearer token of operators and their deployment pipeline on the admin port. */
      operator: secretSchema,
    }),
    limits: z
      .strictObject({
        bodyBytes: z
          .int()
          .min(1024)
          .max(64 * 1024 * 1024)
          .default(1024 * 1024),
        /** Open connections at the callers' port; half of the process's descriptors at most. */
        connections: z.int().positive().default(DEFAULT_CALLER_CONNECTIONS),
        /** Open connections at the admin port. */
        adminConnections: z.int().positive().default(256),
        /** Bytes of all callers' requests not yet answered and answers not yet read. */
        heldBytes: z.int().positive().default(50_331_648),
        /** Requests at the callers' port that wait behind others of their connections. */
        requestsAhead: z.int().positive().default(512),
        /** A request that has not arrived completely within this time is rejected. */
        receiveTimeoutMs: z.int().min(100).default(10000),
      })
      .prefault({}),
    /** Total read bandwidth of the weight store for all domains; the same on every instance. */
    weightStore: z
      .strictObject({
        bytesPerSecond: z.number().positive().default(4e9),
        /**
         * Size of the token bucket, as the time in which it fills; half of it is reserved for
         * restoring capacity.
         */
        burstMs: z.int().positive().default(60000),
      })
      .prefault({}),
    shutdown: z
      .strictObject({
        /** For this long the load balancer may still send requests to an instance that is not ready. */
        balancerLagMs: z.int().min(0).default(3000),
        graceMs: z.int().positive().default(60000),
      })
      .prefault({}),
    log: z
      .strictObject({
        level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
      })
      .prefault({}),
  })
  .superRefine((settings, ctx) => {
    const ports = (['callers', 'admin', 'peers'] as const).map((name) => ({
      name,
      address: `${settings[name].host}:${settings[name].port}`,
    }));
    ports.forEach(({ name, address }, i) => {
      const earlier = ports.slice(0, i).find((other) => other.address === address);
      if (earlier) {
        ctx.addIssue({
          code: 'custom',
          path: [name],
          message: `same address as "${earlier.name}"`,
        });
      }
    });
    if (settings.limits.heldBytes < 2 * settings.limits.bodyBytes) {
      ctx.addIssue({
        code: 'custom',
        path: ['limits', 'heldBytes'],
        message: 'must be twice bodyBytes or more, or the largest body would not be served',
      });
    }
    if (settings.shutdown.graceMs <= settings.shutdown.balancerLagMs) {
      ctx.addIssue({
        code: 'custom',
        path: ['shutdown', 'graceMs'],
        message: 'must exceed balancerLagMs, or running requests get no time to end',
      });
    }
  });

export type Settings = z.output<typeof settingsSchema>;
type Secret = z.output<typeof secretSchema>;

/** Parses and validates settings. Throws a SettingsError that lists all faults with their paths. */
export function parseSettings(text: string): Settings {
  let input: unknown;
  try {
    input = JSON.parse(text);
  } catch (err) {
    throw new SettingsError(`settings are not JSON: ${(err as Error).message}`);
  }
  const parsed = settingsSchema.safeParse(input);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      ({ path, message }) => `  ${path.join('.') || '(top)'}: ${message}`,
    );
    throw new SettingsError(`settings refused:\n${faults.join('\n')}`);
  }
  return parsed.data;
}

/** Reads and validates a settings file. Throws a SettingsError. */
export function readSettings(path: string): Settings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (err) {
    throw new SettingsError(`settings cannot be read: ${(err as Error).message}`);
  }
  return parseSettings(text);
}

/**
 * Reads a secret from its file or environment variable; it is never logged. Throws a SettingsError.
 */
export function readSecret(secret: Secret, name: string): string {
  const text =
    'env' in secret ? (process.env[secret.env] ?? '') : readSecretFile(secret.file, name);
  const value = text.trim();
  if (value.length === 0) {
    throw new SettingsError(`secrets.${name} is empty`);
  }
  return value;
}

function readSecretFile(path: string, name: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (err) {
    throw new SettingsError(`secrets.${name} cannot be read: ${(err as Error).message}`);
  }
}

/** Example settings with all default values, as a template for a settings file. */
export function createDefaultSettings(): Settings {
  return settingsSchema.parse({
    instance: 'entry-1',
    domain: 'domain-a',
    callers: { host: '127.0.0.1', port: 8080 },
    admin: { host: '127.0.0.1', port: 8081 },
    peers: { host: '127.0.0.1', port: 8082 },
    platform: { host: '127.0.0.1', port: 8090 },
    secrets: {
      peer: { env: 'SKYLARKSAIL_PEER_SECRET' },
      operator: { env: 'SKYLARKSAIL_OPERATOR_TOKEN' },
    },
  });
}
