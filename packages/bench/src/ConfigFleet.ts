/**
 * A fleet of the config bench: the real runner at each instance, submitters, and the faults that run
 * beside them, with a record of what came into force where and when.
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

/** One fleet of the bench. */
export interface ConfigShape {
  readonly domains: number;
  readonly perDomain: number;
}

export const CHANGE_PERIOD: Millis = 2500;
const SUBMIT_DEADLINE: Millis = 20_000;
const RESTART_GAP: Millis = 1500;
const OUTAGE: Millis = 6000;
const MESSAGE_LOSS = 0.01;
const PLATFORM_FAULTS = { lostAnswers: 0.02, lostCalls: 0.02, missedWatches: 0.05 };
/** Every so many changes one of these happens. */
const RESTART_EVERY = 1;
const OUTAGE_EVERY = 8;
const CUT_EVERY = 10;

/** A change and the time at which the platform took it. */
export interface AcceptedChange {
  readonly revision: number;
  readonly at: Millis;
}

/** A time in which an instance was away. */
export interface AwaySpan {
  readonly kind: 'cut' | 'restart';
  readonly from: Millis;
  to: Millis;
}

/** What is recorded while a fleet runs. */
export interface FleetRecord {
  readonly accepted: AcceptedChange[];
  /** When an instance's present process was started. */
  readonly startedAt: Map<InstanceId, Millis>;
  /** Highest revision ever in force at an instance, over all its processes. */
  readonly highest: Map<InstanceId, number>;
  /** Times at which an instance's processes put revisions into force. */
  readonly applied: Map<InstanceId, { readonly revision: number; readonly at: Millis }[]>;
  /** Spans in which an instance was cut off or did not run. */
  readonly away: Map<InstanceId, AwaySpan[]>;
  readonly startDurations: Millis[];
  /** Instances that put a lower revision into force than before. */
  readonly reverts: InstanceId[];
  readonly restarts: InstanceId[];
}

/** A fleet under way. */
export interface FleetRun {
  readonly shape: ConfigShape;
  readonly timers: VirtualTimers;
  readonly random: Random;
  readonly platform: FakeStore;
  readonly fleet: FakeFleet;
  readonly members: readonly InstanceId[];
  readonly record: FleetRecord;
  /** Bytes of all messages between instances so far. */
  readonly countBytes: () => number;
}

/** An empty record. */
export function createRecord(): FleetRecord {
  return {
    accepted: [],
    startedAt: new Map(),
    highest: new Map(),
    applied: new Map(),
    away: new Map(),
    startDurations: [],
    reverts: [],
    restarts: [],
  };
}

/** Creates a fleet of which nothing runs yet. */
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

/** Records that an instance has put a revision into force. */
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

/** Lets virtual time pass. */
export function advanceTime({ timers }: FleetRun, time: Millis): Promise<void> {
  return timers.advanceToAsync(timers.now() + time);
}

/** Calls to the platform so far, watches included. */
export function countCalls({ platform }: FleetRun): number {
  const { reads, writes } = platform.countCalls();
  return reads + writes;
}

/** Submits a manifest through an instance, as the daemon does; a cut-off one cannot reach the platform. */
export function submit(run: FleetRun, submissionId: string, manifest: unknown): Promise<SubmitOutcome> {
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

/** Losses of messages, calls and answers, from now on. */
export function enableLosses({ platform, fleet }: FleetRun): void {
  platform.setFaults(PLATFORM_FAULTS);
  fleet.setLoss(MESSAGE_LOSS);
}

/** The restart, outage or cut that goes with a change. */
export function scheduleFaults(run: FleetRun, change: number): void {
  const { timers, random, platform, fleet } = run;
  if (change % RESTART_EVERY === 0) {
    const [id] = sampleElements(random, fleet.listRunning(), 1);
    timers.registerTimeout(random.nextInt(CHANGE_PERIOD), () => restart(run, id as InstanceId));
  }
  if (change % OUTAGE_EVERY === 0) {
    timers.registerTimeout(random.nextInt(CHANGE_PERIOD), () => {
      platform.setFaults({ outage: true });
      timers.registerTimeout(OUTAGE, () => platform.setFaults({ outage: false }));
    });
  }
  if (change % CUT_EVERY === 0) {
    const domain = `d${random.nextInt(run.shape.domains)}`;
    fleet.setPartitioned(domain, true);
    const returns = run.members
      .filter((id) => id.startsWith(`${domain}-`))
      .map((id) => leave(run, id, 'cut'));
    timers.registerTimeout(OUTAGE, () => {
      fleet.setPartitioned(domain, false);
      returns.forEach((comeBack) => comeBack());
    });
  }
}

function restart(run: FleetRun, id: InstanceId): void {
  const { timers, fleet, record } = run;
  if (!fleet.listRunning().includes(id)) {
    return;
  }
  fleet.kill(id);
  const comeBack = leave(run, id, 'restart');
  timers.registerTimeout(RESTART_GAP, () => {
    record.restarts.push(id);
    record.startedAt.set(id, timers.now());
    comeBack();
    fleet.start(id);
  });
}

/** Notes that an instance is away; the returned function notes its return. */
function leave({ record, timers }: FleetRun, id: InstanceId, kind: AwaySpan['kind']): () => void {
  const span: AwaySpan = { kind, from: timers.now(), to: Infinity };
  record.away.set(id, [...(record.away.get(id) ?? []), span]);
  return () => {
    span.to = timers.now();
  };
}

/**
 * Time from acceptance until the last instance has the revision, or a higher one, in force. One that was
 * cut off counts from its return; one that was started meanwhile is measured by its start instead.
 */
export function measureInForce(record: FleetRecord, change: AcceptedChange): Millis | null {
  const times = [...record.highest.keys()].map((id) => {
    const entry = record.applied.get(id)?.find(({ revision }) => revision >= change.revision);
    if (!entry) {
      return null;
    }
    const spans = (record.away.get(id) ?? []).filter(
      ({ from, to }) => to > change.at && from < entry.at,
    );
    const from = Math.max(change.at, ...spans.map(({ to }) => to));
    const isStart = spans.some(({ kind }) => kind === 'restart');
    return isStart ? 0 : Math.max(0, entry.at - from);
  });
  return times.includes(null) ? null : Math.max(...(times as Millis[]));
}
