import { expect } from 'chai';
import type { PrefillPolicy, Sample } from './RoutingPrefillBed.js';
import { runPrefillLoad, summarizeSamples, POLICIES } from './RoutingPrefillBed.js';

const LOAD = { requestsPerSecond: 90, duration: 20_000, seed: 1 };

describe('RoutingPrefillLoad', function runLoads() {
  this.timeout(60_000);

  [12, 20].forEach((instances) => {
    it(`serves short prompts in time without delaying long ones, with ${instances} instances in a domain`, () => {
      // Guards against short prompts that miss their target behind long ones while prompts arrive faster than engines prefill them.
      const [before, after] = [POLICIES.before, POLICIES.chosen].map((policy) =>
        summarizeSamples(runPrefillLoad(policy, { ...LOAD, instances })),
      );
      const lateBefore = 1 - (before?.[0]?.onTime ?? NaN);
      const lateAfter = 1 - (after?.[0]?.onTime ?? NaN);
      expect(lateBefore).to.be.greaterThan(0.05);
      expect(lateAfter).to.be.lessThan(lateBefore / 4);
      expect(after?.[1]?.onTime).to.be.at.least(before?.[1]?.onTime ?? NaN);
      expect(after?.[2]?.onTime).to.be.at.least((before?.[2]?.onTime ?? NaN) - 0.03);
    });
  });

  it('sends fewer prompts to an engine that stops its prefill, and delays no others', () => {
    // Guards against an engine whose queue is estimated as prefilled while nothing leaves it. Health finds it later.
    const stops = { engine: 'f0-0', at: 10_000 };
    const run = (policy: PrefillPolicy, isStopping: boolean): readonly Sample[] =>
      [1, 2].flatMap((seed) =>
        runPrefillLoad(policy, {
          ...LOAD,
          ...(isStopping ? { stops } : {}),
          seed,
          instances: 20,
          requestsPerSecond: 60,
        }).filter(({ sentAt }) => sentAt >= 11_000 && sentAt < 18_000),
      );
    const whole = run(POLICIES.before, false);
    const [lostBefore, lostAfter] = [POLICIES.before, POLICIES.chosen].map(
      (policy) => whole.length - run(policy, true).length,
    );
    expect(lostAfter).to.be.lessThan(0.8 * (lostBefore ?? NaN));
    const short = summarizeSamples(run(POLICIES.chosen, true))[0];
    expect(short?.onTime).to.be.greaterThan(0.98);
  });
});
