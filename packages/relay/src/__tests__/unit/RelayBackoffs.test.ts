import { expect } from 'chai';
import { pino } from 'pino';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelayBackoffs } from '../../RelayBackoffs.js';

function createBed(draw = 0) {
  const timers = createVirtualTimers(1000);
  const backoffs = createRelayBackoffs({
    timers,
    random: { nextFloat: () => draw },
    logger: pino({ level: 'silent' }),
    onRequested: () => undefined,
  });
  return { timers, backoffs, pass: (time: number) => timers.advanceTo(timers.now() + time) };
}

describe('RelayBackoffs', () => {
  it('lets a server rest for as long as it asked, and no other server', () => {
    const { backoffs, pass } = createBed();
    backoffs.noteRequested('a', 3000);
    expect(backoffs.listBackedOff()).to.deep.equal(['a']);
    expect([backoffs.getTimeLeft('a'), backoffs.getTimeLeft('b')]).to.deep.equal([3000, 0]);
    pass(2999);
    expect(backoffs.listBackedOff()).to.deep.equal(['a']);
    pass(1);
    expect(backoffs.listBackedOff()).to.deep.equal([]);
  });

  it('is not ended by a shorter rest, nor by an answer to an earlier request', () => {
    // Guards against requests in a rest that a later, shorter one or a slow answer seems to end.
    const { backoffs, pass } = createBed();
    backoffs.noteRequested('a', 3000);
    pass(100);
    backoffs.noteRequested('a', 500);
    backoffs.noteTaken('a');
    expect(backoffs.getTimeLeft('a')).to.equal(2900);
  });

  it('sends one request first after a rest, and the others once the server has taken it or says nothing', () => {
    // Guards against all that waited for a server at once, which then turns all away and asks for rest again.
    const { backoffs, pass } = createBed();
    backoffs.noteRequested('a', 1000);
    pass(1000);
    backoffs.noteSent('a');
    expect(backoffs.listBackedOff()).to.deep.equal(['a']);
    pass(250);
    expect(backoffs.listBackedOff()).to.deep.equal([]);
    backoffs.noteSent('a');
    expect(backoffs.listBackedOff()).to.deep.equal(['a']);
    backoffs.noteTaken('a');
    expect(backoffs.listBackedOff()).to.deep.equal([]);
    expect(backoffs.countServers()).to.equal(0);
  });

  it('waits up to a quarter longer by chance, so that instances do not return all at once', () => {
    const { backoffs } = createBed(0.999);
    backoffs.noteRequested('a', 3000);
    expect(backoffs.getTimeLeft('a')).to.be.within(3700, 3750);
  });

  it('bounds a rest, and forgets each in the end', () => {
    // Guards against a server that is lost for good by an absurd time, and against a table that grows.
    const { backoffs, pass } = createBed();
    backoffs.noteRequested('a', 1e12);
    backoffs.noteRequested('b', Infinity);
    backoffs.noteRequested('c', 0);
    expect(['a', 'b', 'c'].map(backoffs.getTimeLeft)).to.deep.equal([60_000, 60_000, 0]);
    pass(65_000);
    backoffs.listBackedOff();
    expect(backoffs.countServers()).to.equal(0);
  });
});
