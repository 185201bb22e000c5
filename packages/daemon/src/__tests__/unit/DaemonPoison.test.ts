import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { RouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { createRouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { noteCrash } from '@skylarksail/requests/RequestPoison';
import { judgeRequest, PoisonVerdict } from '@skylarksail/requests/RequestPoisonVerdict';
import type { DaemonFleet } from '../../DaemonFleet.js';
import { startDaemonPoison } from '../../DaemonPoison.js';

type Handler = (request: unknown) => unknown;

/** Instances of two domains, each with the crashes that it knows. */
function startInstances(ids: readonly string[]) {
  const timers = createVirtualTimers();
  const members = ids.map((id) => ({ id, domain: id.slice(0, 1) }));
  const handlers = new Map<string, Handler>();
  const known = new Map<string, RouterCrashes>();
  for (const self of members) {
    const listeners: (() => void)[] = [];
    const crashes = createRouterCrashes(2, () => listeners.forEach((notify) => notify()));
    known.set(self.id, crashes);
    const router = {
      mergePoison: (digest: PoisonDigest) => crashes.merge(digest, timers.now()).length > 0,
      listObservedCrashes: (after: number) => crashes.listObserved(after, timers.now()),
      listRepeatedCrashes: (after: number) => crashes.listRepeated(after, timers.now()),
      registerCrashListener: (listener: () => void) => {
        listeners.push(listener);
        return () => undefined;
      },
    };
    const fleet = {
      membership: { getState: () => ({ self }), getLiveInstances: () => members },
      calls: {
        registerHandler: (_topic: unknown, handler: Handler) => {
          handlers.set(self.id, handler);
          return () => undefined;
        },
        call: (to: string, _topic: unknown, request: unknown) => {
          handlers.get(to)?.(request);
          return Promise.resolve({ ok: true, value: null });
        },
      },
    };
    startDaemonPoison({
      fleet: fleet as unknown as DaemonFleet,
      router: router as unknown as RequestRouter,
      timers,
    });
  }
  return { timers, known };
}

describe('DaemonPoison', () => {
  it('tells the instances of other domains of a request that crashes engines', async () => {
    // Guards against such a request that is sent again in another domain and costs engines there as well.
    const { timers, known } = startInstances(['a1', 'a2', 'b1', 'b2']);
    ['x', 'y'].forEach((engine) => {
      known.get('a1')?.note((state) => noteCrash(state, `${engine}@1`, 'p', timers.now()));
    });
    await timers.advanceToAsync(1000);
    const verdicts = [...known.values()].map((crashes) =>
      judgeRequest(crashes.getState(), 'p', timers.now()),
    );
    expect(new Set(verdicts)).to.deep.equal(new Set([PoisonVerdict.Condemned]));
  });
});
