/** The manifest on this instance: the revision in force, and the way to submit another. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from '@skylarksail/manifest/ManifestCalls';
import { joinManifest } from '@skylarksail/manifest/ManifestChunks';
import { loadManifest, readRoot } from '@skylarksail/manifest/ManifestReader';
import type { Manifest, ManifestTeam } from '@skylarksail/manifest/ManifestSchema';
import { submitManifest } from '@skylarksail/manifest/ManifestStore';
import type { SubmitOutcome } from '@skylarksail/manifest/ManifestStore';

const POLL_PERIOD: Millis = 1000;
const READ_DEADLINE: Millis = 5000;
const SUBMIT_DEADLINE: Millis = 10_000;

/** A revision in force, with what is looked up for each request. */
export interface ManifestInForce {
  readonly revision: number;
  readonly manifest: Manifest;
  readonly teamsByKeyHash: ReadonlyMap<string, ManifestTeam>;
}

export interface DaemonManifest {
  getInForce(): ManifestInForce | null;
  submit(
    input: unknown,
    submissionId: string,
    expectedRevision: number | null,
  ): Promise<SubmitOutcome>;
  registerListener(listener: (inForce: ManifestInForce) => void): Unregister;
  start(): Unregister;
}

/** Creates the keeper; nothing is read before `start`. */
export function createDaemonManifest(ctx: StoreContext, timers: TimerService): DaemonManifest {
  const listeners = new Set<(inForce: ManifestInForce) => void>();
  let inForce: ManifestInForce | null = null;
  let isReading = false;
  let chunks: ReadonlyMap<string, string> = new Map();

  async function refresh(): Promise<void> {
    if (isReading) {
      return;
    }
    isReading = true;
    try {
      await readOnce();
    } finally {
      isReading = false;
    }
  }

  async function readOnce(): Promise<void> {
    const deadline = timers.now() + READ_DEADLINE;
    const stored = await readRoot(ctx, deadline);
    const root = stored.ok ? stored.value.root : null;
    // A revision never goes down: what an old or repeated answer names is not applied.
    if (!root || root.revision <= (inForce?.revision ?? 0)) {
      return;
    }
    const loaded = await loadManifest(ctx, root, chunks, deadline);
    if (loaded.ok) {
      chunks = new Map([...chunks, ...loaded.value.fetched]);
      apply(
        root.revision,
        joinManifest(loaded.value.tree, (hash) => chunks.get(hash)),
      );
    }
  }

  function apply(revision: number, manifest: Manifest): void {
    if (revision <= (inForce?.revision ?? 0)) {
      return;
    }
    inForce = { revision, manifest, teamsByKeyHash: indexTeams(manifest) };
    listeners.forEach((listener) => inForce && listener(inForce));
  }

  return {
    getInForce: () => inForce,
    async submit(input, submissionId, expectedRevision) {
      const deadline = timers.now() + SUBMIT_DEADLINE;
      const outcome = await submitManifest(ctx, input, {
        submissionId,
        expectedRevision,
        deadline,
      });
      void refresh();
      return outcome;
    },
    registerListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    start() {
      void refresh();
      return timers.registerInterval(POLL_PERIOD, () => {
        void refresh();
      });
    },
  };
}

function indexTeams(manifest: Manifest): ReadonlyMap<string, ManifestTeam> {
  return new Map(
    manifest.teams.flatMap((team) => team.keyHashes.map((hash) => [hash, team] as const)),
  );
}

/** The team whose key this is. The key is hashed first, so the lookup's time tells nothing of a key. */
export function findTeam(inForce: ManifestInForce, key: string): ManifestTeam | null {
  const hash = `sha256:${createHash('sha256').update(key).digest('hex')}`;
  const team = inForce.teamsByKeyHash.get(hash);
  const isSame = team?.keyHashes.some((known) =>
    timingSafeEqual(Buffer.from(known), Buffer.from(hash)),
  );
  return team && isSame ? team : null;
}
