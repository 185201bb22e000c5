import { expect } from 'chai';
import { pino } from 'pino';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelayRests } from '../../RelayRests.js';

function createBed(draw = 0) {
  const timers = createVirtualTimers(1000);
  const rests = createRelayRests({
    timers,
    random: { nextFloat: () => draw },
    logger: pino({ level: 'silent' }),
    onAsked: () => undefined,
  });
  return { timers, rests, pass: (time: number) => timers.advanceTo(timers.now() + time) };
}

describe('RelayRests', () => {
  it('lets a server rest for as long as it asked, and no other server', () => {
    const { rests, pass } = createBed();
    rests.noteAsked('a', 3000);
    expect(rests.listResting()).to.deep.equal(['a']);
    expect([rests.getTimeLeft('a'), rests.getTimeLeft('b')]).to.deep.equal([3000, 0]);
    pass(2999);
    expect(rests.listResting()).to.deep.equal(['a']);
    pass(1);
    expect(rests.listResting()).to.deep.equal([]);
  });

  it('is not ended by a shorter rest, nor by an answer to an earlier request', () => {
    // Guards against requests in a rest that a later, shorter one or a slow answer seems to end.
    const { rests, pass } = createBed();
    rests.noteAsked('a', 3000);
    pass(100);
    rests.noteAsked('a', 500);
    rests.noteTaken('a');
    expect(rests.getTimeLeft('a')).to.equal(2900);
  });

  it('sends one request first after a rest, and the others once the server has taken it or says nothing', () => {
    // Guards against all that waited for a server at once, which then turns all away and asks for rest again.
    const { rests, pass } = createBed();
    rests.noteAsked('a', 1000);
    pass(1000);
    rests.noteSent('a');
    expect(rests.listResting()).to.deep.equal(['a']);
    pass(250);
    expect(rests.listResting()).to.deep.equal([]);
    rests.noteSent('a');
    expect(rests.listResting()).to.deep.equal(['a']);
    rests.noteTaken('a');
    expect(rests.listResting()).to.deep.equal([]);
    expect(rests.countServers()).to.equal(0);
  });

  it('waits up to a quarter longer by chance, so that instances do not return all at once', () => {
    const { rests } = createBed(0.999);
    rests.noteAsked('a', 3000);
    expect(rests.getTimeLeft('a')).to.be.within(3700, 3750);
  });

  it('bounds a rest, and forgets each in the end', () => {
    // Guards against a server that is lost for good by an absurd time, and against a table that grows.
    const { rests, pass } = createBed();
    rests.noteAsked('a', 1e12);
    rests.noteAsked('b', Infinity);
    rests.noteAsked('c', 0);
    expect(['a', 'b', 'c'].map(rests.getTimeLeft)).to.deep.equal([60_000, 60_000, 0]);
    pass(65_000);
    rests.listResting();
    expect(rests.countServers()).to.equal(0);
  });
});
