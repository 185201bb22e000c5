import { expect } from 'chai';
import { isMemoryBound } from '../../RelayFacts.js';
import { createRelaySharing } from '../../RelaySharing.js';
import type { MemorySharingName } from '../../RelayTuning.js';
import { MemorySharing } from '../../RelayTuning.js';
import { PIPELINE } from './RelayFixtures.js';

const BATCH_OF_MOST_WEIGHTS = {
  ...PIPELINE,
  layers: 80,
  layerBytes: 1_750_000_000,
  slots: 134,
  usualPromptTokens: 775,
  usualAnswerTokens: 222,
};
const SHORT = { ...BATCH_OF_MOST_WEIGHTS, kvTokenBytes: 845_373 };
const AMPLE = { ...BATCH_OF_MOST_WEIGHTS, kvTokenBytes: 563_104 };

function createBed(setting: MemorySharingName) {
  const fleet = { size: 0 };
  let begun = 0;
  const sharing = createRelaySharing({
    setting,
    countInstances: () => fleet.size,
    onBegin: () => {
      begun += 1;
    },
  });
  return {
    countBegun: () => begun,
    /** Whether memory is shared at a size of the fleet, where it is short and where it is ample. */
    read(size: number): readonly boolean[] {
      fleet.size = size;
      sharing.refresh();
      return [SHORT, AMPLE].map(sharing.isShared);
    },
  };
}

describe('RelayFacts', () => {
  it('says that memory limits engines only if a full batch needs most of the memory of the weights', () => {
    expect([SHORT, AMPLE].map(isMemoryBound)).to.deep.equal([true, false]);
  });
});

describe('RelaySharing', () => {
  it('shares memory by itself only where it is short, in fleets that exchange reports', () => {
    // Guards against deployments with enough memory, or with few instances, being served in another way than before.
    const bed = createBed(MemorySharing.Auto);
    expect(bed.read(10)).to.deep.equal([false, false]);
    expect(bed.read(11)).to.deep.equal([true, false]);
    // Guards against a new layout of all domains when most instances are lost.
    expect(bed.read(3)).to.deep.equal([true, false]);
    expect(bed.countBegun()).to.equal(1);
  });

  it('does as the setting says, whatever the fleet', () => {
    expect(createBed(MemorySharing.Off).read(60)).to.deep.equal([false, false]);
    expect(createBed(MemorySharing.On).read(1)).to.deep.equal([true, true]);
  });
});
