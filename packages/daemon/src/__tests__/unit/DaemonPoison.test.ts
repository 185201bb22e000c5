import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { ManifestTeam } from '@skylarksail/manifest/ManifestSchema';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import { judgeParts } from '@skylarksail/requests/RequestPartVerdict';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import { createSuspects } from '@skylarksail/requests/RequestSuspects';
import type { RequestSink, RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { RouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { createRouterCrashes } from '@skylarksail/requests/RouterCrashes';
import { noteCrash } from '@skylarksail/requests/RequestPoison';
import { judgeRequest, PoisonVerdict } from '@skylarksail/requests/RequestPoisonVerdict';
import { createCallerGateway } from '../../DaemonCallerGateway.js';
import type { DaemonFleet } from '../../DaemonFleet.js';
import type { CallerGateway } from '../../DaemonGateway.js';
import type { DaemonManifest } from '../../DaemonManifest.js';
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

  it('tells the instances of other domains of a part of unlike prompts that crashes engines', async () => {
    // Guards against reports whose parts are dropped on the way, so that each domain finds out with engines of its own.
    const { timers, known } = startInstances(['a1', 'a2', 'b1', 'b2']);
    const name = (i: number) =>
      createSuspects(`r${i}`, { team: 't', model: 'm', partIds: ['bad'] }).parts;
    for (const i of [0, 1, 2]) {
      const parts = name(i).map(({ suspect }) => suspect);
      known.get('a1')?.note((state) => noteCrash(state, `x${i}@1`, `r${i}`, timers.now(), parts));
      await timers.advanceToAsync(timers.now() + 1000);
    }
    await timers.advanceToAsync(timers.now() + 1000);
    const asked = { parts: name(9), now: timers.now(), wasSound: () => false };
    const verdicts = [...known.values()].flatMap((crashes) =>
      judgeParts(crashes.getState(), asked).map(({ verdict }) => verdict),
    );
    expect(verdicts).to.deep.equal(Array.from(known, () => PoisonVerdict.Condemned));
  });

  it('knows the beginnings that unlike prompts share', () => {
    // Guards against prompts without named parts, whose crashes no two requests would have in common.
    const submitted: RequestSpec[] = [];
    const model = { id: 'm', adapters: [], serve: '1', layers: 8, maxContextTokens: 100 };
    const gateway = createCallerGateway({
      timers: createVirtualTimers(),
      wallNow: () => 0,
      manifest: { getView: () => ({ getModel: () => model }) } as unknown as DaemonManifest,
      router: {
        submit: (spec: RequestSpec) => submitted.push(spec),
      } as unknown as RequestRouter,
      isAccepting: () => true,
      reportError: () => undefined,
    });
    const team = { id: 't', models: ['m'] } as unknown as ManifestTeam;
    const options = { priority: 'normal', timeLeft: 1000, idempotencyKey: null } as const;
    for (const end of ['one', 'two']) {
      const prompt = `${'template '.repeat(200)}${end.repeat(500)}`;
      const ask = { model: 'm', adapter: null, prompt, maxTokens: 10 };
      gateway.submitCompletion(
        end,
        team,
        ask as Parameters<CallerGateway['submitCompletion']>[2],
        options,
        {} as RequestSink,
      );
    }
    const [one = [], two = []] = submitted.map(({ sharedParts }) => sharedParts);
    expect(one[0]).to.equal(two[0]);
    expect(one.at(-1)).to.not.equal(two.at(-1));
  });
});
