/** Sends orders to engines over HTTP; implements placement's `sendOrder`. */
import { Agent } from 'undici';
import { z } from 'zod';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { Order, OrderAnswer } from '@skylarksail/placement/PlacementOrderTypes';
import type { FindEngineAddress } from './DaemonEngineHttp.js';
import { createTimeoutSignal } from './DaemonAbortSignals.js';
import { readJson } from './DaemonJson.js';

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

/** Long, since loading weights is slow. Without a reply, the engine's report shows the outcome of an order. */
const ORDER_TIMEOUT: Millis = 120_000;

const doneSchema = z.object({
  holding: z
    .object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
      layers: z.object({ first: z.int(), end: z.int() }),
      duty: z.enum(['mixed', 'prefill', 'decode']),
    })
    .nullable(),
});
const refusedSchema = z.object({ highest: z.int() });

/** Creates the adapter; `close` ends its connections. */
export function createOrderHttp(findAddress: FindEngineAddress): {
  readonly send: (engine: EngineId, order: Order) => Promise<OrderAnswer>;
  readonly close: () => Promise<void>;
} {
  const checks = createAnswerChecks();
  const agent = new Agent({
    connections: 2,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: checks.connect,
  });
  const checkedAgent = agent.compose(checks.intercept);

  async function send(engine: EngineId, order: Order): Promise<OrderAnswer> {
    const address = findAddress(engine);
    if (!address) {
      return { kind: 'unknown' };
    }
    const res = await checkedAgent.request({
      origin: `http://${address.host}:${address.port}`,
      path: '/v1/orders',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal: createTimeoutSignal(ORDER_TIMEOUT),
    });
    const json = await readJson(res.body);
    return parseOrderAnswer(res.statusCode, json);
  }

  return {
    send: (engine, order) => send(engine, order).catch(() => ({ kind: 'unknown' })),
    close: () => agent.destroy(),
  };
}

function parseOrderAnswer(status: number, json: unknown): OrderAnswer {
  if (status === STATUS_OK) {
    const done = doneSchema.safeParse(json);
    return done.success ? { kind: 'done', holding: done.data.holding } : { kind: 'unknown' };
  }
  if (status === STATUS_CONFLICT) {
    const refused = refusedSchema.safeParse(json);
    return refused.success
      ? { kind: 'refused', highest: refused.data.highest }
      : { kind: 'unknown' };
  }
  return { kind: 'unknown' };
}
