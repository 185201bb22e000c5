import { expect } from 'chai';
import { createDaemonMetrics } from '../../DaemonMetrics.js';

describe('DaemonMetrics', () => {
  it('shows what the instance knows before counters and the runtime’s own figures', async () => {
    // A collector kept the first 4 kB of each scrape. These were figures of the runtime alone, so nobody could see
    // which version of the configuration an instance had in force when it answered 404.
    const metrics = createDaemonMetrics();
    metrics.count('store_calls_done', 'calls');
    metrics.registerGauge('config_version', 'version', () => 31);
    const text = await metrics.write();
    const places = ['skylarksail_config_version 31', 'skylarksail_store_calls_done', 'process_cpu'];
    const found = places.map((place) => text.indexOf(place));
    expect(found.every((place) => place >= 0)).to.equal(true);
    expect(found).to.deep.equal([...found].sort((a, b) => a - b));
  });
});
