/** The manifest on this instance: its view in force, and the submission of new manifests by operators. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from '@skylarksail/manifest/ManifestCalls';
import { joinManifest } from '@skylarksail/manifest/ManifestChunks';
import { listInForce } from '@skylarksail/manifest/ManifestConfirm';
import type { DomainInForce } from '@skylarksail/manifest/ManifestConfirm';
import type { ManifestChange } from '@skylarksail/manifest/ManifestDiff';
import { diffManifests } from '@skylarksail/manifest/ManifestDiff';
import { collectGarbage } from '@skylarksail/manifest/ManifestGarbage';
import { readHistory } from '@skylarksail/manifest/ManifestReader';
import type { RevisionSummary } from '@skylarksail/manifest/ManifestRoot';
import type { ManifestRunner } from '@skylarksail/manifest/ManifestRunner';
import { startManifestRunner } from '@skylarksail/manifest/ManifestRunner';
import type { Manifest } from '@skylarksail/manifest/ManifestSchema';
import {
  MANIFEST_BUDGET_RATES,
  MANIFEST_CIRCUIT_SETTINGS,
  MANIFEST_CONCURRENT_CLIENTS,
} from '@skylarksail/manifest/ManifestRates';
import { getKnownBy } from '@skylarksail/manifest/ManifestSpread';
import { submitManifest } from '@skylarksail/manifest/ManifestStore';
import type { SubmitOutcome } from '@skylarksail/manifest/ManifestStore';
import type { ManifestView } from '@skylarksail/manifest/ManifestView';
import { createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import { StoreUse } from '@skylarksail/store/StoreBudget';
import { createStoreClient } from '@skylarksail/store/StoreClient';
import type { StorePort } from '@skylarksail/store/StorePort';
import { DaemonError } from './DaemonErrors.js';
import type { DaemonFleet } from './DaemonFleet.js';

const CALL_TIMEOUT: Millis = 2000;
/** The first manifest with 47,000 teams writes about 2,100 chunks, which takes most of a minute. */
const SUBMIT_DEADLINE: Millis = 60_000;
const READ_DEADLINE: Millis = 5000;
const HISTORY_LENGTH = 100;
const GARBAGE_PERIOD: Millis = 300_000;
const GARBAGE_DEADLINE: Millis = 30_000;
const MAX_GARBAGE_REMOVALS = 200;

/** Duty of removing chunks that no revision refers to any more. */
const GARBAGE_DUTY = 'manifest-garbage';

const MANIFEST_TOPIC = createNoticeTopic<unknown>('manifest');

export interface DaemonManifest {
  getView(): ManifestView | null;
  /** Source of the revision in force: the platform, the peers, or nothing yet. */
  getKnownBy(): string;
  submit(
    input: unknown,
    submissionId: string,
    expectedRevision: number | null,
  ): Promise<SubmitOutcome>;
  /** Returns the complete manifest in force, for operators; null if there is none yet. */
  readManifest(): { readonly revision: number; readonly manifest: Manifest } | null;
  diff(next: Manifest): readonly ManifestChange[];
  readHistory(): Promise<readonly RevisionSummary[]>;
  /** Returns the progress of a revision by domain as last reported, and queries the domains to refresh it. */
  queryInForce(revision: number): readonly DomainInForce[];
  registerListener(listener: (view: ManifestView) => void): Unregister;
  stop(): void;
}

export interface DaemonManifestOptions {
  readonly self: { readonly id: string; readonly domain: string };
  /** The store port without rate limits; the manifest's calls have limits of their own. */
  readonly port: StorePort;
  readonly fleet: DaemonFleet;
  readonly timers: TimerService;
  readonly random: Random;
}

export function startDaemonManifest(options: DaemonManifestOptions): DaemonManifest {
  const { self, fleet, timers, random } = options;
  // Rate limits of other uses are divided by the number of instances. Few instances make nearly all of the
  // manifest's calls, and one 680th of the rate would be too little for any of them to submit.
  const client = createStoreClient({
    port: options.port,
    timers,
    random,
    countInstances: () => MANIFEST_CONCURRENT_CLIENTS,
    rates: MANIFEST_BUDGET_RATES,
    circuit: MANIFEST_CIRCUIT_SETTINGS,
  });
  const platform = client.forUse(StoreUse.Manifest);
  const ctx: StoreContext = {
    platform,
    timers,
    random,
    callTimeout: CALL_TIMEOUT,
    pause: yieldToEventLoop,
  };
  const listeners = new Set<(view: ManifestView) => void>();

  const runner: ManifestRunner = startManifestRunner({
    self,
    members: listMembers(fleet),
    platform,
    timers,
    random,
    sendToPeer: (to, message) => {
      fleet.calls.notify(to, MANIFEST_TOPIC, message);
    },
    onInForce: (view) => listeners.forEach((listener) => listener(view)),
  });
  const undo = [
    fleet.calls.registerNotice(MANIFEST_TOPIC, (message, from) =>
      runner.receiveMessage(from, message),
    ),
    fleet.membership.registerListener(() => runner.changeMembers(listMembers(fleet))),
    timers.registerInterval(GARBAGE_PERIOD, () => {
      if (fleet.duties.isOwn(GARBAGE_DUTY)) {
        void removeGarbage();
      }
    }),
  ];

  function removeGarbage(): Promise<unknown> {
    const housekeeping = client.forUse(StoreUse.Housekeeping);
    return collectGarbage(
      { ...ctx, platform: housekeeping },
      { deadline: timers.now() + GARBAGE_DEADLINE, maxRemovals: MAX_GARBAGE_REMOVALS },
    );
  }

  function readWhole(): ReturnType<DaemonManifest['readManifest']> {
    const held = runner.getState().inForce;
    return (
      held && {
        revision: held.root.revision,
        manifest: joinManifest(held.tree, (ref) => held.chunks.get(ref)),
      }
    );
  }

  return {
    getView: runner.getView,
    getKnownBy: () => getKnownBy(runner.getState()),
    submit: (input, submissionId, expectedRevision) =>
      submitManifest(ctx, input, {
        submissionId,
        expectedRevision,
        deadline: timers.now() + SUBMIT_DEADLINE,
        onAccepted: runner.learnAccepted,
      }),
    readManifest: readWhole,
    diff: (next) => {
      const current = readWhole();
      return current ? diffManifests(current.manifest, next) : [];
    },
    async readHistory() {
      const root = runner.getState().inForce?.root;
      if (!root) {
        return [];
      }
      const deadline = timers.now() + READ_DEADLINE;
      const history = await readHistory(ctx, deadline, root, HISTORY_LENGTH);
      if (!history.ok) {
        throw new DaemonError(`the history cannot be read: ${history.error.kind}`);
      }
      return history.value;
    },
    queryInForce(revision) {
      runner.queryInForce(revision);
      return listInForce(runner.getState(), revision, timers.now());
    },
    registerListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    stop() {
      undo.forEach((stop) => stop());
      runner.stop();
    },
  };
}

function listMembers(
  fleet: DaemonFleet,
): readonly { readonly id: string; readonly domain: string }[] {
  return fleet.membership.getLiveInstances().map(({ id, domain }) => ({ id, domain }));
}

/** Large manifests are processed in slices, so that tokens of running answers are not delayed. */
function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Duties of the manifest that must be assigned to an instance. */
export const MANIFEST_DUTIES: readonly string[] = [GARBAGE_DUTY];
