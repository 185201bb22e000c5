/** Status reports of engines: their schema, and the adapter that fetches them over HTTP. */
import { Agent } from 'undici';
import { z } from 'zod';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import type { EngineFacts, EngineLoad } from '@skylarksail/core/CoreEngine';
import type { HostPort, Millis } from '@skylarksail/core/CoreTypes';
import { createTimeoutSignal } from './DaemonAbortSignals.js';
import { readJson } from './DaemonJson.js';

const STATUS_OK = 200;
const CONNECTIONS = 2;

const layersSchema = z.object({ first: z.int(), end: z.int() });

/** Schema of a report from an engine or from another instance. */
export const engineStatusSchema = z.object({
  load: z.object({
    engine: z.string(),
    bootId: z.string(),
    state: z.enum(['live', 'leaving']),
    holding: z
      .object({
        model: z.string(),
        version: z.string(),
        adapters: z.array(z.string()),
        layers: layersSchema,
        duty: z.enum(['mixed', 'prefill', 'decode']),
      })
      .nullable(),
    running: z.number(),
    queued: z.number(),
    kvUsed: z.number(),
    orderNumber: z.number(),
  }),
  facts: z.object({
    id: z.string(),
    domain: z.string(),
    rack: z.string(),
    address: z.object({ host: z.string(), port: z.int() }),
    accelerator: z.string(),
    decodeLayerTokensPerSecond: z.number(),
    prefillLayerTokensPerSecond: z.number(),
    weightBytes: z.number(),
    kvLayerTokens: z.number(),
    maxBatch: z.number(),
  }),
});

/** Report of an engine: its current load, and its properties. */
export interface EngineStatus {
  readonly load: EngineLoad;
  readonly facts: EngineFacts;
}

/** Fetches the report of an engine; null if the call fails or the report is invalid. */
export type FetchEngineStatus = (address: HostPort) => Promise<EngineStatus | null>;

/** Creates the adapter over HTTP. */
export function createEngineStatusHttp(timeout: Millis): {
  readonly fetch: FetchEngineStatus;
  readonly close: () => Promise<void>;
} {
  const checks = createAnswerChecks();
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1, connect: checks.connect });
  const checkedAgent = agent.compose(checks.intercept);
  return {
    async fetch({ host, port }) {
      try {
        const res = await checkedAgent.request({
          origin: `http://${host}:${port}`,
          path: '/v1/status',
          method: 'GET',
          signal: createTimeoutSignal(timeout),
        });
        const parsed = engineStatusSchema.safeParse(await readJson(res.body));
        return res.statusCode === STATUS_OK && parsed.success ? parsed.data : null;
      } catch {
        return null;
      }
    },
    close: () => agent.destroy(),
  };
}

/** Whether two reports differ in fields that load digests do not carry, or the first one is missing. */
export function hasReportChanged(before: EngineStatus | undefined, after: EngineStatus): boolean {
  return before === undefined || serializeNoticeFields(before) !== serializeNoticeFields(after);
}

function serializeNoticeFields({ facts, load }: EngineStatus): string {
  const { bootId, state, holding, orderNumber } = load;
  return JSON.stringify([facts, bootId, state, holding, orderNumber]);
}
