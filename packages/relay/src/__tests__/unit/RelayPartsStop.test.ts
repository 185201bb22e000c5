import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createPartsBed } from './RelayPartsBed.js';

describe('RelayParts at their stop', () => {
  for (const [what, stuck] of [
    ['entry', 1],
    ['duty', 2],
  ] as const) {
    it(`waits to a limit for the end of the lease of its ${what}, and then calls the store no more`, async () => {
      // Guards against a process that is killed, or ends before its leases do, and against one that stays for calls.
      const bed = createPartsBed();
      const revoked: number[] = [];
      bed.start('one', {
        ...bed.store,
        revokeLease: (id, options) => {
          revoked.push(id);
          return id === stuck
            ? Promise.resolve({ kind: 'unknown' })
            : bed.store.revokeLease(id, options);
        },
      });
      await bed.timers.advanceToAsync(6000);
      const parts = bed.parts.get('one');
      expect(parts?.readState().duties).to.equal(1);
      parts?.startLeaving();
      let endedAt: Millis | null = null;
      void parts?.waitForLeaseEnds(1500).then(() => {
        endedAt = bed.timers.now();
      });
      await bed.timers.advanceToAsync(7400);
      expect(endedAt).to.equal(null);
      await bed.timers.advanceToAsync(7600);
      expect(endedAt).to.equal(7500);
      expect([...new Set(revoked)].sort()).to.deep.equal([1, 2]);
      parts?.stop();
      revoked.length = 0;
      await bed.timers.advanceToAsync(12_000);
      expect(revoked).to.deep.equal([]);
    });
  }

  it('gives up the end of its leases when it is stopped without a wait', async () => {
    // Guards against a daemon whose process stays after its stop for calls that nobody waits for.
    const bed = createPartsBed();
    let revocations = 0;
    bed.start('one', {
      ...bed.store,
      revokeLease: () => {
        revocations += 1;
        return Promise.resolve({ kind: 'unknown' });
      },
    });
    await bed.timers.advanceToAsync(6000);
    bed.parts.get('one')?.startLeaving();
    await bed.timers.advanceToAsync(6100);
    bed.parts.get('one')?.stop();
    expect(revocations).to.equal(2);
    await bed.timers.advanceToAsync(12_000);
    expect(revocations).to.equal(2);
  });

  it('waits no longer than its leases take to end, and leaves no timer', async () => {
    // Guards against each planned shutdown taking all of its grace.
    const bed = createPartsBed();
    bed.start('one');
    await bed.timers.advanceToAsync(6000);
    bed.parts.get('one')?.startLeaving();
    let isEnded = false;
    void bed.parts
      .get('one')
      ?.waitForLeaseEnds(5000)
      .then(() => {
        isEnded = true;
      });
    await bed.timers.advanceToAsync(6010);
    expect(isEnded).to.equal(true);
    bed.parts.get('one')?.stop();
    await bed.timers.advanceToAsync(9000);
    expect(bed.timers.countPending()).to.equal(0);
  });
});
