import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore, type FakeRangeStore } from '../../FakeRangeStore.js';

const CALL = { timeout: 800 };

async function grant(store: FakeRangeStore): Promise<number> {
  const outcome = await store.grantLease(6000, CALL);
  return outcome.kind === 'done' ? outcome.value : 0;
}

describe('FakeRangeStore', () => {
  it('never grants the same lease id twice', async () => {
    // Guards against tests that pass because a new lease takes the place of a live one with the same id.
    const store = createFakeRangeStore(createVirtualTimers());
    const first = await grant(store);
    const second = await grant(store);
    await store.revokeLease(first, CALL);
    const third = await grant(store);
    await store.revokeLease(third, CALL);
    const fourth = await grant(store);
    expect(new Set([first, second, third, fourth])).to.have.property('size', 4);
    await store.write([], [{ key: 'a', value: 'x', lease: second }], [], CALL);
    await store.revokeLease(fourth, CALL);
    expect(store.get('a')).to.equal('x');
  });
});
