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

/** Name of a part in the prompt of one request: that of the part, and tags of the team and the request. */
export type PartSuspect = string;

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly name: PartName;
  readonly suspect: PartSuspect;
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
const SEPARATOR = '.';
/** Digits of the hashes in names: reports list many names, and only hundreds are known at a time. */
const NAME_DIGITS = 12;
const TAG_DIGITS = 4;

/** A request by which suspects are named. */
export interface SuspectedRequest {
  readonly team: TeamId;
  readonly model: ModelId;
  /** Ids of the shared parts of its prompt, as the caller gave them. */
  readonly partIds: readonly string[];
}

/** Names all by which a request is suspected. The parts beyond a number count as one part of the team. */
export function createSuspects(
  request: Fingerprint,
  { team, model, partIds }: SuspectedRequest,
): RequestSuspects {
  const distinct = [...new Set(partIds)];
  const isLong = distinct.length > MAX_PARTS;
  const holder = [team, request].map(createTag).join(SEPARATOR);
  const parts = distinct
    .slice(0, isLong ? MAX_PARTS - 1 : MAX_PARTS)
    .map((id) => createPart(`${model}\u0000${id}`, id, holder));
  return {
    request,
    parts: isLong
      ? [...parts, createPart(`${model}\u0000${team}\u0000`, 'all further parts', holder)]
      : parts,
  };
}

function createTag(text: string): string {
  return hash64Hex(text).slice(0, TAG_DIGITS);
}

function createPart(content: string, label: string, holder: string): PromptPart {
  const name = `${PART_PREFIX}${hash64Hex(content).slice(0, NAME_DIGITS)}`;
  return {
    name,
    suspect: `${name}${SEPARATOR}${holder}`,
    label: label.slice(0, MAX_LABEL_CHARACTERS),
  };
}

/** Whether a name is of a part of a prompt, not of a whole request. */
export function isPartName(name: string): boolean {
  return name.startsWith(PART_PREFIX);
}

/** Returns the name of a part, whichever team's request holds it. */
export function getPartName(suspect: PartSuspect): PartName {
  return suspect.split(SEPARATOR)[0] ?? suspect;
}

/** Returns the tag of the team whose request holds a part. */
export function getTeamTag(suspect: PartSuspect): string {
  return suspect.split(SEPARATOR)[1] ?? '';
}

/** Returns the tag of the request that holds a part. */
export function getRequestTag(suspect: PartSuspect): string {
  return suspect.split(SEPARATOR)[2] ?? '';
}
