import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceRecord } from '@skylarksail/store/StorePort';
import type { EngineDirectoryOptions } from '../../DaemonEngines.js';
import { createEngineDirectory } from '../../DaemonEngines.js';

const DURATION: Millis = 30_000;
/** Age at which routing takes an engine for gone. */
const SILENT_AGE: Millis = 5000;

/** Runs the directory of an instance that polls no engine by duty and hears of none from its peers. */
async function observeReports(
  count: number,
  isAnswering: boolean,
): Promise<{ readonly polls: number; readonly oldest: Millis }> {
  const timers = createVirtualTimers();
  const undo = (): void => undefined;
  const fleet = {
    calls: { notify: undo, registerHandler: () => undo, registerNotice: () => undo },
    duties: { isOwn: () => false, setDuties: undo },
    membership: { registerTopic: () => undo, getLiveInstances: () => [] },
    listOwnDomain: () => [],
  };
  let polls = 0;
  const directory = createEngineDirectory({
    domain: 'a',
    timers,
    random: createRandom(1),
    fleet,
    otherDuties: [],
    fetchStatus: ({ port }: { readonly port: number }) => {
      polls += 1;
      const id = `engine-${port}`;
      const isKnown = directory.findReport(id) !== null;
      return Promise.resolve(
        isAnswering || !isKnown ? { load: { engine: id }, facts: { id } } : null,
      );
    },
  } as unknown as EngineDirectoryOptions);
  const ids: readonly EngineId[] = Array.from({ length: count }, (_, i) => `engine-${i}`);
  directory.setRecords(
    ids.map((id, port): InstanceRecord => {
      const address = { host: '127.0.0.1', port };
      return { id, role: 'engine', domain: 'a', rack: id, address, peerPort: 0, state: 'live' };
    }),
  );
  const stop = directory.start();
  let oldest = 0;
  while (timers.now() < DURATION) {
    await timers.advanceToAsync(timers.now() + 100);
    const ages = ids.map((id) => timers.now() - (directory.findReport(id)?.seenAt ?? 0));
    oldest = Math.max(oldest, ...ages);
  }
  stop();
  return { polls, oldest };
}

describe('DaemonEngines', () => {
  it('polls an engine itself before it takes it for gone, if no report of it comes', async () => {
    // Guards against 503 not-run while all engines are well, but the instance that polls them is slow or its reports lost.
    const { oldest, polls } = await observeReports(4, true);
    expect(oldest).to.be.below(SILENT_AGE);
    expect(polls).to.be.at.most((4 * DURATION) / 4000 + 4);
  });

  it('polls a bounded number of engines that do not answer', async () => {
    // Guards against instances that all poll the engines of a lost rack again and again.
    const { polls } = await observeReports(100, false);
    expect(polls - 100).to.be.within(1, (DURATION / 500) * 2);
  });
});
