import { expect } from 'chai';
import { isMemoryBound, isMemoryShared } from '../../RelayFacts.js';
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

describe('RelayFacts', () => {
  it('shares memory by itself only where it limits engines before their slots do', () => {
    // Guards against deployments whose engines have enough memory being served in another way than before.
    const short = { ...BATCH_OF_MOST_WEIGHTS, kvTokenBytes: 845_373 };
    const ample = { ...BATCH_OF_MOST_WEIGHTS, kvTokenBytes: 563_104 };
    expect([short, ample].map(isMemoryBound)).to.deep.equal([true, false]);
    expect(isMemoryShared(MemorySharing.Auto, short)).to.equal(true);
    expect(isMemoryShared(MemorySharing.Off, short)).to.equal(false);
    expect(isMemoryShared(MemorySharing.On, ample)).to.equal(true);
  });
});
