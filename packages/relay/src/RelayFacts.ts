/** Turns registered engines and the configuration's figures into what routing and placement reckon with. */
import type { EngineFacts, EngineLoad } from '@skylarksail/core/CoreEngine';
import { EngineDuty } from '@skylarksail/core/CoreEngine';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { LayerRange, ServiceId, VersionId } from '@skylarksail/core/CoreTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { AcceleratorFacts, PipelineFacts } from '@skylarksail/routes/RouteTypes';
import type { RoutedModel } from '@skylarksail/routing/RoutingTypes';
import type { BackendEntry } from './RelayTypes.js';

/** The one version of weights that these deployments have. */
export const ONLY_VERSION: VersionId = '1';

const THOUSAND = 1000;

/** Time of one full pass through one layer on an accelerator, in ms. */
function getLayerPass(pipeline: PipelineFacts, accelerator: AcceleratorFacts): number {
  const context = (pipeline.usualPromptTokens + pipeline.usualAnswerTokens) / THOUSAND;
  const perRequest = pipeline.stepPerRequest + pipeline.stepPerThousandContext * context;
  const pass = pipeline.step + perRequest * pipeline.slots;
  return (pass * accelerator.stepFactor) / pipeline.layers;
}

/** Layers times tokens that fit beside the weights of `layers` layers. */
export function getKvLayerTokens(
  pipeline: PipelineFacts,
  accelerator: AcceleratorFacts,
  layers: number,
): number {
  const free = accelerator.memoryBytes - layers * pipeline.layerBytes;
  return Math.max(0, free / (pipeline.kvTokenBytes / pipeline.layers));
}

/** An engine's facts, or null if its kind of accelerator is not described. */
export function createEngineFacts(
  entry: BackendEntry,
  pipeline: PipelineFacts,
): EngineFacts | null {
  const accelerator = pipeline.accelerators.get(entry.accelerator ?? '');
  if (!accelerator) {
    return null;
  }
  const held = entry.layers ? entry.layers.end - entry.layers.first : 0;
  const perSecond = MILLIS_PER_SECOND / getLayerPass(pipeline, accelerator);
  return {
    id: entry.id,
    domain: entry.domain,
    // Links within a domain are alike, so all of its engines count as one rack.
    rack: entry.domain,
    address: entry.address,
    accelerator: entry.accelerator ?? '',
    decodeLayerTokensPerSecond: pipeline.slots * perSecond,
    prefillLayerTokensPerSecond:
      (pipeline.promptTokensPerSecond * pipeline.layers) / accelerator.readFactor,
    weightBytes: accelerator.memoryBytes,
    kvLayerTokens: getKvLayerTokens(pipeline, accelerator, held),
    maxBatch: pipeline.slots,
  };
}

/** Work that others are reckoned to have on an engine. */
export interface ExpectedWork {
  readonly running: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
}

/** An engine's load as routing takes it. */
export function createEngineLoad(entry: BackendEntry, work: ExpectedWork): EngineLoad {
  return {
    engine: entry.id,
    bootId: entry.id,
    state: entry.state,
    holding: entry.layers && createHolding(entry.service, entry.layers),
    running: work.running,
    queued: 0,
    kvUsed: work.kvUsed,
    orderNumber: 0,
  };
}

function createHolding(model: string, layers: LayerRange): EngineLoad['holding'] {
  return { model, version: ONLY_VERSION, adapters: [], layers, duty: EngineDuty.Mixed };
}

/** What routing needs of each service that is a pipeline. */
export function listModels({ config }: RouteTable): ReadonlyMap<string, RoutedModel> {
  return new Map(
    config.services.flatMap(({ id, pipeline }) =>
      pipeline ? [[id, createModel(id, pipeline)] as const] : [],
    ),
  );
}

function createModel(id: ServiceId, pipeline: PipelineFacts): RoutedModel {
  const { activationBytes, usualAnswerTokens } = pipeline;
  return { id, activationBytes, usualAnswerTokens };
}
