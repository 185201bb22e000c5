import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRetryShare } from '../../RelayRetryShare.js';
import type { InstanceEntry } from '../../RelayTypes.js';

const WINDOW = 10_000;
const SLACK = 180;
const DOMAINS = ['d1', 'd2', 'd3'];
const GRACE = 8000;

describe('RelayRetryShare', () => {
  it('keeps the fleet within its slack during a rolling restart', () => {
    // Guards against exceeding the limit (314 retries in ten seconds where 309 are allowed). The instances of a domain
    // stop one after another, each serving for its grace period, and start again, and all use their full share. The
    // limit is exceeded if the others take over the share that a stopped instance already used, or a new process gets a
    // new share.
    const timers = createVirtualTimers();
    const listed = new Map<string, InstanceEntry>();
    const used: number[] = [];
    const running = new Map<string, () => void>();

    function start(id: string): void {
      const self = { id, domain: 'd1', address: null };
      listed.set(id, self);
      const share = createRetryShare({
        timers,
        self,
        slack: SLACK,
        window: WINDOW,
        domains: DOMAINS,
        listInstances: () => [...listed.values()],
      });
      const own: number[] = [];
      running.set(id, () => {
        share.observe();
        const now = timers.now();
        while (own.filter((at) => at > now - WINDOW).length + 1 <= share.getBurst()) {
          own.push(now);
          used.push(now);
        }
      });
    }

    ['a', 'b', 'c'].forEach(start);
    for (let step = 1; step <= 600; step++) {
      timers.advanceTo(step * 100);
      const second = step / 10;
      ['a', 'b', 'c'].forEach((id, i) => {
        const stopAt = 22 + 1.4 * i;
        if (second === stopAt) {
          listed.delete(id);
        } else if (second === stopAt + GRACE / 1000) {
          running.delete(id);
          start(`${id}-next`);
        }
      });
      running.forEach((use) => use());
    }
    used.forEach((from) => {
      const inWindow = used.filter((at) => at >= from && at < from + WINDOW).length;
      expect(inWindow).to.be.at.most(SLACK / DOMAINS.length);
    });
    expect(used.length).to.be.greaterThan(SLACK / DOMAINS.length);
  });

  it('keeps the share of a domain that is partitioned from the others', () => {
    const timers = createVirtualTimers();
    const self = { id: 'one', domain: 'd1', address: null };
    const share = createRetryShare({
      timers,
      self,
      slack: SLACK,
      window: WINDOW,
      domains: DOMAINS,
      listInstances: () => [self],
    });
    timers.advanceTo(WINDOW + 1);
    share.observe();
    expect(share.getBurst()).to.equal(SLACK / 3);
  });
});
