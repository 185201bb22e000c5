/** Derives the facts, loads and models that routing and placement use from registered engines and the configuration. */
import type { EngineFacts, EngineLoad } from '@skylarksail/core/CoreEngine';
import { EngineDuty } from '@skylarksail/core/CoreEngine';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { LayerRange, ServiceId, VersionId } from '@skylarksail/core/CoreTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { AcceleratorFacts, PipelineFacts } from '@skylarksail/routes/RouteTypes';
import type { RoutedModel } from '@skylarksail/routing/RoutingTypes';
import type { MemorySharingName } from './RelayTuning.js';
import { MemorySharing } from './RelayTuning.js';
import type { BackendEntry } from './RelayTypes.js';

/** Deployments of the relay have a single version of the weights. */
export const ONLY_VERSION: VersionId = '1';

const THOUSAND = 1000;

/** Time of one full pass through one layer on an accelerator, in ms. */
function getLayerPassTime(pipeline: PipelineFacts, accelerator: AcceleratorFacts): number {
  const context = (pipeline.usualPromptTokens + pipeline.usualAnswerTokens) / THOUSAND;
  const perRequest = pipeline.stepPerRequest + pipeline.stepPerThousandContext * context;
  const pass = pipeline.step + perRequest * pipeline.slots;
  return (pass * accelerator.stepFactor) / pipeline.layers;
}

/** Size of the KV cache, in layers times tokens, that fits in memory beside the weights of `layers` layers. */
export function getKvLayerTokens(
  pipeline: PipelineFacts,
  accelerator: AcceleratorFacts,
  layers: number,
): number {
  const free = accelerator.memoryBytes - layers * pipeline.layerBytes;
  return Math.max(0, free / (pipeline.kvTokenBytes / pipeline.layers));
}

/** Derives an engine's facts; null if the configuration does not describe its kind of accelerator. */
export function createEngineFacts(
  entry: BackendEntry,
  pipeline: PipelineFacts,
): EngineFacts | null {
  const accelerator = pipeline.accelerators.get(entry.accelerator ?? '');
  if (!accelerator) {
    return null;
  }
  const heldLayers = entry.layers ? entry.layers.end - entry.layers.first : 0;
  const perSecond = MILLIS_PER_SECOND / getLayerPassTime(pipeline, accelerator);
  return {
    id: entry.id,
    domain: entry.domain,
    // Links within a domain are equivalent, so all of its engines count as one rack.
    rack: entry.domain,
    address: entry.address,
    accelerator: entry.accelerator ?? '',
    decodeLayerTokensPerSecond: pipeline.slots * perSecond,
    prefillLayerTokensPerSecond:
      (pipeline.promptTokensPerSecond * pipeline.layers) / accelerator.readFactor,
    weightBytes: accelerator.memoryBytes,
    kvLayerTokens: getKvLayerTokens(pipeline, accelerator, heldLayers),
    maxBatch: pipeline.slots,
  };
}

/** Estimated work of all instances on an engine. */
export interface ExpectedWork {
  readonly running: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
  /** Prompt tokens of calls without a first token yet; unknown if omitted. */
  readonly prefillTokens?: number;
}

/** Converts an engine's estimated work to the form that routing uses. */
export function createEngineLoad(entry: BackendEntry, work: ExpectedWork): EngineLoad {
  return {
    engine: entry.id,
    bootId: entry.id,
    state: entry.state,
    holding: entry.layers && createHolding(entry.service, entry.layers),
    running: work.running,
    queued: 0,
    kvUsed: work.kvUsed,
    ...(work.prefillTokens === undefined ? {} : { prefillTokens: work.prefillTokens }),
    orderNumber: 0,
  };
}

function createHolding(model: string, layers: LayerRange): EngineLoad['holding'] {
  return { model, version: ONLY_VERSION, adapters: [], layers, duty: EngineDuty.Mixed };
}

/**
 * Share of the weights of a model above which the memory of a full batch limits engines before their slots do: an engine that is
 * filled with layers then has no memory left for as many requests as it has slots.
 */
const MEMORY_BOUND_SHARE = 2 / 3;

/** Whether the memory for running requests, and not the number of slots, limits the engines of a model. */
export function isMemoryBound(pipeline: PipelineFacts): boolean {
  const { slots, usualPromptTokens, usualAnswerTokens, kvTokenBytes, layers, layerBytes } =
    pipeline;
  const batchBytes = slots * (usualPromptTokens + usualAnswerTokens) * kvTokenBytes;
  return batchBytes > MEMORY_BOUND_SHARE * layers * layerBytes;
}

/** Whether requests to a model share its engines' memory by need: as set, or with `auto` if memory limits the engines. */
export function isMemoryShared(setting: MemorySharingName, pipeline: PipelineFacts): boolean {
  return setting === MemorySharing.Auto ? isMemoryBound(pipeline) : setting === MemorySharing.On;
}

/** Lists the model of each service that is a pipeline. */
export function listModels(
  { config }: RouteTable,
  shareMemory: MemorySharingName,
): ReadonlyMap<string, RoutedModel> {
  return new Map(
    config.services.flatMap(({ id, pipeline }) =>
      pipeline ? [[id, createModel(id, pipeline, shareMemory)] as const] : [],
    ),
  );
}

function createModel(
  id: ServiceId,
  pipeline: PipelineFacts,
  shareMemory: MemorySharingName,
): RoutedModel {
  const { activationBytes, usualAnswerTokens, usualPromptTokens } = pipeline;
  const isShared = isMemoryShared(shareMemory, pipeline);
  return {
    id,
    activationBytes,
    usualAnswerTokens,
    usualPromptTokens,
    isMemoryShared: isShared,
  };
}
