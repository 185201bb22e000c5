import { expect } from 'chai';
import { isCrashLike, isEngineLost, isStageRefusal } from '../../RequestFailures.js';
import { FailurePlace } from '../../RequestPorts.js';

const STAGE_FAILURE = {
  place: FailurePlace.Stage,
  engine: 'engine-1',
  status: null,
  retryAfter: null,
  provenNotRun: false,
};

describe('RequestFailures', () => {
  // Guards against treating a refusing stage as lost, so that the only chain of a new version is avoided for seconds.
  it('distinguishes a stage that refused from one that was lost', () => {
    const refused = { ...STAGE_FAILURE, status: 409 };
    expect(isStageRefusal(refused)).to.equal(true);
    expect(isCrashLike(refused)).to.equal(false);
    expect(isStageRefusal(STAGE_FAILURE)).to.equal(false);
    expect(isCrashLike(STAGE_FAILURE)).to.equal(true);
    expect(isEngineLost(refused)).to.equal(true);
  });
});
