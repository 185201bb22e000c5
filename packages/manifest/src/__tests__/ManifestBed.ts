/** Test bed for end-to-end tests: a fleet, submitters and a fake platform in virtual time. */
import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { FakeStore } from '@skylarksail/store/FakeStore';
import { createFakeStore } from '@skylarksail/store/FakeStore';
import type { FakeFleet } from '../FakeFleet.js';
import { createFakeFleet, createFleetMembers } from '../FakeFleet.js';
import type { StoreContext } from '../ManifestCalls.js';
import type { SubmitOutcome } from '../ManifestStore.js';
import { submitManifest } from '../ManifestStore.js';
import { createManifest } from './ManifestFixtures.js';

export const DEADLINE: Millis = 10_000;

export interface Bed {
  readonly timers: VirtualTimers;
  readonly platform: FakeStore;
  readonly fleet: FakeFleet;
  /** Revisions that each instance put into force, in order, across restarts of its process. */
  readonly applied: Map<InstanceId, number[]>;
  connect(client: string): StoreContext;
  pass(time: Millis): Promise<void>;
  /** Advances virtual time far enough for the work to complete, and awaits it. */
  run<T>(work: Promise<T>): Promise<T>;
  submit(
    client: string,
    submissionId: string,
    expectedRevision: number | null,
    teamCount: number,
  ): Promise<SubmitOutcome>;
  /** Submits a manifest and expects it to be accepted; `teamCount` distinguishes the revisions. */
  accept(teamCount: number): Promise<void>;
  getRevisions(): readonly (number | null)[];
}

/** Creates a test bed of `domains` domains with `perDomain` instances each; none is started. */
export function createBed(seed = 5, domains = 2, perDomain = 3): Bed {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const platform = createFakeStore({ timers, random });
  const applied = new Map<InstanceId, number[]>();
  const members = createFleetMembers(domains, perDomain);
  const fleet = createFakeFleet({
    timers,
    random,
    platform,
    members,
    onInForce: (id, revision) => applied.set(id, [...(applied.get(id) ?? []), revision]),
  });
  const connect = (client: string): StoreContext => ({
    platform: platform.connect(client),
    timers,
    random,
    callTimeout: 500,
  });
  const pass = (time: Millis): Promise<void> => timers.advanceToAsync(timers.now() + time);
  const submit: Bed['submit'] = (client, submissionId, expectedRevision, teamCount) =>
    submitManifest(connect(client), createManifest(teamCount), {
      submissionId,
      expectedRevision,
      deadline: timers.now() + DEADLINE,
    });
  return {
    timers,
    platform,
    fleet,
    applied,
    connect,
    pass,
    submit,
    async run(work) {
      await pass(3 * DEADLINE);
      return work;
    },
    async accept(teamCount) {
      const work = submit('pipeline', `teams-${teamCount}`, null, teamCount);
      await pass(DEADLINE / 20);
      expect((await work).kind).to.equal('accepted');
    },
    getRevisions: () => members.map(({ id }) => fleet.getRevision(id)),
  };
}

/** Fails if any instance put a lower revision into force after a higher one. */
export function expectNoRevert(bed: Bed): void {
  bed.applied.forEach((revisions, id) => {
    expect(revisions, id).to.deep.equal([...revisions].sort((a, b) => a - b));
  });
}
