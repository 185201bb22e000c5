import { expect } from 'chai';
import { createProgressTracker } from '../../RequestProgress.js';

describe('RequestProgress', () => {
  it('keeps few lost engines on an instance that gets no requests', () => {
    // Guards against memory that grows with each engine that other instances report as lost under a new id.
    const progress = createProgressTracker();
    for (let i = 0; i < 1000; i++) {
      progress.noteLost(`e${i}`, false, i * 1000);
    }
    expect(progress.countLost()).to.be.at.most(3);
    expect(progress.listDown(999_500).silent).to.include('e999');
  });

  it('keeps an engine that is reported again for as long as it is lost', () => {
    // Guards against requests to a lost engine, because a later report of it was dropped with the first.
    const progress = createProgressTracker();
    progress.noteLost('e', false, 0);
    progress.noteLost('other', false, 500);
    progress.noteLost('e', true, 1500);
    progress.noteLost('third', false, 2600);
    expect(progress.listDown(3000)).to.deep.equal({ dead: ['e'], silent: ['third'] });
  });
});
