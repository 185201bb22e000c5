import { expect } from 'chai';
import { createTimeoutSignal } from '../../DaemonAbortSignals.js';

describe('DaemonAbortSignals', () => {
  // Symptom: no manifest could be submitted; each call to the configuration service was "unknown".
  // Sequence: a deadline is the clock's reading plus a limit; the time left of it has a fraction.
  // Cause: AbortSignal.timeout throws on fractions, before anything is sent.
  it('takes times with fractions, and times that are already over', () => {
    expect(createTimeoutSignal(1999.25).aborted).to.equal(false);
    expect(createTimeoutSignal(-3.5).aborted).to.equal(false);
  });
});
