import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { CloseReason } from '../../ConnectionLimits.js';
import type { CloseReport } from '../../ConnectionReports.js';
import { createCloseReporter } from '../../ConnectionReports.js';

describe('ConnectionReports', () => {
  it('reports the first at once and those that follow together', () => {
    // Guards against a crowd that fills the log with its connections.
    const timers = createVirtualTimers();
    const reports: CloseReport[] = [];
    const reporter = createCloseReporter(timers, (closed) => reports.push(closed));
    for (let i = 0; i < 100; i += 1) {
      reporter.note(CloseReason.Connections, 2);
    }
    expect(reports).to.deep.equal([{ reason: 'connections', count: 1, heldBytes: 2 }]);
    timers.advanceTo(10_000);
    expect(reports.slice(1)).to.deep.equal([{ reason: 'connections', count: 99, heldBytes: 198 }]);
    reporter.note(CloseReason.Connections, 0);
    expect(reports.length).to.equal(3);
    reporter.stop();
    expect(timers.countPending()).to.equal(0);
  });
});
