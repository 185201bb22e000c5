import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { hasRetry, noteFirstAttempt, takeRetry } from '../../RequestBudget.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import { createRouterBudgets } from '../../RouterBudgets.js';

const cfg = { ...DEFAULT_ROUTER_CONFIG, retryShare: 0, retryBurst: 2, retryWindow: 10_000 };

describe('RouterBudgets', () => {
  it('keeps few budgets, however many services are called under new names', () => {
    // Guards against memory that grows with each service that was ever configured.
    const timers = createVirtualTimers();
    const budgets = createRouterBudgets({ cfg, timers });
    for (let i = 0; i < 1000; i++) {
      timers.advanceTo(i * 1000);
      budgets.set(`s${i}`, noteFirstAttempt(budgets.get(`s${i}`), timers.now()));
    }
    expect(budgets.count()).to.be.at.most(12);
  });

  it('keeps a budget until its retries no longer count', () => {
    // Guards against more retries than the window allows, because a spent budget was dropped and begun anew.
    const timers = createVirtualTimers();
    const budgets = createRouterBudgets({ cfg, timers });
    [0, 0].forEach(() => budgets.set('a', takeRetry(budgets.get('a'), 0) ?? budgets.get('a')));
    const allowedAt: number[] = [];
    for (let at = 0; at <= 12_000; at += 100) {
      timers.advanceTo(at);
      budgets.set(`other-${at}`, noteFirstAttempt(budgets.get(`other-${at}`), at));
      if (hasRetry(budgets.get('a'), at)) {
        allowedAt.push(at);
      }
    }
    expect(allowedAt[0]).to.be.within(10_000, 10_500);
  });

  it('keeps a budget for its whole window after retries at the end of a time slice', () => {
    // Guards against more retries than the window allows, because a budget was dropped one slice too early.
    const timers = createVirtualTimers();
    const budgets = createRouterBudgets({ cfg, timers });
    const takenAt = 499;
    timers.advanceTo(takenAt);
    [0, 0].forEach(() => {
      budgets.set('a', takeRetry(budgets.get('a'), takenAt) ?? budgets.get('a'));
    });
    for (let at = 500; at < takenAt + cfg.retryWindow; at += 50) {
      timers.advanceTo(at);
      budgets.set(`other-${at}`, noteFirstAttempt(budgets.get(`other-${at}`), at));
      expect(hasRetry(budgets.get('a'), at), `at ${at}`).to.equal(false);
    }
  });
});
