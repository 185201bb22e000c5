/** Judges a soak by what callers, services, engines and the machine saw. Pure. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LayerPass, ServiceEffect } from '@skylarksail/stand-ins/StandInLedger';
import { findLayerViolations } from '@skylarksail/stand-ins/StandInLedger';

/** How a request ended for its caller. */
export const SoakOutcome = {
  /** Whole and right. */
  Answered: 'answered',
  /** A truthful error, before or in the answer. */
  Refused: 'refused',
  /** It had begun, and its connection ended. */
  Cut: 'cut',
  /** Its connection ended without a word. */
  Unanswered: 'unanswered',
  /** Other tokens than the right ones, or one twice. */
  Wrong: 'wrong',
} as const;

export type SoakOutcomeName = (typeof SoakOutcome)[keyof typeof SoakOutcome];

/** A request as its caller saw it; times since the start of the callers. */
export interface SoakRecord {
  /** Life of the daemon that it was sent to. */
  readonly processId: string;
  readonly outcome: SoakOutcomeName;
  readonly startedAt: Millis;
  readonly endedAt: Millis;
  readonly tokens: number;
  readonly requestId: string;
  /** What a refusal says of whether it ran. */
  readonly run: string | null;
  /** Idempotency key of a receipt; null for others. */
  readonly key: string | null;
  readonly detail: string;
}

/** One process of a daemon, from its start to its end. */
export interface SoakProcess {
  readonly id: string;
  readonly stopAt: Millis | null;
  readonly killAt: Millis | null;
  readonly endedAt: Millis | null;
  /** Exit code, or the signal that ended it. */
  readonly end: string | null;
}

/** A revision that a daemon told, and one that the store acknowledged. */
export interface SoakRevisions {
  readonly told: readonly { readonly processId: string; readonly revision: number }[];
  readonly accepted: number;
  /** What each daemon that lives told last, after a quiet time. */
  readonly last: readonly { readonly processId: string; readonly revision: number }[];
}

export interface SoakEvidence {
  readonly records: readonly SoakRecord[];
  readonly processes: readonly SoakProcess[];
  readonly effects: readonly ServiceEffect[];
  readonly passes: readonly LayerPass[];
  readonly layers: number;
  readonly revisions: SoakRevisions;
  /** Time that a stop may take. */
  readonly grace: Millis;
}

/** A connection's end is seen some time after its cause. */
const SLACK: Millis = 500;

/** What is broken, in words; empty if nothing is. */
export function checkSoak(evidence: SoakEvidence): readonly string[] {
  return [
    ...evidence.records.flatMap((record) => judgeRecord(evidence, record)),
    ...judgeReceipts(evidence),
    ...evidence.processes.flatMap((life) => judgeLife(evidence, life)),
    ...judgeLayers(evidence),
    ...judgeRevisions(evidence.revisions),
  ];
}

function judgeRecord({ processes: lives }: SoakEvidence, record: SoakRecord): readonly string[] {
  const { outcome, processId: id, endedAt, detail } = record;
  const name = `${record.key ?? 'stream'} ${record.requestId} at ${id}, ${Math.round(endedAt)} ms: ${detail}`;
  const life = lives.find((one) => one.id === id);
  const isKilled = life?.killAt != null && life.killAt <= endedAt + SLACK;
  const isStopping = life?.stopAt != null && life.stopAt <= endedAt + SLACK;
  switch (outcome) {
    case SoakOutcome.Wrong:
      return [`wrong answer: ${name}`];
    case SoakOutcome.Cut:
      return isKilled ? [] : [`answer cut: ${name}`];
    case SoakOutcome.Unanswered:
      // A request may cross the close of its connection by a daemon that stops.
      return isKilled || isStopping ? [] : [`no word: ${name}`];
    default:
      return [];
  }
}

/** A receipt is carried out once at most, and as often as its caller was told. */
function judgeReceipts({ records, effects }: SoakEvidence): readonly string[] {
  const faults: string[] = [];
  const counts = new Map<string, number>();
  effects.forEach(({ key }) => key !== null && counts.set(key, (counts.get(key) ?? 0) + 1));
  const keys = new Set(records.flatMap(({ key }) => (key === null ? [] : [key])));
  for (const key of keys) {
    const count = counts.get(key) ?? 0;
    const tries = records.filter((record) => record.key === key);
    if (count > 1) {
      faults.push(`carried out ${count} times: ${key}`);
    }
    if (count === 0 && tries.some(({ outcome }) => outcome === SoakOutcome.Answered)) {
      faults.push(`answered and not carried out: ${key}`);
    }
    if (count > 0 && tries.every(({ run }) => run === 'not-run')) {
      faults.push(`told "not run" and carried out: ${key}`);
    }
  }
  return faults;
}

function judgeLife({ grace }: SoakEvidence, life: SoakProcess): readonly string[] {
  const { id, stopAt, killAt, endedAt, end } = life;
  if (endedAt !== null && stopAt === null && killAt === null) {
    return [`daemon ended by itself: ${id}, ${end}`];
  }
  if (stopAt === null || killAt !== null) {
    return [];
  }
  if (endedAt === null || endedAt - stopAt > grace + SLACK) {
    return [`stop took too long: ${id}`];
  }
  return end === '0' ? [] : [`stop ended with ${end}: ${id}`];
}

function judgeLayers({ records, passes, layers }: SoakEvidence): readonly string[] {
  return records
    .filter(({ outcome, tokens }) => outcome === SoakOutcome.Answered && tokens > 0)
    .flatMap(({ requestId, tokens }) => {
      const own = passes.filter(({ request }) => request === requestId);
      const [fault] = findLayerViolations(own, layers, tokens);
      return fault === undefined ? [] : [`layers of ${requestId}: ${fault}`];
    });
}

function judgeRevisions({ told, last, accepted }: SoakRevisions): readonly string[] {
  const faults: string[] = [];
  const newest = new Map<string, number>();
  for (const { processId: life, revision } of told) {
    if (revision < (newest.get(life) ?? 0)) {
      faults.push(`went back to revision ${revision}: ${life}`);
    }
    newest.set(life, Math.max(revision, newest.get(life) ?? 0));
  }
  last
    .filter(({ revision }) => revision < accepted)
    .forEach(({ processId: life, revision }) =>
      faults.push(`revision ${accepted} not in force, but ${revision}: ${life}`),
    );
  return faults;
}
