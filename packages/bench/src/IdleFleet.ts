/** The engines and the configuration of the fleet in the idle bench. */
import type { BackendEntry } from '@skylarksail/relay/RelayTypes';
import type { PipelineFacts, RouteConfig } from '@skylarksail/routes/RouteTypes';

export const CONFIG_KEY = 'config';
export const KEY_PREFIX = 'backends/';

const SERVICE = 'letters';
const GIB = 2 ** 30;
const LAYERS = 80;
/** Layers per engine, so that each range has several engines in a domain of a large fleet. */
const LAYERS_PER_ENGINE = 10;
const FIRST_PORT = 8000;

const PIPELINE: PipelineFacts = {
  layers: LAYERS,
  layerBytes: 1.7 * GIB,
  kvTokenBytes: 845_000,
  activationBytes: 16_384,
  accelerators: new Map([['card', { memoryBytes: 22 * GIB, stepFactor: 8, readFactor: 8 }]]),
  step: 1,
  stepPerRequest: 0.01,
  stepPerThousandContext: 0.01,
  promptTokensPerSecond: 200_000,
  slots: 134,
  load: 14_000,
  pipeBytesPerSecond: 1e9,
  usualPromptTokens: 800,
  usualAnswerTokens: 150,
};

/** Creates engine number `i`; numbers rotate through the failure domains, then through the layer ranges. */
export function createIdleEngine(i: number, domains: number): BackendEntry {
  const first = (Math.floor(i / domains) * LAYERS_PER_ENGINE) % LAYERS;
  return {
    id: `e${i}`,
    server: `e${i}`,
    born: null,
    service: SERVICE,
    address: { host: '127.0.0.1', port: FIRST_PORT + i },
    domain: `d${i % domains}`,
    state: 'live',
    accelerator: 'card',
    layers: { first, end: first + LAYERS_PER_ENGINE },
  };
}

/** Creates a configuration with one route to one pipeline. */
export function createIdleConfig(): RouteConfig {
  return {
    version: 1,
    routes: [
      {
        name: 'letters',
        host: 'letters.example',
        prefix: '/letters/',
        kind: 'stream',
        isResumable: true,
        timeout: 20_000,
        firstAnswerGoal: 600,
        callerPatience: 2000,
        pauseGoal: 300,
        priority: 1,
        targets: [{ service: SERVICE, weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
      },
    ],
    services: [{ id: SERVICE, maxConnections: 2000, healthPath: null, pipeline: PIPELINE }],
    teams: null,
    limits: { headerBytes: 8192, bodyBytes: 1_000_000, headerTimeout: 1000, idleTimeout: 60_000 },
  };
}
