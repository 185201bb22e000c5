/** Admission request of a model request. */
import type { AdmissionRequest } from './RequestAdmission.js';
import type { RequestSpec } from './RequestTypes.js';
import { getPromptTokens } from './RequestTypes.js';
import type { RouterMeters } from './RouterMeters.js';

/** Cost of a prompt token relative to a generated token. */
const PROMPT_COST = 1 / 8;

/** Estimates the work, memory and duration of a request. */
export function createAdmissionRequest(spec: RequestSpec, meters: RouterMeters): AdmissionRequest {
  const promptTokens = getPromptTokens(spec);
  return {
    id: spec.id,
    team: spec.team,
    priority: spec.priority,
    cost: spec.maxTokens + promptTokens * PROMPT_COST,
    kvTokens: promptTokens + spec.maxTokens,
    deadline: spec.deadline,
    duration: meters.estimateDuration(spec.model, promptTokens, spec.maxTokens),
  };
}
