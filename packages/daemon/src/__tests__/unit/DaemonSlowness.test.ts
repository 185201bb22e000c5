import { expect } from 'chai';
import type { Chain } from '@skylarksail/core/CoreChain';
import { createChain } from '@skylarksail/core/CoreChain';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineCall, EngineCallListener } from '@skylarksail/requests/RequestPorts';
import { getHealth, recordTokenGap } from '@skylarksail/routing/RoutingCalls';
import { refreshPlans } from '@skylarksail/routing/RoutingPlans';
import type { PeerSlowness } from '@skylarksail/routing/RoutingSlowness';
import { createDaemonRouting } from '../../DaemonRouting.js';
import type { Decision } from '../../DaemonDecisions.js';

const VARIANT = { model: 'm', version: 'v1', adapter: null };
const IDS = ['a', 'b', 'c', 'd'];
const SILENT: EngineCallListener = {
  onAcknowledged: () => undefined,
  onToken: () => undefined,
  onEnd: () => undefined,
  onFailure: () => undefined,
};

function createWholeChain(engine: string): Chain {
  const chain = createChain(VARIANT, 4, [{ engine, layers: { first: 0, end: 4 } }]);
  if (!chain.ok) {
    throw new Error('expected the stage to form a chain');
  }
  return chain.value;
}

function createBed(isMemoryShared: boolean, peers: PeerSlowness | null = null) {
  const timers = createVirtualTimers();
  const decisions: Decision[] = [];
  const routing = createDaemonRouting({
    domain: 'd',
    timers,
    random: createRandom(1),
    decisions: { record: (decision) => decisions.push(decision), read: () => [] },
    listDraining: () => [],
    readPeerSlowness: () => peers,
  });
  routing.setFleetFacts({
    models: new Map([['m', { id: 'm', activationBytes: 1, isMemoryShared }]]),
  });
  routing.setEngineFacts(
    IDS.map((id) => ({
      id,
      domain: 'd',
      rack: 'd',
      address: { host: '127.0.0.1', port: 1 },
      accelerator: 'fast',
      decodeLayerTokensPerSecond: 1000,
      prefillLayerTokensPerSecond: 10_000,
      weightBytes: 1e9,
      kvLayerTokens: 1e6,
      maxBatch: 16,
    })),
  );
  routing.setEngineLoads(
    IDS.map((engine) => ({
      seenAt: 0,
      load: {
        engine,
        bootId: 'b',
        state: 'live' as const,
        holding: {
          model: 'm',
          version: 'v1',
          adapters: [],
          layers: { first: 0, end: 4 },
          duty: 'mixed' as const,
        },
        running: 0,
        queued: 0,
        kvUsed: 0,
        orderNumber: 0,
      },
    })),
  );
  routing.start();
  const listeners = new Map<string, EngineCallListener>();
  const cancels = IDS.map((id) =>
    routing.trackTokenGaps((_call, listener) => {
      listeners.set(id, listener);
      return () => undefined;
    })({ chain: createWholeChain(id) } as EngineCall, SILENT),
  );
  /** Events every 100 ms on each engine, on `a` every 500 ms. */
  const run = (from: number, to: number): void => {
    for (let at = from; at <= to; at += 100) {
      timers.advanceTo(at);
      IDS.filter((id) => id !== 'a' || at % 500 === 0).forEach((id) =>
        listeners.get(id)?.onToken(at, 'x'),
      );
    }
  };
  return { timers, routing, listeners, cancels, run, decisions };
}

describe('DaemonSlowness', () => {
  it('lowers the speed of an engine whose answers are slow, and logs what determined it', () => {
    const { routing, run, decisions } = createBed(true);
    run(100, 1500);
    expect(getHealth(routing.getState(), 'a').speed).to.be.closeTo(1 / 5, 0.05);
    expect(getHealth(routing.getState(), 'b').speed).to.equal(undefined);
    expect(routing.listSlowEngines()[0]?.engine).to.equal('a');
    const logged = decisions.find(({ decision }) => decision === 'engine-slow');
    expect(logged).to.include({ engine: 'a', peers: null, answers: IDS.length });
  });

  it('forgets answers that ended, failed or were cancelled', () => {
    // Guards against ended answers that count as stalled for ever, so that their engines count as slow.
    const { timers, routing, run, listeners, cancels } = createBed(true);
    run(100, 1500);
    listeners.get('a')?.onEnd('stop', 1);
    listeners.get('b')?.onFailure({} as Parameters<EngineCallListener['onFailure']>[0]);
    cancels.forEach((cancel) => cancel());
    // An event after the cancel does not bring the answer back.
    listeners.get('c')?.onToken(99, 'x');
    timers.advanceTo(10_000);
    expect(routing.listSlowEngines()).to.deep.equal([]);
    IDS.forEach((id) => expect(getHealth(routing.getState(), id).speed).to.equal(undefined));
  });

  it('gives an engine that returns its usual speed, also if it was removed while it was slow', () => {
    // Guards against an engine that keeps an eighth of its share for good because it was removed while it was slow.
    const { timers, routing, run, cancels } = createBed(true);
    run(100, 1500);
    const facts = [...routing.getState().engines.values()];
    routing.setEngineFacts(facts.filter(({ id }) => id !== 'a'));
    cancels.forEach((cancel) => cancel());
    timers.advanceTo(20_000);
    routing.setEngineFacts(facts);
    timers.advanceTo(21_000);
    expect(getHealth(routing.getState(), 'a').speed).to.equal(undefined);
  });

  it('changes nothing for models whose memory is not shared, whatever others report', () => {
    // The state is compared with what the plans and a sample of gaps every 16 events make of the same inputs.
    const { routing, run } = createBed(false, new Map([['b', 8]]));
    let expected = routing.getState();
    run(100, 6000);
    for (let at = 100; at <= 6000; at += 100) {
      if (at % 500 === 0) {
        expected = refreshPlans(expected, at);
      }
      const events = at / 100 - 1;
      if (events > 0 && events % 16 === 0) {
        for (const id of ['b', 'c', 'd']) {
          expected = recordTokenGap(expected, createWholeChain(id), 100, at);
        }
      }
    }
    expect(routing.getState()).to.deep.equal(expected);
    expect(getHealth(expected, 'b').gapCount).to.equal(3);
    expect(routing.listSlowEngines()).to.deep.equal([]);
  });
});
