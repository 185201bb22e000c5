import { expect } from 'chai';
import { FailurePlace } from '../../RequestPorts.js';
import type { ChainChoice, ChainRequest } from '../../RequestTypes.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  sendTokens,
  VARIANT,
} from './RequestFakes.js';

describe('RequestVersions', () => {
  it('fixes the version of an answer with its first token, and not before', () => {
    // Guards against a request that is bound to a version before it runs, and refused when engines give that up.
    const searches: (string | null)[] = [];
    const world = createFakeWorld();
    const { chooseChain, chooseRepair } = world.choices;
    const noteSearch = (request: ChainRequest): void => {
      searches.push(request.begunVersion);
    };
    const observed = createFakeWorld({
      chooseChain(request) {
        noteSearch(request);
        return chooseChain(request);
      },
      chooseRepair(request) {
        noteSearch(request);
        return chooseRepair(request);
      },
    });
    observed.submit('r1');
    const refusal = { place: FailurePlace.Refused, provenNotRun: true };
    observed.last().listener.onFailure(createFailure(refusal));
    observed.timers.advanceTo(1000);
    acknowledge(observed.last());
    sendTokens(observed, observed.last(), 0, 3);
    observed.last().listener.onFailure(createFailure({}));
    observed.timers.advanceTo(2000);
    expect(searches).to.deep.equal([null, null, VARIANT.version]);
  });

  it('holds back no new request for a begun answer of a version that it does not run', () => {
    // Guards against new requests that wait until their deadline behind an answer whose version engines have given up.
    const fake = createFakeWorld().choices;
    const none: ChainChoice = { kind: 'none', isFull: false, retryAfter: 5000 };
    const world = createFakeWorld({
      chooseChain: (request) => (request.begunVersion === null ? fake.chooseChain(request) : none),
      chooseRepair: () => none,
    });
    const begun = world.submit('begun');
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 3);
    world.last().listener.onFailure(createFailure({ engine: 'b1' }));
    world.timers.advanceTo(world.timers.now() + 1000);
    world.submit('new', { variant: { ...VARIANT, version: 'v2' } });
    expect(world.last().call.request).to.equal('new');
    world.submit('same');
    expect(world.last().call.request).to.equal('new');
    expect([begun.ends, begun.problems]).to.deep.equal([[], []]);
  });

  [
    {
      title: 'ends a begun answer at once when no chain of its version can come back',
      isGone: true,
      problems: [['engine-failed', 'ran', 0]],
    },
    {
      title: 'keeps a begun answer that has no chain as long as one can come back',
      isGone: false,
      problems: [],
    },
  ].forEach(({ title, isGone, problems }) => {
    it(title, () => {
      // Guards against callers that wait until their deadline for an answer that can't be completed.
      const world = createFakeWorld({
        chooseRepair: () => ({ kind: 'none', isFull: false, retryAfter: 5000, isGone }),
      });
      const received = world.submit('r1');
      acknowledge(world.last());
      sendTokens(world, world.last(), 0, 3);
      world.last().listener.onFailure(createFailure({ engine: 'b1' }));
      world.timers.advanceTo(world.timers.now() + 40);
      expect(received.problems.map((p) => [p.kind, p.run, p.retryAfter])).to.deep.equal(problems);
    });
  });

  it('counts an answer that has begun and has no chain at the moment for its version', () => {
    // Guards against engines that change their version while an answer between two attempts still needs them.
    const world = createFakeWorld({
      chooseRepair: () => ({ kind: 'none', isFull: false, retryAfter: 5000 }),
    });
    const count = (version: string): number =>
      world.router.countInterrupted({ ...VARIANT, version });
    world.submit('r1');
    const refusal = { place: FailurePlace.Refused, provenNotRun: true, retryAfter: 60_000 };
    world.submit('r2');
    world.last().listener.onFailure(createFailure(refusal));
    const [first] = world.calls;
    if (!first) {
      throw new Error('no call');
    }
    acknowledge(first);
    sendTokens(world, first, 0, 3);
    expect(count('v1')).to.equal(0);
    first.listener.onFailure(createFailure({ engine: 'b1' }));
    expect([count('v1'), count('v2')]).to.deep.equal([1, 0]);
  });
});
