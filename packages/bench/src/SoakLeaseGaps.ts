/** Finds the times in which a domain had no placing instance, or a running instance had no entry; has no side effects. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { KeyRecord } from '@skylarksail/stand-ins/StandInRangeStore';
import { formatCall, formatSteps } from './SoakLeaseTrace.js';
import type { LeaseEvidence, LeaseProcess, Span, StoreCall } from './SoakLeaseTypes.js';
import { DUTY_PREFIX, ENTRY_PREFIX } from './SoakLeaseTypes.js';

/** A time in which the entry of a live process was missing, or a domain had no placing instance. */
export interface Gap {
  readonly name: string;
  readonly from: Millis;
  readonly time: Millis;
  /** Part of the time in which the store was faulty, and in which it was down. */
  readonly faulty: Millis;
  readonly down: Millis;
  /** Part of the time in which a stopped process still had the key. */
  readonly heldByStopped: Millis;
  readonly trace: readonly string[];
}

/** Shorter gaps are not reported. */
const LEAST_GAP: Millis = 50;
/** Shorter gaps have no trace. */
const LEAST_TRACED_GAP: Millis = 1000;
/** Part before a gap that its trace shows. */
const GAP_LEAD: Millis = 4000;

/** Times in which no running process held the domain's duty, from its first holder on. */
export function findUnplaced(evidence: LeaseEvidence, domain: string): readonly Gap[] {
  const records = evidence.keys.filter(({ key }) => key === `${DUTY_PREFIX}${domain}`);
  const own = new Set(
    evidence.processes.filter((one) => one.domain === domain).map(({ id }) => id),
  );
  return findGaps(
    evidence,
    domain,
    records,
    evidence.closedAt,
    ({ owner, keys }) => own.has(owner) || keys.includes(`${DUTY_PREFIX}${domain}`),
  );
}

/** Times in which a running process had no entry, from its first one on. */
export function findUnregistered(
  evidence: LeaseEvidence,
  { id, stopAt }: LeaseProcess,
): readonly Gap[] {
  const findProcess = createProcessLookup(evidence);
  const records = evidence.keys.filter(
    (one) => one.key.startsWith(ENTRY_PREFIX) && findProcess(one)?.id === id,
  );
  const end = Math.min(stopAt ?? Infinity, evidence.closedAt);
  return findGaps(evidence, id, records, end, ({ owner }) => owner === id);
}

function createProcessLookup({ leases, processes }: LeaseEvidence) {
  const owners = new Map(leases.map(({ grant, owner }) => [grant, owner]));
  return ({ grant }: KeyRecord): LeaseProcess | undefined =>
    processes.find(({ id }) => id === owners.get(grant));
}

/** Times until `end` in which no record of a running process was in the store. */
function findGaps(
  evidence: LeaseEvidence,
  name: string,
  records: readonly KeyRecord[],
  end: Millis,
  isOfGap: (call: StoreCall) => boolean,
): readonly Gap[] {
  const findProcess = createProcessLookup(evidence);
  const spans = records.map((record) => {
    const stopAt = findProcess(record)?.stopAt ?? Infinity;
    const removedAt = record.removedAt ?? Infinity;
    return { from: record.setAt, to: Math.min(removedAt, stopAt), removedAt };
  });
  const stale = spans.map(({ to, removedAt }) => ({ from: to, to: removedAt }));
  const gaps: Gap[] = [];
  let covered = spans[0]?.to ?? Infinity;
  for (const { from, to } of [...spans.slice(1), { from: end, to: end }]) {
    const gap = { from: covered, to: Math.min(from, end) };
    if (gap.to - gap.from >= LEAST_GAP) {
      gaps.push({
        name,
        from: Math.round(gap.from),
        time: Math.round(gap.to - gap.from),
        faulty: sumOverlap(gap, evidence.faulty),
        down: sumOverlap(gap, evidence.down),
        heldByStopped: sumOverlap(gap, stale),
        trace: gap.to - gap.from < LEAST_TRACED_GAP ? [] : writeGapTrace(evidence, gap, isOfGap),
      });
    }
    covered = Math.max(covered, to);
  }
  return gaps;
}

/** Formats the calls shortly before and in a gap; times are since its begin. */
function writeGapTrace(
  { calls, leases, processes }: LeaseEvidence,
  { from, to }: Span,
  isOfGap: (call: StoreCall) => boolean,
): readonly string[] {
  const start = from - GAP_LEAD;
  const own = calls.filter((call) => isOfGap(call) && call.at >= start && call.at < to);
  const leaseIds = new Set(own.map(({ lease }) => lease));
  const owners = new Set(own.map(({ owner }) => owner));
  const steps = [
    ...own.map((call) => ({
      at: call.at,
      text: `${call.owner} lease ${call.lease} ${formatCall(call, from)}`,
    })),
    ...leases
      .filter(({ id }) => leaseIds.has(id))
      .map(({ id, end, endedAt }) => ({ at: endedAt ?? Infinity, text: `lease ${id} ${end}` })),
    ...processes
      .filter(({ id }) => owners.has(id))
      .flatMap(({ id, startedAt, stopAt, endedAt }) => [
        { at: startedAt, text: `start of ${id}` },
        { at: stopAt ?? Infinity, text: `SIGTERM to ${id}` },
        { at: endedAt ?? Infinity, text: `exit of ${id}` },
      ]),
    { at: from, text: 'gap begins' },
    { at: to, text: 'gap ends' },
  ];
  return formatSteps(
    steps.filter(({ at }) => at >= start && at <= to),
    from,
  );
}

function sumOverlap(gap: Span, spans: readonly Span[]): Millis {
  const sum = spans.reduce(
    (total, { from, to }) => total + Math.max(0, Math.min(gap.to, to) - Math.max(gap.from, from)),
    0,
  );
  return Math.round(sum);
}
