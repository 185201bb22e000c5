import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LeaseCallRecord } from '@skylarksail/stand-ins/StandInLeaseRoutes';
import { LeaseCallFate, LeaseCallKind } from '@skylarksail/stand-ins/StandInLeaseRoutes';
import { createStandInLeases } from '@skylarksail/stand-ins/StandInLeases';
import type { SoakProcess } from '../../SoakChecker.js';
import type { GrantEvidence } from '../../SoakGrants.js';
import { reportGrants } from '../../SoakGrants.js';

const START: Millis = 1_000_000;
const STOP: Millis = 10_000;
const EXIT: Millis = 13_000;
const TTL: Millis = 20_000;
const KEY = 'placement/harbour';

function createBed() {
  let now = START;
  const leases = createStandInLeases(() => now);
  return {
    leases,
    setTime(time: Millis): void {
      now = START + time;
    },
    report(
      leaseCalls: readonly LeaseCallRecord[],
      outageEnd: Millis = 0,
      stopAt: Millis = STOP,
      earlier: readonly SoakProcess[] = [],
    ) {
      const process = {
        id: `entry-0#${earlier.length}`,
        stopAt,
        killAt: null,
        endedAt: EXIT,
        end: '0',
      };
      const evidence: GrantEvidence = {
        processes: [...earlier, process],
        grants: leases.listRecords(),
        leaseCalls,
        startedAt: START,
        down: [{ from: 0, to: outageEnd }],
      };
      return reportGrants(evidence);
    },
  };
}

function createRelease(
  time: Millis,
  fate: LeaseCallRecord['fate'] = LeaseCallFate.Cut,
): LeaseCallRecord {
  const at = START + time;
  const status = fate === LeaseCallFate.Answered ? 200 : null;
  const kind = LeaseCallKind.Release;
  return { kind, key: KEY, holder: 'entry-0', at, answeredAt: at, fate, status };
}

describe('SoakGrants', () => {
  it('counts a lease that is left until its holder is granted it again', () => {
    const { leases, setTime, report } = createBed();
    leases.acquire(KEY, 'entry-0', TTL);
    setTime(EXIT + 2000);
    leases.acquire(KEY, 'entry-0', TTL);
    const { left, holders } = report([createRelease(EXIT - 2500)]);
    expect(holders).equal(1);
    expect(left).to.have.lengthOf(1);
    expect(left[0]).include({ afterExit: 2000, end: 'replaced' });
  });

  it('finds a lease that is left without a release, or after one that could have been repeated', () => {
    const { leases, report } = createBed();
    leases.acquire(KEY, 'entry-0', TTL);
    expect(report([]).broken).to.have.lengthOf(1);
    expect(report([createRelease(EXIT - 1200)]).broken).to.have.lengthOf(1);
    expect(report([createRelease(EXIT - 1199)]).broken).deep.equal([]);
    expect(report([], EXIT - 1200).broken).to.have.lengthOf(1);
    expect(report([], EXIT - 1199).broken).deep.equal([]);
  });

  it('finds a lease that is left by a daemon that stops at once, without a fault', () => {
    const { leases, report } = createBed();
    leases.acquire(KEY, 'entry-0', TTL);
    expect(report([], 0, EXIT - 500).broken).to.have.lengthOf(1);
    expect(report([createRelease(EXIT - 100)], 0, EXIT - 500).broken).deep.equal([]);
  });

  it('counts a lease only for the process to which it was granted', () => {
    const { leases, report } = createBed();
    leases.acquire(KEY, 'entry-0', TTL);
    const earlier = { id: 'entry-0#0', stopAt: 500, killAt: null, endedAt: 1000, end: '0' };
    expect(report([], 0, STOP, [earlier]).left.map(({ afterExit }) => afterExit)).deep.equal([
      TTL - 1000,
    ]);
  });

  it('finds nothing if the lease was released before the exit, or lapsed', () => {
    const { leases, setTime, report } = createBed();
    leases.acquire(KEY, 'entry-0', TTL);
    setTime(EXIT - 100);
    expect(leases.release(KEY, 'entry-0', 1)).equal(true);
    expect(report([createRelease(EXIT - 100, LeaseCallFate.Answered)])).deep.equal({
      stopped: 1,
      holders: 1,
      left: [],
      broken: [],
    });
    leases.acquire(KEY, 'entry-0', 50);
    expect(report([]).left).deep.equal([]);
  });
});
