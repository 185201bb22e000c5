import { expect } from 'chai';
import type { Stage } from '@skylarksail/core/CoreChain';
import { createChain } from '@skylarksail/core/CoreChain';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineCall } from '@skylarksail/requests/RequestPorts';
import { createVirtualFleet } from '../../VirtualFleet.js';

const VARIANT = { model: 'notes', version: 'v1', adapter: null };

function createSpec(id: EngineId, first: number, end: number) {
  return {
    facts: {
      id,
      domain: 'a',
      rack: 'a1',
      address: { host: '127.0.0.1', port: 1 },
      accelerator: 'kind',
      decodeLayerTokensPerSecond: 10000,
      prefillLayerTokensPerSecond: 100000,
      weightBytes: 1e9,
      kvLayerTokens: 1e5,
      maxBatch: 8,
    },
    holding: {
      model: 'notes',
      version: 'v1',
      adapters: [],
      layers: { first, end },
      duty: 'mixed' as const,
    },
  };
}

function createCall(changes: Partial<EngineCall>, ids: readonly EngineId[]): EngineCall {
  const stages: readonly Stage[] = [
    { engine: ids[0] ?? '', layers: { first: 0, end: 10 } },
    { engine: ids[1] ?? '', layers: { first: 10, end: 20 } },
  ];
  const chain = createChain(VARIANT, 20, stages);
  if (!chain.ok) {
    throw new Error('the stages must form a chain');
  }
  return {
    request: 'r1',
    attempt: 1,
    chain: chain.value,
    team: 'letters',
    original: null,
    prompt: 'x'.repeat(640),
    resumeTokens: [],
    maxTokens: 20,
    priority: 'normal',
    timeLeft: 60000,
    importFrom: [],
    ...changes,
  };
}

function createHarness() {
  const timers = createVirtualTimers();
  const fleet = createVirtualFleet({
    timers,
    engines: [createSpec('a', 0, 10), createSpec('b', 10, 20), createSpec('c', 10, 20)],
    getLink: () => ({ key: 'link', bytesPerSecond: 1e9, delayMs: 0.1 }),
    activationBytes: 16384,
    kvBytesPerLayer: 4096,
    entryDelayMs: 1,
    readPrompt: (prompt) => ({ tokens: prompt.length, prefixKey: null, prefixTokens: 0 }),
    createToken: (_call, index) => `t${index}`,
    isPoison: () => false,
  });
  const events: string[] = [];
  const tokens: string[] = [];
  function open(call: EngineCall) {
    return fleet.open(call, {
      onAcknowledged: () => events.push('acknowledged'),
      onToken: (index, token) => tokens.push(`${index}${token}`),
      onEnd: (reason, count) => events.push(`${reason} ${count}`),
      onFailure: ({ place, engine, provenNotRun }) =>
        events.push(`${place} ${engine} ${provenNotRun}`),
    });
  }
  return { timers, fleet, events, tokens, open };
}

describe('VirtualFleet', () => {
  it('runs every layer once per token and releases the run afterwards', () => {
    const { timers, fleet, events, tokens, open } = createHarness();
    open(createCall({}, ['a', 'b']));
    timers.advanceTo(5000);
    expect(events).to.deep.equal(['acknowledged', 'length 20']);
    expect(tokens).to.deep.equal(Array.from({ length: 20 }, (_, i) => `${i}t${i}`));
    expect(fleet.readLedger()).to.include({ tokens: 20, layerOrderViolations: 0 });
    expect(fleet.readLoads().map(({ running, kvUsed }) => running + kvUsed)).to.deep.equal([
      0, 0, 0,
    ]);
  });

  // Guards against a fake that answers correctly after a crash but misstates the cost of recovery: if it kept
  // all cached state, or none, every recovery strategy would cost the same. Stage b crashes mid-answer, and
  // the call resumes on c, which must prefill its layers.
  it('reports a crashed stage and prefills only the tokens that the resumed chain lacks', () => {
    const { timers, fleet, events, tokens, open } = createHarness();
    open(createCall({}, ['a', 'b']));
    timers.advanceTo(150);
    fleet.setFault('b', { kind: 'crashed' });
    timers.advanceTo(152);
    expect(events).to.deep.equal(['acknowledged', 'stage b false']);
    const resumeTokens = tokens.map((token) => token.replace(/^\d+/, ''));
    open(createCall({ attempt: 2, resumeTokens }, ['a', 'c']));
    timers.advanceTo(5000);
    expect(events.slice(2)).to.deep.equal(['acknowledged', 'length 20']);
    expect(tokens).to.deep.equal(Array.from({ length: 20 }, (_, i) => `${i}t${i}`));
    open(createCall({ request: 'r2' }, ['a', 'b']));
    timers.advanceTo(5100);
    expect(events.at(-1)).to.equal('stage b true');
  });

  it('emits no tokens while an engine hangs and continues afterwards', () => {
    const { timers, fleet, events, tokens, open } = createHarness();
    open(createCall({}, ['a', 'b']));
    timers.advanceTo(150);
    fleet.setFault('b', { kind: 'hung' });
    timers.advanceTo(160);
    const count = tokens.length;
    timers.advanceTo(3000);
    expect(tokens).to.have.length(count);
    fleet.setFault('b', { kind: 'none' });
    timers.advanceTo(5000);
    expect(events).to.deep.equal(['acknowledged', 'length 20']);
  });
});
