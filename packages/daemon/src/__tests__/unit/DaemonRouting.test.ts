import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import type { ChainChoice, ChainRequest, RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { DaemonRouting, DaemonRoutingOptions } from '../../DaemonRouting.js';
import { createDaemonRouting } from '../../DaemonRouting.js';

const MODEL = 'letters';
const FIRST_HALF: LayerRange = { first: 0, end: 2 };
const SECOND_HALF: LayerRange = { first: 2, end: 4 };
const LAYERS_OF: Readonly<Record<EngineId, LayerRange>> = {
  'first-a': FIRST_HALF,
  'first-b': FIRST_HALF,
  'second-a': SECOND_HALF,
  'second-b': SECOND_HALF,
};
const SPEC: RequestSpec = {
  id: 'r1',
  team: 'one',
  model: MODEL,
  variant: { model: MODEL, version: 'v1', adapter: null },
  layerCount: 4,
  prompt: 'a letter',
  maxTokens: 10,
  priority: 'normal',
  deadline: 60_000,
  idempotencyKey: null,
  idempotent: true,
  prefixKeys: [],
};

/** Routing to four engines, which hold the versions given by engine. */
function createBed(
  versions: Readonly<Record<EngineId, string>>,
  options: Partial<DaemonRoutingOptions> = {},
): DaemonRouting {
  const routing = createDaemonRouting({
    domain: 'a',
    timers: createVirtualTimers(),
    random: createRandom(1),
    decisions: { record: () => undefined, read: () => [] },
    listDraining: () => [],
    listVersions: () => ['v1', 'v2'],
    ...options,
  });
  const ids = Object.keys(versions);
  routing.setEngineFacts(
    ids.map((id) => ({
      id,
      domain: 'a',
      rack: id,
      address: { host: '127.0.0.1', port: 1 },
      accelerator: 'fast',
      decodeLayerTokensPerSecond: 100_000,
      prefillLayerTokensPerSecond: 1_000_000,
      weightBytes: 1e9,
      kvLayerTokens: 1e6,
      maxBatch: 16,
    })),
  );
  setVersions(routing, versions, 0);
  return routing;
}

function setVersions(
  routing: DaemonRouting,
  versions: Readonly<Record<EngineId, string>>,
  seenAt: number,
): void {
  routing.setEngineLoads(
    Object.entries(versions).map(([engine, version]) => ({
      seenAt,
      load: {
        engine,
        bootId: 'b1',
        state: 'live',
        holding: {
          model: MODEL,
          version,
          adapters: [],
          layers: LAYERS_OF[engine] ?? FIRST_HALF,
          duty: 'mixed',
        },
        running: 0,
        queued: 0,
        kvUsed: 0,
        orderNumber: 0,
      },
    })),
  );
}

function createRequest(change: Partial<ChainRequest> = {}): ChainRequest {
  return { spec: SPEC, contextTokens: 2, begunVersion: null, avoid: [], ...change };
}

/** Version and engines of a chosen chain; null if there is none. */
function describeChoice(choice: ChainChoice): string | null {
  return choice.kind === 'chain'
    ? [choice.chain.variant.version, ...choice.chain.stages.map(({ engine }) => engine)].join(' ')
    : null;
}

const MIXED = { 'first-a': 'v1', 'first-b': 'v2', 'second-a': 'v2', 'second-b': 'v2' };
const HALF = { 'first-a': 'v1', 'first-b': 'v2', 'second-a': 'v1', 'second-b': 'v2' };

describe('DaemonRouting', () => {
  it('runs a new request on another version when its preferred one has no chain any more', () => {
    // Guards against 503 not-run while a version changes: reports take its chain away before the table of versions knows.
    const choice = createBed(MIXED).chooseChain(createRequest());
    expect(describeChoice(choice)).to.match(/^v2 first-b second-[ab]$/u);
  });

  it('runs a new request on another version when its failed chain cannot be repaired', () => {
    // Guards against a request without a token that waits for a version that engines have given up meanwhile.
    const routing = createBed(HALF);
    const chosen = routing.chooseChain(createRequest());
    expect(describeChoice(chosen)).to.equal('v1 first-a second-a');
    setVersions(routing, { 'second-a': 'v2' }, 1);
    const broken = chosen.kind === 'chain' ? chosen.chain : null;
    if (broken === null) {
      throw new Error('no chain');
    }
    const repair = { ...createRequest(), broken, failed: ['second-a'] };
    expect(describeChoice(routing.chooseRepair(repair))).to.equal('v2 first-b second-b');
    const begun = { ...repair, begunVersion: 'v1' };
    expect(describeChoice(routing.chooseRepair(begun))).to.equal(null);
  });

  it('continues an answer that has begun on its version only', () => {
    // Guards against an answer of which each part comes from another version.
    const choice = createBed(MIXED).chooseChain(createRequest({ begunVersion: 'v1' }));
    expect(describeChoice(choice)).to.equal(null);
  });

  it('prefers another version to an engine that is about to change, and that engine to a refusal', () => {
    // Guards against drains that never end, since new requests choose the old version as long as it has a chain.
    const listDraining = (): readonly EngineId[] => ['first-a'];
    expect(describeChoice(createBed(HALF, { listDraining }).chooseChain(createRequest()))).to.equal(
      'v2 first-b second-b',
    );
    const old = { ...HALF, 'second-b': 'v1' };
    expect(describeChoice(createBed(old, { listDraining }).chooseChain(createRequest()))).to.match(
      /^v1 first-a second-[ab]$/u,
    );
  });

  it('says that a begun answer has no chain any more only if its version is replaced and held nowhere', () => {
    // Guards against answers that are ended although their engines are only silent, or will load the version again.
    const isGone = (versions: Readonly<Record<EngineId, string>>, isReplaced: boolean): unknown => {
      const routing = createBed(versions, { isReplaced: () => isReplaced });
      routing.setLeaving('first-a');
      const choice = routing.chooseChain(createRequest({ begunVersion: 'v1' }));
      return choice.kind === 'none' && choice.isGone;
    };
    expect(isGone(MIXED, true)).to.equal(true);
    expect(isGone(MIXED, false)).to.equal(false);
    expect(isGone(HALF, true)).to.equal(false);
  });
});
