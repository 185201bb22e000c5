import { expect } from 'chai';
import { chooseStopped } from '../../SoakLeaseChoice.js';

const NOW = 10_000;
const PLANNED = {
  at: 0,
  target: 0,
  isYoung: false,
  mayBeStarting: false,
  overlaps: false,
  restartDelay: 0,
};
const old = { id: 'old', domain: 'd1', startedAt: 0, firstCallAt: 500 };
const young = { id: 'young', domain: 'd1', startedAt: 8000, firstCallAt: 8500 };
const starting = { id: 'starting', domain: 'd1', startedAt: 9900, firstCallAt: null };
const alone = { id: 'alone', domain: 'd2', startedAt: 0, firstCallAt: 500 };

describe('chooseStopped', () => {
  it('leaves each domain an instance that can take over', () => {
    // Guards against gaps without a placing instance that the soak itself causes.
    expect(chooseStopped([old, young], PLANNED, NOW)?.id).to.equal('young');
    expect(chooseStopped([old, alone], PLANNED, NOW)).to.equal(null);
    expect(chooseStopped([], PLANNED, NOW)).to.equal(null);
  });

  it('prefers young instances if so planned, and takes starting ones only if permitted', () => {
    const able = { ...old, id: 'able' };
    const running = [old, able, young, starting];
    expect(chooseStopped(running, PLANNED, NOW)?.id).to.equal('old');
    expect(chooseStopped(running, { ...PLANNED, isYoung: true }, NOW)?.id).to.equal('young');
    const last = { ...PLANNED, target: 3 };
    expect(chooseStopped(running, last, NOW)?.id).to.equal('old');
    expect(chooseStopped(running, { ...last, mayBeStarting: true }, NOW)?.id).to.equal('starting');
  });
});
