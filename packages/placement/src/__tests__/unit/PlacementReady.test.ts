import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { PlacementRunnerDeps } from '../../PlacementRunner.js';
import { OrderReadiness } from '../../PlacementTypes.js';
import { createBed, type Bed } from '../PlacementBed.js';
import { createEngines, createManifest, createModel } from '../PlacementFixtures.js';

const SERVES = [{ model: 'writer', minTokensPerSecond: 1000, weight: 1 }];

function createPlacementBed(): Bed {
  return createBed({
    engines: createEngines(4, ['medium']),
    manifest: createManifest({ models: [createModel('writer', 48)], serves: SERVES }),
    seed: 1,
  });
}

/** Places engines, and counts how often an engine is to be made ready for an order. */
async function countReadied(
  duration: Millis,
  deps: Partial<PlacementRunnerDeps>,
  prepare: (bed: Bed) => void = () => undefined,
): Promise<number> {
  const bed = createPlacementBed();
  let readied = 0;
  prepare(bed);
  bed.start('a', {
    prepareOrder() {
      readied += 1;
      return OrderReadiness.Ready;
    },
    ...deps,
  });
  await bed.run(duration);
  return readied;
}

describe('the readiness of engines', () => {
  it('is asked for when an order may go out, and not while an engine that refused is left alone', async () => {
    // Guards against engines that get no requests for minutes because of an order that isn't sent.
    const refuseAll = (bed: Bed): void => {
      ['e000', 'e001', 'e002', 'e003'].forEach((engine) =>
        bed.setFaults(engine, { refuses: true }),
      );
    };
    const readied = await countReadied(9000, {}, refuseAll);
    expect(readied).to.be.within(1, 4);
  });

  it('is not asked for while the weight store has no rate left', async () => {
    // Guards against engines that get no requests while they wait for their turn to load.
    const weights = { bytesPerSecond: 1, burst: 1000 };
    const [spent, left] = await Promise.all([
      countReadied(9000, { weights }),
      countReadied(9000, {}),
    ]);
    expect(left).to.be.above(0);
    expect(spent).to.be.at.most(4);
  });

  it('closes only as many engines as the weight store lets load', async () => {
    // Guards against engines that are closed to requests all at once though they load one after the other.
    const bed = createPlacementBed();
    const mayClose: boolean[] = [];
    bed.start('a', {
      weights: { bytesPerSecond: 1e9, burst: 1000 },
      prepareOrder(_move, isAllowed) {
        mayClose.push(isAllowed);
        return OrderReadiness.Closing;
      },
    });
    await bed.run(5000);
    const perTick = mayClose.filter((_allowed, i) => i >= mayClose.length - 4);
    expect(perTick).to.deep.equal([true, false, false, false]);
  });
});
