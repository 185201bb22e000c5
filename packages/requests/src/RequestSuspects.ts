/**
 * Names what a request shares with others and what may crash the engines that run it: the request as a whole, which its
 * caller may send again, and each part of its prompt that unlike requests have in common. If requests were known as wholes
 * only, a part that crashes engines would cost one engine with each request that holds it.
 */
import { hash64Hex } from '@skylarksail/core/CoreHash';
import type { ModelId, TeamId } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from './RequestPoison.js';

/** Name of a part of a prompt, the same for all teams. */
export type PartName = string;

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly name: PartName;
  /** Its id as the caller gave it, cut to a length that fits a log line. */
  readonly label: string;
}

/** Everything by which a request is suspected of crashing engines. */
export interface RequestSuspects {
  readonly request: Fingerprint;
  /** Empty for calls to plain services, and for requests whose caller names no parts. */
  readonly parts: readonly PromptPart[];
}

/** Parts of one request that are told apart; a caller may name thousands. */
export const MAX_PARTS = 32;
const MAX_LABEL_CHARACTERS = 32;
const PART_PREFIX = 'p:';

/** Names the parts of a model's prompt by the ids that the caller gave them. All beyond a number count as one part of the team. */
export function createPromptParts(
  team: TeamId,
  model: ModelId,
  ids: readonly string[],
): readonly PromptPart[] {
  const distinct = [...new Set(ids)];
  const isLong = distinct.length > MAX_PARTS;
  const parts = distinct
    .slice(0, isLong ? MAX_PARTS - 1 : MAX_PARTS)
    .map((id) => createPart(`${model}\u0000${id}`, id));
  return isLong
    ? [...parts, createPart(`${model}\u0000${team}\u0000`, 'all further parts')]
    : parts;
}

function createPart(content: string, label: string): PromptPart {
  return {
    name: `${PART_PREFIX}${hash64Hex(content)}`,
    label: label.slice(0, MAX_LABEL_CHARACTERS),
  };
}

/** Whether a name is of a part of a prompt, not of a whole request. */
export function isPartName(name: string): boolean {
  return name.startsWith(PART_PREFIX);
}
