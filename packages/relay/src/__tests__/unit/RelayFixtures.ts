/** Creates backend servers and configurations for tests of the relay. */
import type { PipelineFacts, Route, RouteConfig } from '@skylarksail/routes/RouteTypes';
import type { BackendEntry } from '../../RelayTypes.js';

export function createBackend(id: string, change: Partial<BackendEntry> = {}): BackendEntry {
  return {
    id,
    server: id,
    born: null,
    service: 'letters',
    address: { host: '127.0.0.1', port: 8000 },
    domain: 'd1',
    state: 'live',
    accelerator: 'small',
    layers: null,
    ...change,
  };
}

/** Eight layers; a small engine has memory for five of them and little else. */
export const PIPELINE: PipelineFacts = {
  layers: 8,
  layerBytes: 100,
  kvTokenBytes: 8,
  activationBytes: 10,
  accelerators: new Map([['small', { memoryBytes: 600, stepFactor: 1, readFactor: 1 }]]),
  step: 1,
  stepPerRequest: 0.01,
  stepPerThousandContext: 0.01,
  promptTokensPerSecond: 100_000,
  slots: 100,
  load: 1000,
  pipeBytesPerSecond: 1e9,
  usualPromptTokens: 100,
  usualAnswerTokens: 100,
};

export function createRoute(change: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'h',
    prefix: '/letters/',
    kind: 'stream',
    isResumable: true,
    timeout: 10_000,
    firstAnswerGoal: 500,
    callerPatience: 2000,
    pauseGoal: 200,
    priority: 1,
    targets: [{ service: 'letters', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    ...change,
  };
}

export function createConfig(change: Partial<RouteConfig> = {}): RouteConfig {
  return {
    version: 1,
    routes: [createRoute()],
    services: [
      { id: 'letters', maxConnections: 100, healthPath: '/health', pipeline: PIPELINE },
      { id: 'accounts', maxConnections: 100, healthPath: '/health', pipeline: null },
    ],
    teams: [{ id: 'branches', keys: ['key'], priority: null }],
    limits: { headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000 },
    ...change,
  };
}
