import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { ChainRequest } from '@skylarksail/requests/RequestTypes';
import type { Decision } from '../../DaemonDecisions.js';
import { createDaemonRouting } from '../../DaemonRouting.js';

const MODEL = 'letters';
const LAYERS = { first: 0, end: 4 };
const VARIANT = { model: MODEL, version: 'v1', adapter: null };
/** Memory of each domain, in tokens. */
const CAPACITY = 500_000;
const REQUEST: ChainRequest = {
  spec: {
    id: 'r1',
    team: 'one',
    model: MODEL,
    variant: VARIANT,
    layerCount: 4,
    prompt: 'a letter',
    maxTokens: 10,
    priority: 'normal',
    deadline: 60_000,
    idempotencyKey: null,
    idempotent: true,
    prefixKeys: [],
  },
  contextTokens: 2,
  begunVersion: null,
  avoid: [],
};

/** Routing of domain `a`, of which 0.9 of the memory is in use, with two engines in each domain. */
function createBed(isMemoryShared: boolean) {
  const timers = createVirtualTimers();
  const records: Decision[] = [];
  const relations: string[] = [];
  const routing = createDaemonRouting({
    domain: 'a',
    timers,
    random: createRandom(1),
    decisions: { record: (decision) => records.push(decision), read: () => [] },
    listDraining: () => [],
    isBrief: true,
    onChosen: (relation) => relations.push(relation),
  });
  const ids = ['a1', 'a2', 'b1', 'b2'];
  routing.setFleetFacts({
    models: new Map([[MODEL, { id: MODEL, activationBytes: 1000, isMemoryShared }]]),
    tuning: { crossDomainShare: 3 },
  });
  routing.setEngineFacts(
    ids.map((id) => ({
      id,
      domain: id.slice(0, 1),
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
  routing.setEngineLoads(
    ids.map((engine) => ({
      seenAt: 0,
      load: {
        engine,
        bootId: 'b1',
        state: 'live',
        holding: { model: MODEL, version: 'v1', adapters: [], layers: LAYERS, duty: 'mixed' },
        running: 0,
        queued: 0,
        kvUsed: engine.startsWith('a') ? 0.9 : 0,
        orderNumber: 0,
      },
    })),
  );
  routing.start();
  timers.advanceTo(1000);
  routing.setRooms([
    {
      domain: 'b',
      model: MODEL,
      capacity: CAPACITY,
      used: 0.3 * CAPACITY,
      abroad: [],
      seenAt: 800,
      since: -Infinity,
    },
  ]);
  return { timers, routing, records, relations };
}

describe('DaemonRouting with the rooms of other domains', () => {
  it('logs the domain, both shares and the age of the report, and counts chains by domain', () => {
    const { routing, records, relations } = createBed(true);
    Array.from({ length: 50 }, () => routing.chooseChain(REQUEST));
    const spilled = records.filter(({ spillover }) => spillover);
    expect(spilled.length).to.be.within(5, 30);
    expect(spilled[0]?.spillover).to.deep.equal({
      domain: 'b',
      ownShare: 0.9,
      share: 0.3,
      age: 200,
    });
    expect(relations.filter((relation) => relation === 'spillover')).to.have.length(spilled.length);
    expect(relations.filter((relation) => relation === 'own')).to.have.length(50 - spilled.length);
    expect(routing.getSpillShares(VARIANT)?.emptiest?.domain).to.equal('b');
    const [own] = routing.listOwnRooms();
    expect(own).to.include({ model: MODEL, capacity: CAPACITY });
    expect(own?.abroad.map(({ domain }) => domain)).to.deep.equal(['b']);
  });

  it('tells no room of a model whose memory is not shared, and sends nothing away for it', () => {
    const { routing, records, relations } = createBed(false);
    Array.from({ length: 50 }, () => routing.chooseChain(REQUEST));
    expect(records.some(({ spillover }) => spillover)).to.equal(false);
    expect(relations).to.deep.equal([]);
    expect(routing.listOwnRooms()).to.deep.equal([]);
    expect(routing.getSpillShares(VARIANT)).to.equal(null);
  });

  it('counts own requests in the shares before the next load report', () => {
    // Guards against the only instance of a domain that admits the requests of a whole report period on one share.
    const { routing, timers } = createBed(true);
    const before = routing.getSpillShares(VARIANT)?.own ?? NaN;
    const long = { ...REQUEST, contextTokens: 5000 };
    const kept = Array.from({ length: 5 }, () => routing.chooseChain(long)).filter(
      (choice) => choice.kind === 'chain' && choice.chain.stages[0]?.engine.startsWith('a'),
    ).length;
    expect(kept).to.be.above(0);
    timers.advanceTo(1050);
    const expected = before + (kept * 5010) / CAPACITY;
    expect(routing.getSpillShares(VARIANT)?.own).to.be.closeTo(expected, 1e-3);
  });

  it('does not choose an engine of another domain again right after it refused', () => {
    const { routing, timers } = createBed(true);
    const choose = (): string => {
      const choice = routing.chooseChain(REQUEST);
      const engine = choice.kind === 'chain' ? choice.chain.stages[0]?.engine : undefined;
      if (choice.kind === 'chain') {
        const isRefused = engine === 'b1';
        choice.hold.release(
          isRefused ? { kind: 'failed', engine, cause: 'refused' } : { kind: 'cancelled' },
        );
      }
      return engine ?? '';
    };
    const first = Array.from({ length: 100 }, choose);
    expect(first.filter((engine) => engine === 'b1')).to.have.length(1);
    expect(first.filter((engine) => engine === 'b2').length).to.be.above(1);
    timers.advanceTo(2000);
    expect(Array.from({ length: 100 }, choose)).to.include('b1');
  });
});
