import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { LeaseEnd } from '@skylarksail/stand-ins/StandInRangeStore';
import { END_BOUND } from '@skylarksail/store/FakeShutdown';
import { checkLeases } from '../../SoakLeaseCheck.js';
import type { LeaseEvidence, LeaseProcess, StoreCall } from '../../SoakLeaseTypes.js';
import { CallAnswer, CallKind, ENTRY_PREFIX } from '../../SoakLeaseTypes.js';

const STOP: Millis = 10_000;
const EXIT: Millis = STOP + 2600;
const LAPSE: Millis = STOP + 6000;

const PROCESS: LeaseProcess = {
  id: 'node-0',
  domain: 'harbour',
  startedAt: 0,
  stopAt: STOP,
  handledAt: STOP,
  endedAt: EXIT,
  end: '0',
};

/** A revocation that is called at a time after the stop; by default its answer is lost. */
function createRevoke(after: Millis, call: Partial<StoreCall> = {}): StoreCall {
  const at = STOP + after;
  return {
    owner: PROCESS.id,
    kind: CallKind.Revoke,
    at,
    lease: 1,
    keys: [],
    status: null,
    appliedAt: null,
    answer: CallAnswer.Silence,
    answeredAt: at,
    ...call,
  };
}

/** A process that leaves the key of its entry on its lease until `removedAt`. */
function createEvidence(
  calls: readonly StoreCall[],
  removedAt: Millis = LAPSE,
  process: Partial<LeaseProcess> = {},
): LeaseEvidence {
  const lease = { id: 1, grant: 1, owner: PROCESS.id, ttl: 6000, grantedAt: 500, renewedAt: [] };
  return {
    processes: [{ ...PROCESS, ...process }],
    calls,
    leases: [{ ...lease, endedAt: removedAt, end: LeaseEnd.Lapsed }],
    keys: [{ key: `${ENTRY_PREFIX}node-0`, value: '', lease: 1, grant: 1, setAt: 600, removedAt }],
    domains: ['harbour'],
    faulty: [],
    down: [],
    stalls: [],
    closedAt: 20_000,
  };
}

describe('SoakLeaseCheck', () => {
  it('finds a key that is left although a lost revocation could have been repeated', () => {
    expect(checkLeases(createEvidence([createRevoke(0)]))).to.have.lengthOf(1);
  });

  it('finds a key whose lease nobody ended', () => {
    expect(checkLeases(createEvidence([]))).to.have.lengthOf(1);
  });

  it('finds a key that is ended only after the bound', () => {
    expect(checkLeases(createEvidence([], STOP + END_BOUND + 1))).to.have.lengthOf(1);
    expect(checkLeases(createEvidence([], STOP + END_BOUND))).deep.equal([]);
  });

  it('allows a key of a process all of whose calls are lost, refused or answered late', () => {
    const calls = [
      createRevoke(0),
      createRevoke(1000, { answer: CallAnswer.Sent, status: 503 }),
      createRevoke(2000, { answer: CallAnswer.Sent, status: 200, answeredAt: STOP + 2700 }),
    ];
    expect(checkLeases(createEvidence(calls))).deep.equal([]);
  });

  it('does not count lost calls for another lease', () => {
    const calls = [0, 1000, 2000].map((after) => createRevoke(after, { lease: 2 }));
    expect(checkLeases(createEvidence(calls))).to.have.lengthOf(1);
  });

  it('allows a key while the store is down, and END_BOUND from its return on', () => {
    const evidence = createEvidence([]);
    const getDown = (to: Millis) => ({ ...evidence, down: [{ from: STOP - 100, to }] });
    expect(checkLeases(getDown(EXIT))).deep.equal([]);
    expect(checkLeases(getDown(EXIT - END_BOUND + 1))).deep.equal([]);
    expect(checkLeases(getDown(EXIT - END_BOUND))).to.have.lengthOf(1);
  });

  it('allows a key while the process of the store did not run', () => {
    const evidence = createEvidence([]);
    const getStalls = (to: Millis) => ({ ...evidence, stalls: [{ from: STOP + 500, to }] });
    expect(checkLeases(getStalls(EXIT - END_BOUND + 1))).deep.equal([]);
    expect(checkLeases(getStalls(EXIT - END_BOUND))).to.have.lengthOf(1);
  });

  it('finds a process that is killed at the end of its grace', () => {
    const killed = { endedAt: STOP + 8000, end: 'SIGKILL' };
    expect(checkLeases(createEvidence([], STOP, killed))).deep.equal([
      'node-0: stopped at 10000, killed',
    ]);
  });
});
