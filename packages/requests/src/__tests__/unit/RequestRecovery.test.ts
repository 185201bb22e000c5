import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { FailurePlace } from '../../RequestPorts.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  sendTokens,
  listEngines,
  listWords,
} from './RequestFakes.js';

describe('Recovery of an interrupted answer', () => {
  it('continues after the last token on a chain with only the failed stage replaced', () => {
    // Guards against an answer that restarts after a stage failed, or that accepts a late frame of the failed attempt.
    const world = createFakeWorld();
    const heard = world.submit('r');
    const first = world.last();
    acknowledge(first);
    sendTokens(world, first, 0, 5);
    first.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    const second = world.last();
    expect(listEngines(second)).to.deep.equal(['a1', 'b2']);
    expect(second.call.resumeTokens).to.deep.equal(listWords(5));
    first.listener.onToken(5, 'stale');
    acknowledge(second);
    second.listener.onToken(4, 'repeated');
    sendTokens(world, second, 5, 8);
    second.listener.onEnd('stop', 8);
    expect(heard.tokens).to.deep.equal(listWords(8));
    expect([heard.ends, heard.problems]).to.deep.equal([['stop'], []]);
    expect([world.count('lateFrames'), world.count('repeatedFrames')]).to.deep.equal([1, 1]);
  });

  it('detects a hung stage by its silence, and replaces only the stage without progress in other streams', () => {
    // Guards against a hung stage that is detected only by a fixed timeout and attributed to the whole chain.
    const world = createFakeWorld();
    const hung = world.submit('hung');
    const call = world.last();
    acknowledge(call);
    world.submit('other', { prompt: 'other' });
    const other = world.last();
    acknowledge(other);
    other.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    const moved = world.last();
    acknowledge(moved);
    expect(listEngines(moved)).to.deep.equal(['a1', 'b2']);
    sendTokens(world, call, 0, 10);
    const silentFrom = world.timers.now();
    for (let i = 0; world.last() === moved && i < 100; i++) {
      sendTokens(world, moved, i, i + 1);
    }
    const repaired = world.last();
    expect(repaired.openedAt - silentFrom).to.be.within(100, 200);
    expect(listEngines(repaired)).to.deep.equal(['a1', 'b2']);
    expect(call.isCancelled).to.equal(true);
    acknowledge(repaired);
    sendTokens(world, repaired, 10, 12);
    repaired.listener.onEnd('stop', 12);
    expect(hung.tokens).to.deep.equal(listWords(12));
  });

  it('quickly detects that all engines of a chain are unreachable', () => {
    // Guards against tolerating the silence of a whole chain as if a slow link were the cause.
    const links = { notePaces: () => undefined, isSlow: () => false };
    const world = createFakeWorld({ links });
    world.submit('cut');
    const call = world.last();
    acknowledge(call);
    world.submit('other', { prompt: 'other' });
    world.last().listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    world.last().listener.onFailure(createFailure({ place: FailurePlace.Connect, engine: 'a1' }));
    const other = world.last();
    acknowledge(other);
    expect(listEngines(other)).to.deep.equal(['a2', 'b2']);
    sendTokens(world, call, 0, 10);
    const silentFrom = world.timers.now();
    for (let i = 0; world.last() === other && i < 100; i++) {
      sendTokens(world, other, i, i + 1);
    }
    expect(world.last().openedAt - silentFrom).to.be.within(200, 500);
    expect(listEngines(world.last())).to.deep.equal(['a2', 'b2']);
  });

  it('tolerates silence on a slow link for a limited time', () => {
    // Guards against repeated prefills across a slow link, which make it slower.
    const links = { notePaces: () => undefined, isSlow: () => true };
    const world = createFakeWorld({ links });
    world.submit('r');
    const call = world.last();
    acknowledge(call);
    sendTokens(world, call, 0, 10);
    world.timers.advanceTo(world.timers.now() + 1000);
    expect(world.last()).to.equal(call);
    world.timers.advanceTo(world.timers.now() + 10_000);
    expect(call.isCancelled).to.equal(true);
  });

  it('reports the paces of started streams, but skips a report after a pause of the router process', () => {
    // Guards against counting a pause of the router's process as silence of the streams, so that all links appear slow.
    const told: number[][] = [];
    const clock = createVirtualTimers();
    let pausedFor = 0;
    const world = createFakeWorld({
      timers: { ...clock, now: () => clock.now() + pausedFor },
      links: {
        notePaces: (paces) => told.push(paces.map(({ gap }) => gap)),
        isSlow: () => false,
      },
    });
    world.submit('r');
    const call = world.last();
    acknowledge(call);
    for (let i = 0; i < 15; i++) {
      clock.advanceTo(clock.now() + 20);
      call.listener.onToken(i, `t${i} `);
    }
    expect(told.flat().length).to.be.above(1);
    expect(Math.max(...told.flat())).to.be.within(20, 40);
    const before = told.length;
    pausedFor = 1000;
    clock.advanceTo(clock.now() + 100);
    expect(told.length).to.equal(before);
    clock.advanceTo(clock.now() + 100);
    expect(told.length).to.equal(before + 1);
  });

  it('recovers again after a replacement fails and the next chain refuses', () => {
    // Guards against recovering an answer only once, or retrying an engine before its `retryAfter` has passed.
    const world = createFakeWorld();
    const heard = world.submit('r');
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 3);
    world.last().listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    acknowledge(world.last());
    world
      .last()
      .listener.onFailure(
        createFailure({ place: FailurePlace.Stage, engine: 'b2', provenNotRun: true }),
      );
    world.timers.advanceTo(world.timers.now() + 200);
    expect(listEngines(world.last())).to.deep.equal(['a1', 'b3']);
    const refusedAt = world.timers.now();
    world.last().listener.onFailure(
      createFailure({
        place: FailurePlace.Refused,
        engine: 'a1',
        status: 429,
        retryAfter: 700,
        provenNotRun: true,
      }),
    );
    world.timers.advanceTo(refusedAt + 900);
    const last = world.last();
    expect(last.openedAt - refusedAt).to.be.at.least(700);
    expect(last.call.resumeTokens).to.deep.equal(listWords(3));
    acknowledge(last);
    last.listener.onToken(3, 'w3');
    last.listener.onEnd('stop', 4);
    expect(heard.tokens).to.deep.equal(listWords(4));
    expect(heard.ends).to.deep.equal(['stop']);
  });

  it('limits concurrent recoveries, and starts with the answers that stalled longest', () => {
    // Guards against twenty concurrent prefills that stall the answers on the remaining engines.
    const world = createFakeWorld();
    for (let i = 0; i < 20; i++) {
      world.submit(`r${i}`);
      acknowledge(world.last());
    }
    const before = [...world.calls];
    before.forEach((opened, i) => {
      world.timers.advanceTo(100 + i * 5);
      opened.listener.onToken(0, 'w0');
    });
    [...before].reverse().forEach((opened) => {
      opened.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    });
    const bound = world.router.getCounts().recovering;
    expect(bound).to.be.within(4, 10);
    expect(world.router.getCounts().recoveriesWaiting).to.equal(20 - bound);
    acknowledge(world.last());
    world.last().listener.onToken(1, 'w1');
    expect(world.last().call.request).to.equal('r0');
  });

  it('never reports a truncated or miscounted answer as complete', () => {
    // Guards against completing an answer although its token count or a token index does not match.
    const world = createFakeWorld();
    const heard = world.submit('r');
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 2);
    world.last().listener.onEnd('stop', 3);
    world.timers.advanceTo(world.timers.now() + 100);
    acknowledge(world.last());
    world.last().listener.onToken(3, 'w3');
    world.timers.advanceTo(world.timers.now() + 100);
    expect([heard.tokens, heard.ends]).to.deep.equal([listWords(2), []]);
    acknowledge(world.last());
    sendTokens(world, world.last(), 2, 4);
    world.last().listener.onEnd('stop', 4);
    expect([heard.tokens, heard.ends]).to.deep.equal([listWords(4), ['stop']]);
  });

  it('forwards no token of an engine that acknowledges another chain', () => {
    // Guards against accepting an acknowledgement without comparing its chain with the requested one.
    const world = createFakeWorld();
    const heard = world.submit('r');
    const wrong = world.last();
    const { chain } = wrong.call;
    wrong.listener.onAcknowledged({
      variant: { ...chain.variant, version: 'v2' },
      stages: chain.stages,
    });
    wrong.listener.onToken(0, 'of v2');
    world.timers.advanceTo(100);
    acknowledge(world.last());
    world.last().listener.onToken(0, 'w0');
    world.last().listener.onEnd('stop', 1);
    expect(heard.tokens).to.deep.equal(['w0']);
    expect(wrong.isCancelled).to.equal(true);
  });

  it('moves a stream that becomes slow', () => {
    // Guards against a throttled engine that stays undetected because its gaps are all below the silence timeout.
    const world = createFakeWorld();
    world.submit('slow', { maxTokens: 400 });
    const slow = world.last();
    acknowledge(slow);
    world.submit('well', { maxTokens: 400 });
    const well = world.last();
    acknowledge(well);
    well.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    const moved = world.last();
    acknowledge(moved);
    let slowTokens = 0;
    for (let i = 0; i < 160 && !slow.isCancelled; i++) {
      sendTokens(world, moved, i, i + 1, 10);
      if (i < 20 || i % 10 === 0) {
        slow.listener.onToken(slowTokens, `w${slowTokens}`);
        slowTokens += 1;
      }
    }
    expect(slow.isCancelled).to.equal(true);
    expect(listEngines(world.last())).to.deep.equal(['a1', 'b2']);
  });
});
