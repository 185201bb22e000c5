import { expect } from 'chai';
import fc from 'fast-check';
import type { RetryBudget } from '../../RequestBudget.js';
import {
  createRetryBudget,
  hasRetry,
  noteFirstAttempt,
  refundRetry,
  setBurst,
  takeRetry,
} from '../../RequestBudget.js';

const WINDOW = 10_000;

describe('RequestBudget', () => {
  it('limits retries to share and burst in any window of ten seconds', () => {
    // Guards against a budget that refills by itself, or counts first attempts of an earlier window.
    const steps = fc.array(
      fc.record({ wait: fc.integer({ min: 0, max: 3000 }), isRetry: fc.boolean() }),
      { maxLength: 300 },
    );
    fc.assert(
      fc.property(steps, (list) => {
        let budget: RetryBudget = createRetryBudget({ share: 0.2, burst: 5, window: WINDOW });
        let now = 0;
        const firstAttempts: number[] = [];
        const retries: number[] = [];
        for (const { wait, isRetry } of list) {
          now += wait;
          const taken = isRetry ? takeRetry(budget, now) : null;
          if (taken) {
            retries.push(now);
            budget = taken;
          } else if (!isRetry) {
            firstAttempts.push(now);
            budget = noteFirstAttempt(budget, now);
          }
        }
        for (const start of retries) {
          const isIn = (at: number): boolean => at >= start && at < start + WINDOW;
          const allowed =
            5 +
            0.2 * firstAttempts.filter((at) => at < start + WINDOW && at >= start - WINDOW).length;
          expect(retries.filter(isIn).length).to.be.at.most(allowed);
        }
      }),
    );
  });

  it('refunds retries that reached no engine, and applies a changed burst', () => {
    let budget = createRetryBudget({ share: 0, burst: 1, window: WINDOW });
    budget = takeRetry(budget, 0) ?? budget;
    expect(hasRetry(budget, 0)).to.equal(false);
    expect(hasRetry(refundRetry(budget, 0), 0)).to.equal(true);
    expect(hasRetry(setBurst(budget, 2), 0)).to.equal(true);
    expect(hasRetry(budget, WINDOW + 1000)).to.equal(true);
  });

  it('renews the burst only once per window', () => {
    // Guards against renewing the burst more often than the configured window allows.
    const countRetries = (window: number): number => {
      let budget = createRetryBudget({ share: 0, burst: 5, window });
      let retries = 0;
      for (let now = 0; now < 60_000; now += 100) {
        const taken = takeRetry(budget, now);
        retries += taken ? 1 : 0;
        budget = taken ?? budget;
      }
      return retries;
    };
    expect(countRetries(60_000)).to.equal(5);
    expect(countRetries(10_000)).to.be.within(25, 30);
  });
});
