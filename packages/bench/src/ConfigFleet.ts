/**
 * A fleet of the config bench: the real manifest runner at each instance, submissions and injected
 * faults, with a record of when each revision came into force at each instance.
 */
import { Packr } from 'msgpackr';
import { createRandom, sampleElements } from '@skylarksail/core/CoreRandom';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { FakeFleet } from '@skylarksail/manifest/FakeFleet';
import { createFakeFleet, createFleetMembers } from '@skylarksail/manifest/FakeFleet';
import {
  MANIFEST_BUDGET_RATES,
  MANIFEST_CIRCUIT_SETTINGS,
  MANIFEST_CONCURRENT_CLIENTS,
} from '@skylarksail/manifest/ManifestRates';
import { parseRoot, ROOT_KEY } from '@skylarksail/manifest/ManifestRoot';
import type { SubmitOutcome } from '@skylarksail/manifest/ManifestStore';
import { submitManifest } from '@skylarksail/manifest/ManifestStore';
import type { FakeStore } from '@skylarksail/store/FakeStore';
import { createFakeStore } from '@skylarksail/store/FakeStore';
import { StoreUse } from '@skylarksail/store/StoreBudget';
import { createStoreClient } from '@skylarksail/store/StoreClient';
import type { StorePort } from '@skylarksail/store/StorePort';

/** Number of failure domains and of instances in each. */
export interface ConfigShape {
  readonly domains: number;
  readonly perDomain: number;
}

export const CHANGE_PERIOD: Millis = 2500;
const SUBMIT_DEADLINE: Millis = 20_000;
const RESTART_DOWNTIME: Millis = 1500;
const OUTAGE_DURATION: Millis = 6000;
const MESSAGE_LOSS = 0.01;
const PLATFORM_FAULTS = { lostAnswers: 0.02, lostCalls: 0.02, missedWatches: 0.05 };
/** Each fault is injected once per this many changes. */
const CHANGES_PER_RESTART = 1;
const CHANGES_PER_OUTAGE = 8;
const CHANGES_PER_PARTITION = 10;

/** A change and the time at which the platform stored its root. */
export interface AcceptedChange {
  readonly revision: number;
  readonly at: Millis;
}

/** A period in which an instance was partitioned (`cut`) or not running (`restart`). */
export interface AbsenceSpan {
  readonly kind: 'cut' | 'restart';
  readonly from: Millis;
  to: Millis;
}

/** Measurements collected while a fleet runs. */
export interface FleetRecord {
  readonly accepted: AcceptedChange[];
  /** Start times of restarted processes that have no revision in force yet. */
  readonly startedAt: Map<InstanceId, Millis>;
  /** Highest revision that was ever in force at an instance, across restarts. */
  readonly highest: Map<InstanceId, number>;
  /** Revisions that came into force at an instance, in order, across restarts. */
  readonly applied: Map<InstanceId, { readonly revision: number; readonly at: Millis }[]>;
  readonly absences: Map<InstanceId, AbsenceSpan[]>;
  /** Times from the restart of an instance until its first revision is in force. */
  readonly startDurations: Millis[];
  /** Instances that put a revision below their highest into force, one entry for each time. */
  readonly reverts: InstanceId[];
  readonly restarts: InstanceId[];
}

/** A fleet with its virtual clock, platform and record. */
export interface FleetRun {
  readonly shape: ConfigShape;
  readonly timers: VirtualTimers;
  readonly random: Random;
  readonly platform: FakeStore;
  readonly fleet: FakeFleet;
  readonly members: readonly InstanceId[];
  readonly record: FleetRecord;
  /** Returns the total bytes of messages between instances so far. */
  readonly countBytes: () => number;
}

export function createRecord(): FleetRecord {
  return {
    accepted: [],
    startedAt: new Map(),
    highest: new Map(),
    applied: new Map(),
    absences: new Map(),
    startDurations: [],
    reverts: [],
    restarts: [],
  };
}

/** Creates a fleet without starting its instances. */
export function createFleetRun(shape: ConfigShape, seed: number): FleetRun {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const platform = createFakeStore({ timers, random });
  const packr = new Packr();
  let bytes = 0;
  const record = createRecord();
  const members = createFleetMembers(shape.domains, shape.perDomain);
  const fleet = createFakeFleet({
    timers,
    random,
    platform,
    members,
    wrapPlatform: (_id, port) => wrapPort(port, timers, random),
    onMessage(_from, _to, message) {
      bytes += packr.pack(message).length;
    },
    onInForce: (id, revision) => recordInForce(record, id, revision, timers.now()),
  });
  platform.store.registerChange(ROOT_KEY, ({ value }) => {
    const root = parseRoot(value);
    if (root.ok) {
      record.accepted.push({ revision: root.value.revision, at: timers.now() });
    }
  });
  return {
    shape,
    timers,
    random,
    platform,
    fleet,
    members: members.map(({ id }) => id),
    record,
    countBytes: () => bytes,
  };
}

function wrapPort(port: StorePort, timers: VirtualTimers, random: Random): StorePort {
  const client = createStoreClient({
    port,
    timers,
    random,
    countInstances: () => MANIFEST_CONCURRENT_CLIENTS,
    rates: MANIFEST_BUDGET_RATES,
    circuit: MANIFEST_CIRCUIT_SETTINGS,
  });
  return client.forUse(StoreUse.Manifest);
}

/** Records that a revision came into force at an instance. */
export function recordInForce(
  record: FleetRecord,
  id: InstanceId,
  revision: number,
  at: Millis,
): void {
  const highest = record.highest.get(id) ?? 0;
  const applied = record.applied.get(id) ?? [];
  const startedAt = record.startedAt.get(id);
  if (revision < highest) {
    record.reverts.push(id);
  }
  if (startedAt !== undefined) {
    record.startDurations.push(at - startedAt);
    record.startedAt.delete(id);
  }
  record.highest.set(id, Math.max(highest, revision));
  record.applied.set(id, [...applied, { revision, at }]);
}

/** Advances virtual time and lets pending promises settle. */
export function advanceTime({ timers }: FleetRun, time: Millis): Promise<void> {
  return timers.advanceToAsync(timers.now() + time);
}

/** Returns the number of calls to the platform so far, watches included. */
export function countCalls({ platform }: FleetRun): number {
  const { reads, writes } = platform.countCalls();
  return reads + writes;
}

/**
 * Submits a manifest through a random running instance, as the daemon does.
 * A partitioned instance cannot reach the platform.
 */
export function submit(
  run: FleetRun,
  submissionId: string,
  manifest: unknown,
): Promise<SubmitOutcome> {
  const [via] = sampleElements(run.random, run.fleet.listRunning(), 1);
  const port = run.platform.connect(via as InstanceId);
  const ctx = {
    platform: wrapPort(port, run.timers, run.random),
    timers: run.timers,
    random: run.random,
    callTimeout: 500,
  };
  const deadline = run.timers.now() + SUBMIT_DEADLINE;
  return submitManifest(ctx, manifest, {
    submissionId,
    expectedRevision: null,
    deadline,
    onAccepted: (root, chunks) =>
      run.fleet.getRunner(via as InstanceId)?.learnAccepted(root, chunks),
  });
}

/** Starts to drop a share of peer messages and of platform calls, answers and watch notifications. */
export function enableLosses({ platform, fleet }: FleetRun): void {
  platform.setFaults(PLATFORM_FAULTS);
  fleet.setLoss(MESSAGE_LOSS);
}

/** Schedules the restart, outage or partition that is due with a change, if any. */
export function scheduleFaults(run: FleetRun, change: number): void {
  const { timers, random, platform, fleet } = run;
  if (change % CHANGES_PER_RESTART === 0) {
    const [id] = sampleElements(random, fleet.listRunning(), 1);
    timers.registerTimeout(random.nextInt(CHANGE_PERIOD), () => restart(run, id as InstanceId));
  }
  if (change % CHANGES_PER_OUTAGE === 0) {
    timers.registerTimeout(random.nextInt(CHANGE_PERIOD), () => {
      platform.setFaults({ outage: true });
      timers.registerTimeout(OUTAGE_DURATION, () => platform.setFaults({ outage: false }));
    });
  }
  if (change % CHANGES_PER_PARTITION === 0) {
    const domain = `d${random.nextInt(run.shape.domains)}`;
    fleet.setPartitioned(domain, true);
    const endAbsences = run.members
      .filter((id) => id.startsWith(`${domain}-`))
      .map((id) => recordAbsence(run, id, 'cut'));
    timers.registerTimeout(OUTAGE_DURATION, () => {
      fleet.setPartitioned(domain, false);
      endAbsences.forEach((endAbsence) => endAbsence());
    });
  }
}

function restart(run: FleetRun, id: InstanceId): void {
  const { timers, fleet, record } = run;
  if (!fleet.listRunning().includes(id)) {
    return;
  }
  fleet.kill(id);
  const endAbsence = recordAbsence(run, id, 'restart');
  timers.registerTimeout(RESTART_DOWNTIME, () => {
    record.restarts.push(id);
    record.startedAt.set(id, timers.now());
    endAbsence();
    fleet.start(id);
  });
}

/** Records the start of an absence; the returned function records its end. */
function recordAbsence(
  { record, timers }: FleetRun,
  id: InstanceId,
  kind: AbsenceSpan['kind'],
): () => void {
  const span: AbsenceSpan = { kind, from: timers.now(), to: Infinity };
  record.absences.set(id, [...(record.absences.get(id) ?? []), span]);
  return () => {
    span.to = timers.now();
  };
}

/**
 * Returns the time from acceptance until the revision or a higher one is in force at every instance, or
 * null if an instance never got there. For a partitioned instance the time runs from the end of the
 * partition. One that restarted meanwhile counts as 0 because its start is measured separately.
 */
export function measureInForce(record: FleetRecord, change: AcceptedChange): Millis | null {
  const times = [...record.highest.keys()].map((id) => {
    const entry = record.applied.get(id)?.find(({ revision }) => revision >= change.revision);
    if (!entry) {
      return null;
    }
    const spans = (record.absences.get(id) ?? []).filter(
      ({ from, to }) => to > change.at && from < entry.at,
    );
    const from = Math.max(change.at, ...spans.map(({ to }) => to));
    const hasRestarted = spans.some(({ kind }) => kind === 'restart');
    return hasRestarted ? 0 : Math.max(0, entry.at - from);
  });
  return times.includes(null) ? null : Math.max(...(times as Millis[]));
}
