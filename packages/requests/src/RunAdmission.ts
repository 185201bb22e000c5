/** What a model request asks of admission. */
import type { AdmissionRequest } from './RequestAdmission.js';
import type { RequestSpec } from './RequestTypes.js';
import { getPromptTokens } from './RequestTypes.js';
import type { RouterMeters } from './RouterMeters.js';

/** Prompts weigh this part of what generated tokens do. */
const PROMPT_COST = 1 / 8;

/** The work, the memory and the time that a request will take. */
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
