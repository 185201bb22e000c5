/** Engine protocol: messages between an entry instance and the stages of a chain. */
import { z } from 'zod';

const layersSchema = z.strictObject({ first: z.int().min(0), end: z.int().positive() });

/** A stage and the address at which the previous stage connects to it. */
export const wireStageSchema = z.strictObject({
  engine: z.string(),
  layers: layersSchema,
  host: z.string(),
  port: z.int(),
});

export const variantSchema = z.strictObject({
  model: z.string(),
  version: z.string(),
  adapter: z.string().nullable(),
});

/** Body of `POST /v1/generate`, sent to the first stage. */
export const generateSchema = z.strictObject({
  request: z.string(),
  attempt: z.int().positive(),
  variant: variantSchema,
  stages: z.array(wireStageSchema).min(1),
  prompt: z.string(),
  resumeTokens: z.array(z.string()),
  maxTokens: z.int().positive(),
  priority: z.string(),
  timeLeftMs: z.number(),
  importFrom: z.array(z.strictObject({ engine: z.string(), layers: layersSchema })),
});

/** Body of `POST /v1/forward`, sent from each stage to the next. */
export const forwardSchema = z.strictObject({
  request: z.string(),
  attempt: z.int().positive(),
  variant: variantSchema,
  stages: z.array(wireStageSchema).min(1),
  stage: z.int().positive(),
  seed: z.int(),
  /** Index of the token to compute, or -1 during prefill. */
  token: z.int(),
  /** Number of tokens to prefill: the prompt and the answer so far. 0 while decoding. */
  prefillTokens: z.int().min(0),
  crashText: z.string(),
});

export type WireStage = z.output<typeof wireStageSchema>;
export type GenerateBody = z.output<typeof generateSchema>;
export type ForwardBody = z.output<typeof forwardSchema>;

/** Frames of the response to `POST /v1/generate`, sent as newline-delimited JSON. */
export type EngineFrame =
  | {
      readonly type: 'ack';
      readonly variant: GenerateBody['variant'];
      readonly stages: readonly Pick<WireStage, 'engine' | 'layers'>[];
    }
  | { readonly type: 'token'; readonly index: number; readonly token: string }
  | { readonly type: 'end'; readonly reason: 'stop' | 'length'; readonly tokens: number }
  | { readonly type: 'failed'; readonly engine: string; readonly status: number | null };

/** Body of `POST /v1/orders`: the state that the engine is to reach. */
export const orderSchema = z.strictObject({
  /** Fencing number; engines that check it refuse one below the highest they have seen. */
  number: z.int().min(0),
  want: z
    .strictObject({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
      layers: layersSchema,
      duty: z.enum(['mixed', 'prefill', 'decode']),
    })
    .nullable(),
  /** The engine drops the order if it cannot start it within this time. */
  validForMs: z.number().positive(),
});

export type OrderBody = z.output<typeof orderSchema>;
