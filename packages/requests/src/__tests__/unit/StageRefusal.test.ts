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
  // Symptom: for seconds after a change of version every request was refused as "no capacity".
  // Sequence: an engine loads v2; an instance that has not heard of it sends it a v1 request as the
  // second stage; it answers 409; the only chain of v2 needs that engine.
  // Cause: a refusal passed on by the stage before was taken for the engine's death.
  it('tells a stage that refused from one that died', () => {
    const refused = { ...STAGE_FAILURE, status: 409 };
    expect(isStageRefusal(refused)).to.equal(true);
    expect(isCrashLike(refused)).to.equal(false);
    expect(isStageRefusal(STAGE_FAILURE)).to.equal(false);
    expect(isCrashLike(STAGE_FAILURE)).to.equal(true);
    expect(isEngineLost(refused)).to.equal(true);
  });
});
