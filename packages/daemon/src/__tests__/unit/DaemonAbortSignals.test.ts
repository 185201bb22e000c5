import { expect } from 'chai';
import { createTimeoutSignal } from '../../DaemonAbortSignals.js';

describe('DaemonAbortSignals', () => {
  // Guards against calls to the configuration service that all end as "unknown", so that no
  // manifest can be submitted: the time left until a deadline has a fraction of a millisecond, on
  // which AbortSignal.timeout throws before anything is sent.
  it('accepts timeouts with fractions and timeouts that have already passed', () => {
    expect(createTimeoutSignal(1999.25).aborted).to.equal(false);
    expect(createTimeoutSignal(-3.5).aborted).to.equal(false);
  });
});
