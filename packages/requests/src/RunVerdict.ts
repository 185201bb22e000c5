/** The verdict on a running request: on the request as a whole and on the parts of its prompt, whichever is the stricter. */
import type { Crash } from './RequestPoison.js';
import { isExplainedByPart, judgeParts } from './RequestPartVerdict.js';
import type { PartsAsked } from './RequestPartVerdict.js';
import type { PoisonTally, PoisonVerdictName } from './RequestPoisonVerdict.js';
import { judgeRequest, PoisonVerdict, tallyCrashes } from './RequestPoisonVerdict.js';
import type { RequestSuspects } from './RequestSuspects.js';
import type { RouterShared } from './RouterShared.js';

/** A verdict, and what it holds at fault. */
export interface RunVerdict {
  readonly verdict: PoisonVerdictName;
  readonly fault: string;
  /** Whether that is a part of the prompt, and not the request as a whole. */
  readonly isOfPart: boolean;
}

/** Verdicts, from the mildest. */
const SEVERITY: readonly PoisonVerdictName[] = [
  PoisonVerdict.Clean,
  PoisonVerdict.Suspect,
  PoisonVerdict.Ambiguous,
  PoisonVerdict.Doubted,
  PoisonVerdict.Held,
  PoisonVerdict.Condemned,
];

/** Judges a run by all that it holds. */
export function judgeRun(shared: RouterShared, suspects: RequestSuspects): RunVerdict {
  const state = shared.crashes.getState();
  if (state.crashes.size === 0) {
    return { verdict: PoisonVerdict.Clean, fault: '', isOfPart: false };
  }
  const { request } = suspects;
  const now = shared.deps.timers.now();
  const whole = judgeRequest(state, request, now, createElsewhere(shared, suspects));
  const verdicts: readonly RunVerdict[] = [
    { verdict: whole, fault: `request ${request}`, isOfPart: false },
    ...judgeParts(state, createPartsAsked(shared, suspects)).map(({ verdict, part }) => ({
      verdict,
      fault: `part ${part.name}=${part.label}`,
      isOfPart: true,
    })),
  ];
  return verdicts.reduce((a, b) =>
    SEVERITY.indexOf(b.verdict) > SEVERITY.indexOf(a.verdict) ? b : a,
  );
}

/** How the crashes of a run's request as a whole count. */
export function tallyRun(shared: RouterShared, suspects: RequestSuspects): PoisonTally {
  const state = shared.crashes.getState();
  const now = shared.deps.timers.now();
  return tallyCrashes(state, suspects.request, now, createElsewhere(shared, suspects));
}

/** What the verdicts on the parts of a request need. */
export function createPartsAsked(
  { crashes, deps }: RouterShared,
  { parts }: RequestSuspects,
): PartsAsked {
  const now = deps.timers.now();
  return { parts, now, wasSound: (part) => crashes.wasSound(part, now) };
}

/** Tells the crashes that a part explains which the request does not hold: their bystanders are not blamed. */
function createElsewhere(
  { crashes, deps }: RouterShared,
  { parts }: RequestSuspects,
): (crash: Crash) => boolean {
  const own = new Set(parts.map(({ name }) => name));
  const state = crashes.getState();
  const now = deps.timers.now();
  return (crash) => isExplainedByPart(state, crash, own, now);
}
