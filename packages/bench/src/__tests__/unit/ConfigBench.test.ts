import { expect } from 'chai';
import { runConfigBench } from '../../ConfigBench.js';
import type { ConfigBenchLine } from '../../ConfigBench.js';
import { createRecord, measureInForce, recordInForce } from '../../ConfigFleet.js';

describe('ConfigBench', () => {
  it('runs without reverts under races, restarts, outages and partitions, deterministically', async () => {
    const lines: ConfigBenchLine[] = [];
    const options = { shapes: [{ domains: 3, perDomain: 3 }], changes: 10, teams: 20 };
    for (const seed of [1, 1, 2, 3]) {
      await runConfigBench({ ...options, seed }, (line) => lines.push({ ...line, cpu_pct: 0 }));
    }
    lines.forEach((line) => expect(line).to.include({ reverted: 0, missing: 0, restarts: 10 }));
    expect(lines[0]).to.deep.equal(lines[1]);
    expect(lines[0]?.changes).to.be.above(5);
  });

  it('counts a return to a lower revision and reports a change that never came into force', () => {
    const record = createRecord();
    recordInForce(record, 'a', 2, 10);
    recordInForce(record, 'a', 1, 20);
    recordInForce(record, 'b', 2, 30);
    expect(record.reverts).to.deep.equal(['a']);
    expect(measureInForce(record, { revision: 2, at: 5 })).to.equal(25);
    expect(measureInForce(record, { revision: 3, at: 5 })).to.equal(null);
  });
});
