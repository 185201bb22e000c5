/**
 * The beginning of a model request: it is refused at once if it cannot be served, its key is claimed if it must not run
 * twice, and it queues for admission.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimHandle } from './ClaimRunner.js';
import { claimKey } from './ClaimRunner.js';
import type { RequestEvent } from './RequestMessages.js';
import { computeFingerprint } from './RequestPoison.js';
import type { ProblemKindName, RequestSpec } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { countMetric, creditBudget } from './RouterShared.js';
import type { DecisionName } from './RouterTypes.js';
import { createAdmissionRequest } from './RunAdmission.js';
import type { RunGuard } from './RunGuard.js';
import { findRoomRefusal } from './RunRoom.js';

/** Parts of the request that its beginning uses. */
export interface BeginContext {
  readonly spec: RequestSpec;
  readonly submittedAt: Millis;
  readonly guard: Pick<RunGuard, 'findProblem'>;
  readonly send: (event: RequestEvent) => void;
  readonly log: (decision: DecisionName, reason: string | null) => void;
}

/** Begins a request; returns the claim of its key, or null if it has none. */
export function beginRun(shared: RouterShared, run: BeginContext): ClaimHandle | null {
  const { admission, deps, meters } = shared;
  const { spec, submittedAt, guard, send, log } = run;

  function refuse(kind: ProblemKindName, retryAfter: Millis | null): void {
    const problem = { kind, run: RunState.NotRun, retryAfter, instance: null };
    send({ kind: 'refused', problem });
  }

  function enqueue(): void {
    const onAdmitted = (): void => {
      countMetric(shared, 'admitted');
      creditBudget(shared, spec.model);
      log('admit', null);
      send({ kind: 'admitted' });
    };
    const onRefused = (retryAfter: Millis): void => refuse(ProblemKind.Overloaded, retryAfter);
    admission.enqueue(
      createAdmissionRequest(spec, meters),
      { onAdmitted, onRefused },
      deps.timers.now(),
    );
  }

  /**
   * Runs after the key is claimed: a stored answer needs no engine, and a refusal before the claim would
   * report "not run" for a key that had run.
   */
  function requestAdmission(): void {
    const problem = guard.findProblem();
    if (problem !== null) {
      send({ kind: 'refused', problem });
      return;
    }
    const noRoom = findRoomRefusal(shared, spec);
    if (noRoom !== null) {
      log('no-room', noRoom.reason);
      refuse(ProblemKind.Overloaded, noRoom.retryAfter);
      return;
    }
    const retryAfter = admission.check(createAdmissionRequest(spec, meters), deps.timers.now());
    if (retryAfter === null) {
      enqueue();
    } else {
      refuse(ProblemKind.Overloaded, retryAfter);
    }
  }

  if (spec.deadline <= submittedAt) {
    refuse(ProblemKind.Deadline, null);
    return null;
  }
  if (shared.isDraining()) {
    refuse(ProblemKind.Draining, 0);
    return null;
  }
  if (spec.idempotent || spec.idempotencyKey === null) {
    requestAdmission();
    return null;
  }
  // A resend may get a newer version of the model, but everything that its caller chose must be the same.
  const keyedContent = JSON.stringify([spec.prompt, spec.variant.adapter, spec.maxTokens]);
  const claimRequest = {
    ...spec,
    key: spec.idempotencyKey,
    fingerprint: computeFingerprint(spec.team, spec.model, keyedContent),
  };
  return claimKey(shared, claimRequest, {
    onGranted: requestAdmission,
    onReplayed: (answer) => send({ kind: 'answer-held', answer }),
    onRefused: (problem) => send({ kind: 'refused', problem }),
  });
}
