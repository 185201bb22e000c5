/** Stand-in for a model engine: runs a layer range, calls the next stage, and injects faults. */
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { Agent } from 'undici';
import type { EngineFacts, EngineLoad, Holding } from '@skylarksail/core/CoreEngine';
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import type { EngineFrame, ForwardBody, GenerateBody } from './StandInEngineProtocol.js';
import { forwardSchema, generateSchema, orderSchema } from './StandInEngineProtocol.js';
import type { Fault } from './StandInFaults.js';
import { createFaultInjector } from './StandInFaults.js';
import type { Ledger, LayerPass } from './StandInLedger.js';
import { createLedger } from './StandInLedger.js';
import { computeAnswerLength, computePromptSeed, computeToken } from './StandInModel.js';
import type { StandInServer } from './StandInServer.js';
import { startStandInServer } from './StandInServer.js';

const HANG_POLL_MS = 50;
const PREFILL_TOKEN_INDEX = -1;
const STATUS_BUSY = 503;
const STATUS_MISMATCH = 409;
const MILLIS_PER_SECOND = 1000;

export interface StandInEngineOptions {
  readonly facts: Omit<EngineFacts, 'address'>;
  readonly host: string;
  readonly port: number;
  readonly holding: Holding | null;
  readonly checksFencing: boolean;
  /** Milliseconds that one token takes in one layer; 0 adds no delay. */
  readonly stepMsPerLayer: number;
  /** Milliseconds to load the weights of one layer. */
  readonly loadMsPerLayer: number;
}

export interface StandInEngine {
  readonly server: StandInServer;
  readonly ledger: Ledger<LayerPass>;
  readonly readLoad: () => EngineLoad;
}

/** A failure of this stage or of a later one; `status` is null without an HTTP response. */
class StageFailure extends Error {
  constructor(
    readonly engine: string,
    readonly status: number | null,
  ) {
    super(`stage ${engine} failed`);
  }
}

export async function startStandInEngine(options: StandInEngineOptions): Promise<StandInEngine> {
  const { facts } = options;
  const faults = createFaultInjector(() => performance.now());
  const ledger = createLedger<LayerPass>();
  const agent = new Agent({ connections: 64, pipelining: 1 });
  let holding: Holding | null = options.holding;
  let highestOrder = 0;
  let running = 0;
  let boots = 0;
  let refusedOrders = 0;
  // Set once the server listens; the handlers that read it run only then.
  let server: StandInServer;
  let takenOrders = 0;

  function readLoad(): EngineLoad {
    const state: LifeStateName = faults.isActive('leaving') ? 'leaving' : 'live';
    return {
      engine: facts.id,
      bootId: `${facts.id}/${boots}`,
      state,
      holding,
      running,
      queued: 0,
      kvUsed: Math.min(1, running / facts.maxBatch),
      orderNumber: highestOrder,
    };
  }

  async function waitWhileHanging(): Promise<void> {
    while (faults.isActive('hang')) {
      await sleep(HANG_POLL_MS);
    }
  }

  /** Runs this engine's layers for one token, or for the prefill. */
  async function runLayers(body: ForwardBody): Promise<void> {
    const own = body.stages[body.stage];
    const crashOn = faults.isActive('crash-on') ? faults.consume('crash-on') : null;
    if (crashOn?.text !== undefined && body.crashText.includes(crashOn.text)) {
      void server.crash(crashOn.ms ?? null);
      throw new StageFailure(facts.id, null);
    }
    await waitWhileHanging();
    const slow = faults.consume('slow')?.factor ?? 1;
    const layers = (own?.layers.end ?? 0) - (own?.layers.first ?? 0);
    const work =
      body.token === PREFILL_TOKEN_INDEX
        ? (body.prefillTokens * layers * MILLIS_PER_SECOND) / facts.prefillLayerTokensPerSecond
        : layers * options.stepMsPerLayer;
    if (work > 0) {
      await sleep(work * slow);
    }
    if (own && body.token !== PREFILL_TOKEN_INDEX) {
      const { request, attempt, token } = body;
      ledger.record({
        request,
        attempt,
        token,
        engine: facts.id,
        layers: own.layers,
        at: performance.timeOrigin + performance.now(),
      });
    }
  }

  /** Runs this stage and the later ones; returns the token, which the last stage computes. */
  async function runStage(body: ForwardBody): Promise<string> {
    await runLayers(body);
    const nextIndex = body.stage + 1;
    const next = body.stages[nextIndex];
    if (!next) {
      return computeToken(body.seed, Math.max(0, body.token));
    }
    const token = await postForward(next, { ...body, stage: nextIndex });
    return token;
  }

  async function postForward(next: ForwardBody['stages'][number], body: ForwardBody) {
    let status: number;
    let text: string;
    try {
      const res = await agent.request({
        origin: `http://${next.host}:${next.port}`,
        path: '/v1/forward',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      status = res.statusCode;
      text = await res.body.text();
    } catch {
      throw new StageFailure(next.engine, null);
    }
    const parsed = JSON.parse(text) as { token?: string; engine?: string; status?: number | null };
    if (status !== 200 || parsed.token === undefined) {
      throw new StageFailure(parsed.engine ?? next.engine, parsed.status ?? status);
    }
    return parsed.token;
  }

  function holdsStage(body: Pick<ForwardBody, 'variant' | 'stages'>, stage: number): boolean {
    const own = body.stages[stage];
    return (
      holding !== null &&
      own !== undefined &&
      own.engine === facts.id &&
      holding.model === body.variant.model &&
      holding.version === body.variant.version &&
      holding.layers.first === own.layers.first &&
      holding.layers.end === own.layers.end &&
      (body.variant.adapter === null || holding.adapters.includes(body.variant.adapter))
    );
  }

  async function streamAnswer(body: GenerateBody, write: (frame: EngineFrame) => Promise<boolean>) {
    const seed = computePromptSeed(body.prompt);
    const length = computeAnswerLength(body.prompt);
    const end = Math.min(length, body.maxTokens);
    const start = body.resumeTokens.length;
    const { request, attempt, variant, stages } = body;
    const forwardFields = {
      request,
      attempt,
      variant,
      stages,
      stage: 0,
      seed,
      crashText: body.prompt,
    };
    const prefillTokens = Math.ceil(body.prompt.length / 4) + start;
    await write({
      type: 'ack',
      variant,
      stages: stages.map(({ engine, layers }) => ({ engine, layers })),
    });
    await runStage({ ...forwardFields, token: PREFILL_TOKEN_INDEX, prefillTokens });
    for (let index = start; index < end; index++) {
      const token = await runStage({ ...forwardFields, token: index, prefillTokens: 0 });
      await waitWhileHanging();
      if (!(await write({ type: 'token', index, token }))) {
        return;
      }
    }
    await write({ type: 'end', reason: length <= body.maxTokens ? 'stop' : 'length', tokens: end });
  }

  /** Creates a frame writer that waits under backpressure and applies the faults for frames. */
  function createFrameWriter(reply: FastifyReply) {
    let delayedText: string | null = null;
    return async (frame: EngineFrame): Promise<boolean> => {
      const { raw } = reply;
      if (raw.destroyed || raw.writableEnded) {
        return false;
      }
      let text = `${JSON.stringify(frame)}\n`;
      if (frame.type === 'token') {
        text += faults.consume('duplicate-frames') ? text : '';
        text = faults.consume('garbage') ? 'not a frame {\n' : text;
        if (delayedText === null && faults.consume('reorder-frames')) {
          delayedText = text;
          return true;
        }
      }
      text += delayedText ?? '';
      delayedText = null;
      if (!raw.write(text)) {
        await Promise.race([once(raw, 'drain'), once(raw, 'close')]);
      }
      return !raw.destroyed;
    };
  }

  async function handleGenerate(body: GenerateBody, reply: FastifyReply): Promise<unknown> {
    if (!holdsStage(body, 0)) {
      return reply.code(STATUS_MISMATCH).send({ notRun: true, holding });
    }
    if (running >= facts.maxBatch) {
      return reply.code(STATUS_BUSY).send({ notRun: true, retryAfterMs: 200 });
    }
    reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'application/x-ndjson' });
    const write = createFrameWriter(reply);
    running += 1;
    try {
      await streamAnswer(body, write);
    } catch (err) {
      const failure = err instanceof StageFailure ? err : new StageFailure(facts.id, null);
      await write({ type: 'failed', engine: failure.engine, status: failure.status });
    } finally {
      running -= 1;
      reply.raw.end();
    }
    return reply;
  }

  async function handleForward(body: ForwardBody, reply: FastifyReply): Promise<unknown> {
    if (!holdsStage(body, body.stage)) {
      return reply.code(STATUS_MISMATCH).send({ engine: facts.id, status: STATUS_MISMATCH });
    }
    try {
      return await reply.send({ token: await runStage(body) });
    } catch (err) {
      const failure = err instanceof StageFailure ? err : new StageFailure(facts.id, null);
      return reply.code(502).send({ engine: failure.engine, status: failure.status });
    }
  }

  async function handleOrder(input: unknown, reply: FastifyReply): Promise<unknown> {
    const order = orderSchema.parse(input);
    if (options.checksFencing && order.number < highestOrder) {
      refusedOrders += 1;
      return reply.code(STATUS_MISMATCH).send({ highest: highestOrder });
    }
    highestOrder = Math.max(highestOrder, order.number);
    takenOrders += 1;
    const layers = order.want ? order.want.layers.end - order.want.layers.first : 0;
    holding = null;
    await sleep(layers * options.loadMsPerLayer);
    holding = order.want;
    if (faults.consume('drop-answer')) {
      reply.raw.destroy();
      return reply;
    }
    return reply.send({ holding, number: order.number });
  }

  function registerRoutes(app: FastifyInstance): void {
    app.get('/v1/status', async (_req, reply) => {
      await waitWhileHanging();
      return reply.send({ load: readLoad(), facts: { ...facts, address: server.address } });
    });
    app.post('/v1/generate', (req, reply) => handleGenerate(generateSchema.parse(req.body), reply));
    app.post('/v1/forward', (req, reply) => handleForward(forwardSchema.parse(req.body), reply));
    app.post('/v1/orders', (req, reply) => handleOrder(req.body, reply));
  }

  function onFault(fault: Fault): void {
    if (fault.kind === 'crash') {
      running = 0;
    }
  }

  server = await startStandInServer({
    host: options.host,
    port: options.port,
    faults,
    registerRoutes,
    onFault,
    onStart: () => {
      boots += 1;
    },
    readLedger: () => ({ engine: facts.id, refusedOrders, takenOrders, ...ledger.read() }),
  });
  return { server, ledger, readLoad };
}
