import { expect } from 'chai';
import { createDaemonMetrics } from '../../DaemonMetrics.js';

describe('DaemonMetrics', () => {
  it('exposes the gauges of the instance before counters and runtime metrics', async () => {
    // A collector that keeps only the first 4 kB of each scrape would see runtime metrics alone, and not which
    // configuration version is in force on an instance that answers 404.
    const metrics = createDaemonMetrics();
    metrics.count('store_calls_done', 'calls');
    metrics.registerGauge('config_version', 'version', () => 31);
    const text = await metrics.write();
    const markers = [
      'skylarksail_config_version 31',
      'skylarksail_store_calls_done',
      'process_cpu',
    ];
    const positions = markers.map((marker) => text.indexOf(marker));
    expect(positions.every((position) => position >= 0)).to.equal(true);
    expect(positions).to.deep.equal([...positions].sort((a, b) => a - b));
  });
});
