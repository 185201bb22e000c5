import { expect } from 'chai';
import { runRecoveryBench } from '../../RecoveryBench.js';
import { RECOVERY_FAULTS } from '../../RecoveryFaults.js';
import { createRouterInstance } from '../../RecoveryInstance.js';
import type { RecoveryInstance } from '../../RecoveryTypes.js';
import { createRecoveryWorld } from '../../RecoveryWorld.js';
import { createBenchShapes } from '../../ThroughputShapes.js';

const RATE = 25;
const BORROWING_RATE = 87;

function createWorld(
  wrap: (instance: RecoveryInstance) => RecoveryInstance,
  load: { requestsPerSecond?: number; firstDomainShare?: number } = {},
) {
  const [shape] = createBenchShapes();
  if (!shape) {
    throw new Error('the bench has no shape');
  }
  return createRecoveryWorld({
    seed: 5,
    shape,
    requestsPerSecond: RATE,
    createInstance: (options) => wrap(createRouterInstance(options)),
    onMetric: () => undefined,
    ...load,
  });
}

describe('RecoveryBench', () => {
  it('recovers a crashed stage sooner than the baseline, with equal results for equal seeds', async () => {
    const options = { seed: 1, faults: ['stage-crash'], load: 0.3 };
    const [line] = await runRecoveryBench(options);
    expect([line?.lost, line?.doubled, line?.cut_off]).to.deep.equal([0, 0, 0]);
    expect(line?.struck).to.be.above(0);
    expect(line?.p99_ms).to.be.below((line?.baseline_p99_ms ?? 0) / 4);
    expect(await runRecoveryBench(options)).to.deep.equal([line]);
  });

  it('neither loses, duplicates nor truncates an answer when faults overlap', async () => {
    // Guards against a recovery that survives each fault alone but relies on what another fault takes
    // away: a stage hangs while the platform is out; half a second later an instance and a rack crash.
    const world = createWorld((instance) => instance);
    await world.advanceTo(4000);
    const names = ['stage-hang', 'platform-outage', 'instance-crash', 'rack-crash'];
    const clearFaults: (() => void)[] = [];
    for (const name of names) {
      const inject = RECOVERY_FAULTS[name];
      clearFaults.push(inject ? inject(world).clear : () => undefined);
      await world.advanceTo(world.timers.now() + 250);
    }
    await world.advanceTo(9000);
    clearFaults.forEach((clear) => clear());
    await world.advanceTo(16_000);
    expect(world.tallies).to.deep.equal({ lost: 0, doubled: 0, cutOff: 0 });
    const answered = world.traces.filter((trace) => trace.endedAt !== null && !trace.problem);
    expect(answered.length).to.be.above(200);
  });

  it('increases the load on other domains step by step after a partition heals', async () => {
    // Guards against domains that stall after a partition. The first domain needs engines of the others, so
    // its requests queue during the partition. When it heals, load reports show all its instances at the same
    // time that the other domains are idle, and all use their full shares of the other domains at once.
    const load = { requestsPerSecond: BORROWING_RATE, firstDomainShare: 0.9 };
    const world = createWorld((instance) => instance, load);
    const countBorrowed = () =>
      world.traces.filter(
        ({ instance, engines, endedAt }) =>
          endedAt === null &&
          engines[0] !== undefined &&
          !engines[0].startsWith(world.instances[instance]?.domain ?? ''),
      ).length;
    await world.advanceTo(7000);
    const before = countBorrowed();
    const partition = RECOVERY_FAULTS['domain-cut']?.(world);
    await world.advanceTo(12_000);
    partition?.clear();
    await world.advanceTo(16_000);
    expect(before).to.be.above(20);
    expect(countBorrowed()).to.be.below(before / 2);
    expect(world.tallies).to.deep.equal({ lost: 0, doubled: 0, cutOff: 0 });
  });

  it('detects a duplicated token and a missing token', async () => {
    const world = createWorld((instance) => ({
      ...instance,
      submit: (spec, sink) =>
        instance.submit(spec, {
          ...sink,
          onToken(index, token) {
            if (spec.id === 'r1' && index === 2) {
              sink.onToken(index, token);
            }
            if (spec.id !== 'r2' || index !== 3) {
              sink.onToken(index, token);
            }
          },
        }),
    }));
    await world.advanceTo(9000);
    expect(world.tallies.cutOff).to.be.above(1);
  });
});
