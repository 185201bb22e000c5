import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createStartGate, MAX_START_WAIT } from '../../RelayStartGate.js';

describe('RelayStartGate', () => {
  it('opens soon after the first configuration, and lets all pass that wait', () => {
    const timers = createVirtualTimers();
    const gate = createStartGate(timers);
    const passed: string[] = [];
    gate.wait(() => passed.push('a'));
    gate.wait(() => passed.push('b'));
    timers.advanceTo(300);
    expect([gate.isOpen(), passed]).to.deep.equal([false, []]);
    gate.noteConfigured();
    timers.advanceTo(400);
    expect([gate.isOpen(), passed]).to.deep.equal([true, ['a', 'b']]);
    gate.noteConfigured();
    expect(timers.countPending()).to.equal(0);
  });

  it('opens in time while configurations follow each other closely', () => {
    // Guards against callers that are held until the last of a series of changes, past the longest wait.
    const timers = createVirtualTimers();
    const gate = createStartGate(timers);
    let passedAt = Infinity;
    gate.wait(() => {
      passedAt = timers.now();
    });
    for (let at = 300; at < 3000; at += 40) {
      timers.advanceTo(at);
      gate.noteConfigured();
    }
    expect(passedAt).to.be.at.most(400);
    expect(timers.countPending()).to.equal(0);
  });

  it('opens without a configuration when the store does not answer', () => {
    // Guards against callers that are held by an instance that knows that it cannot serve them.
    const timers = createVirtualTimers();
    const gate = createStartGate(timers);
    let passed = 0;
    gate.wait(() => {
      passed += 1;
    });
    timers.advanceTo(MAX_START_WAIT - 1);
    expect(passed).to.equal(0);
    timers.advanceTo(MAX_START_WAIT);
    expect([passed, gate.isOpen()]).to.deep.equal([1, true]);
  });

  it('leaves no timer behind', () => {
    const timers = createVirtualTimers();
    const gate = createStartGate(timers);
    gate.noteConfigured();
    gate.stop();
    expect(timers.countPending()).to.equal(0);
  });
});
