import { expect } from 'chai';
import { createBed } from '../PlacementBed.js';
import { createEngines, createManifest, createModel } from '../PlacementFixtures.js';

const SERVES = [{ model: 'writer', minTokensPerSecond: 1000, weight: 1 }];

describe('the stop of placement', () => {
  it('stops within two seconds while the store does not answer', async () => {
    // Guards against a stop that takes longer than its grace: the drain may use all of the grace, and the stop then
    // waits for calls that were under way when it gave up.
    const bed = createBed({
      engines: createEngines(4, ['medium']),
      manifest: createManifest({ models: [createModel('writer', 48)], serves: SERVES }),
      seed: 1,
    });
    bed.platform.setFaults({ outage: true });
    bed.start('a');
    await bed.run(100);
    let isDone = false;
    void bed
      .getRunner('a')
      .stop()
      .then(() => {
        isDone = true;
      });
    await bed.run(2100);
    expect(isDone).to.equal(true);
  });
});
