/** Checks a soak from the records of callers, services, engines and processes; has no side effects. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LayerPass, ServiceEffect } from '@skylarksail/stand-ins/StandInLedger';
import { findLayerViolations } from '@skylarksail/stand-ins/StandInLedger';

/** How a request ended for its caller. */
export const SoakOutcome = {
  /** Complete and correct. */
  Answered: 'answered',
  /** A truthful error, as the response or within the stream. */
  Refused: 'refused',
  /** The connection closed after the response had begun. */
  Cut: 'cut',
  /** The connection closed before any response. */
  Unanswered: 'unanswered',
  /** Wrong or duplicate tokens. */
  Wrong: 'wrong',
} as const;

export type SoakOutcomeName = (typeof SoakOutcome)[keyof typeof SoakOutcome];

/** A request as its caller saw it; times are since the start of the callers. */
export interface SoakRecord {
  /** Id of the daemon process that the request was sent to. */
  readonly processId: string;
  readonly outcome: SoakOutcomeName;
  readonly startedAt: Millis;
  readonly endedAt: Millis;
  readonly tokens: number;
  readonly requestId: string;
  /** Run state that a refusal reports; null if it reports none. */
  readonly run: string | null;
  /** Idempotency key of a receipt; null for other requests. */
  readonly key: string | null;
  readonly detail: string;
}

/** One process of a daemon; a restart creates another. The time of an event that did not happen is null. */
export interface SoakProcess {
  readonly id: string;
  /** Time of SIGTERM. */
  readonly stopAt: Millis | null;
  /** Time of SIGKILL. */
  readonly killAt: Millis | null;
  readonly endedAt: Millis | null;
  /** Exit code, or name of the signal that ended the process. */
  readonly end: string | null;
}

/** Manifest revisions that daemons reported and the newest one that was accepted. */
export interface SoakRevisions {
  /** Reports of all daemons while the soak ran, in order. */
  readonly told: readonly { readonly processId: string; readonly revision: number }[];
  /** Newest revision whose submission succeeded. */
  readonly accepted: number;
  /** Report of each live daemon after the settling time. */
  readonly last: readonly { readonly processId: string; readonly revision: number }[];
}

export interface SoakEvidence {
  readonly records: readonly SoakRecord[];
  readonly processes: readonly SoakProcess[];
  readonly effects: readonly ServiceEffect[];
  readonly passes: readonly LayerPass[];
  /** Number of layers of the model. */
  readonly layers: number;
  readonly revisions: SoakRevisions;
  /** Time that a daemon may take to exit after SIGTERM. */
  readonly grace: Millis;
}

/** Allowance for the time between a cause and when it is observed, such as a closed connection. */
const DETECTION_LAG: Millis = 500;

/** Returns a description of each violation; empty if there is none. */
export function checkSoak(evidence: SoakEvidence): readonly string[] {
  return [
    ...evidence.records.flatMap((record) => checkRecord(evidence, record)),
    ...checkReceipts(evidence),
    ...evidence.processes.flatMap((daemonProcess) => checkProcess(evidence, daemonProcess)),
    ...checkLayers(evidence),
    ...checkRevisions(evidence.revisions),
  ];
}

function checkRecord({ processes }: SoakEvidence, record: SoakRecord): readonly string[] {
  const { outcome, processId, endedAt, detail } = record;
  const name = `${record.key ?? 'stream'} ${record.requestId} at ${processId}, ${Math.round(endedAt)} ms: ${detail}`;
  const daemonProcess = processes.find((one) => one.id === processId);
  const isKilled = daemonProcess?.killAt != null && daemonProcess.killAt <= endedAt + DETECTION_LAG;
  const isStopping =
    daemonProcess?.stopAt != null && daemonProcess.stopAt <= endedAt + DETECTION_LAG;
  switch (outcome) {
    case SoakOutcome.Wrong:
      return [`wrong answer: ${name}`];
    case SoakOutcome.Cut:
      return isKilled ? [] : [`answer cut: ${name}`];
    case SoakOutcome.Unanswered:
      // A request may be on its way while a stopping daemon closes the connection.
      return isKilled || isStopping ? [] : [`no word: ${name}`];
    default:
      return [];
  }
}

/** Checks that a receipt runs at most once, and that its caller's responses agree with that count. */
function checkReceipts({ records, effects }: SoakEvidence): readonly string[] {
  const faults: string[] = [];
  const counts = new Map<string, number>();
  effects.forEach(({ key }) => key !== null && counts.set(key, (counts.get(key) ?? 0) + 1));
  const keys = new Set(records.flatMap(({ key }) => (key === null ? [] : [key])));
  for (const key of keys) {
    const count = counts.get(key) ?? 0;
    const keyRecords = records.filter((record) => record.key === key);
    if (count > 1) {
      faults.push(`carried out ${count} times: ${key}`);
    }
    if (count === 0 && keyRecords.some(({ outcome }) => outcome === SoakOutcome.Answered)) {
      faults.push(`answered and not carried out: ${key}`);
    }
    if (count > 0 && keyRecords.every(({ run }) => run === 'not-run')) {
      faults.push(`told "not run" and carried out: ${key}`);
    }
  }
  return faults;
}

function checkProcess({ grace }: SoakEvidence, daemonProcess: SoakProcess): readonly string[] {
  const { id, stopAt, killAt, endedAt, end } = daemonProcess;
  if (endedAt !== null && stopAt === null && killAt === null) {
    return [`daemon ended by itself: ${id}, ${end}`];
  }
  if (stopAt === null || killAt !== null) {
    return [];
  }
  if (endedAt === null || endedAt - stopAt > grace + DETECTION_LAG) {
    return [`stop took too long: ${id}`];
  }
  return end === '0' ? [] : [`stop ended with ${end}: ${id}`];
}

function checkLayers({ records, passes, layers }: SoakEvidence): readonly string[] {
  return records
    .filter(({ outcome, tokens }) => outcome === SoakOutcome.Answered && tokens > 0)
    .flatMap(({ requestId, tokens }) => {
      const requestPasses = passes.filter(({ request }) => request === requestId);
      const [violation] = findLayerViolations(requestPasses, layers, tokens);
      return violation === undefined ? [] : [`layers of ${requestId}: ${violation}`];
    });
}

function checkRevisions({ told, last, accepted }: SoakRevisions): readonly string[] {
  const faults: string[] = [];
  const newest = new Map<string, number>();
  for (const { processId, revision } of told) {
    if (revision < (newest.get(processId) ?? 0)) {
      faults.push(`went back to revision ${revision}: ${processId}`);
    }
    newest.set(processId, Math.max(revision, newest.get(processId) ?? 0));
  }
  last
    .filter(({ revision }) => revision < accepted)
    .forEach(({ processId, revision }) =>
      faults.push(`revision ${accepted} not in force, but ${revision}: ${processId}`),
    );
  return faults;
}
