/** Validation of messages between peers: the sender may have another version, or be faulty. */
import { pack, unpack } from 'msgpackr';
import * as z from 'zod/mini';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { MirrorChanges } from './RelayMirror.js';
import type { UpdateQuery } from './RelayUpdates.js';
import type { PeerUpdates } from './RelayPeers.js';
import { FanoutLevel } from './RelayFanout.js';
import type { PermitAnswer, PermitQuery } from './RelayLimits.js';
import type { WireRevision } from './RelayPeerRevisions.js';
import { readRevision, revisionShape, splitRevision } from './RelayPeerRevisions.js';
import type { BackendEntry } from './RelayTypes.js';
import type { RoomReport, WorkReport } from './RelayWork.js';

const count = z.number().check(z.nonnegative());

/** A message whose optional part is malformed is read without it: it must not delay changes of the store. */
function optionalPart<T extends z.core.$ZodType>(part: T) {
  return z.catch(z.optional(part), undefined);
}

const engineWork = z.object({
  engine: z.string(),
  calls: count,
  kvTokens: count,
  prefillTokens: optionalPart(count),
});

const reportedWork = z.object({
  running: z.array(engineWork),
  lost: z.array(z.string()),
  teams: optionalPart(z.array(z.object({ team: z.string(), kvTokens: count }))),
  slow: optionalPart(z.array(z.object({ engine: z.string(), factor: count }))),
});

/** Absurd numbers pass here, since `RelayRooms` ignores and logs them. */
const uncheckedCount = z.custom<number>((value) => typeof value === 'number');

const reportedRoom = z.object({
  domain: z.string(),
  model: z.string(),
  capacity: uncheckedCount,
  used: uncheckedCount,
  age: uncheckedCount,
  abroad: z.optional(z.array(z.object({ domain: z.string(), used: uncheckedCount }))),
});

const reportedRooms = optionalPart(z.array(reportedRoom));

const updateQuery = z.object({
  since: revisionShape.revision,
  era: revisionShape.era,
  hold: count,
  level: z.enum(FanoutLevel),
  takesWhole: z.optional(z.boolean()),
  from: z.string(),
  work: reportedWork,
  rooms: reportedRooms,
});

const wireItem = z.union([
  z.object({ key: z.string(), value: z.string(), ...revisionShape }),
  z.object({ key: z.string(), deflated: z.instanceof(Uint8Array), ...revisionShape }),
]);

const changesShape = {
  isWhole: z.optional(z.boolean()),
  items: z.array(wireItem),
  removed: z.array(z.object({ key: z.string(), ...revisionShape })),
  ...revisionShape,
};

/** Instances of an earlier version send no age. */
const peerUpdates = z.object({ ...changesShape, age: z.optional(z.nullable(count)) });

/** Changes of the store, with the work that other instances reported. */
const updateMessage = z.object({
  changes: z.object(changesShape),
  age: z.optional(count),
  held: z.optional(count),
  others: reportedWork,
  rooms: reportedRooms,
});

const limitNews = { limit: z.nullable(count), age: count };

const permitQuery = z.object({ ...limitNews, server: z.string(), wanted: count });

const permitAnswer = z.object({ ...limitNews, count });

const names = z.array(z.string());

const crashDigest = z.object({
  reports: z.array(
    z.object({
      crash: z.string(),
      age: count,
      disproven: z.boolean(),
      suspects: names,
      cleared: names,
      completed: names,
      // Instances of an earlier version send no parts.
      parts: z.optional(names),
      begunParts: z.optional(names),
    }),
  ),
});

const observedEntries = z.array(
  z.object({
    id: z.string(),
    server: z.string(),
    born: z.nullable(z.number()),
    service: z.string(),
    address: z.object({ host: z.string(), port: count }),
    domain: z.string(),
    state: z.enum(LifeState),
    accelerator: z.nullable(z.string()),
    layers: z.nullable(z.object({ first: count, end: count })),
  }),
);

/** Item on the wire, with its value as text or compressed. */
export type WireItem = { readonly key: string } & WireRevision &
  ({ readonly value: string } | { readonly deflated: Uint8Array });

/** Changes on the wire. */
export interface WireChanges extends WireRevision {
  readonly isWhole: boolean;
  readonly items: readonly WireItem[];
  readonly removed: readonly ({ readonly key: string } & WireRevision)[];
}

/** Answer of a peer other than the sources, on the wire. */
export interface WirePeerUpdates extends WireChanges {
  readonly age: PeerUpdates['age'];
}

/** Answer of an update source, on the wire. */
export interface WireUpdates extends Omit<UpdateContent, 'changes'> {
  readonly changes: WireChanges;
}

/** Decoded answer of an update source. */
export interface UpdateContent {
  readonly changes: MirrorChanges;
  /** Time since the source was in sync with the store, in ms. */
  readonly age: Millis;
  /** How long it delayed the answer, in ms. */
  readonly held: Millis;
  /** Work that other instances of the source's domain reported. */
  readonly others: WorkReport;
  /** Memory of the domains that the source knows of; sources of an earlier version send none. */
  readonly rooms?: readonly RoomReport[];
}

/** Reads engines that a peer observed; throws if the message is invalid. */
export function readObservedMessage(body: Buffer): readonly BackendEntry[] {
  return observedEntries.parse(unpack(body));
}

/** Reads a request for permits; null if it is invalid. */
export function readPermitQuery(body: Buffer): PermitQuery | null {
  return permitQuery.safeParse(unpackOrNull(body)).data ?? null;
}

/** Reads an issuer's answer; null if it is invalid. */
export function readPermitAnswer(body: Buffer): PermitAnswer | null {
  return permitAnswer.safeParse(unpackOrNull(body)).data ?? null;
}

/** Reads crash reports; null if they are invalid. */
export function readCrashReports(body: Buffer): PoisonDigest | null {
  return crashDigest.safeParse(unpackOrNull(body)).data ?? null;
}

function unpackOrNull(body: Buffer): unknown {
  try {
    return unpack(body);
  } catch {
    return null;
  }
}

/** Encodes a query for updates. */
export function packUpdateQuery({ since, ...query }: UpdateQuery): Buffer {
  const { revision, ...era } = splitRevision(since);
  return pack({ ...query, since: revision, ...era });
}

/** Reads a query for updates; null if it is invalid. */
export function readUpdateQuery(body: Buffer): UpdateQuery | null {
  try {
    const { since, era, ...query } = updateQuery.parse(unpack(body));
    return { takesWhole: false, ...query, since: readRevision({ revision: since, era }) };
  } catch {
    // Such a peer cannot be relied on; it gets the answer of an unknown path.
    return null;
  }
}

/** Reads the answer of a peer other than the sources; throws if it is invalid. */
export function readPeerMessage(body: Buffer): WirePeerUpdates {
  return { age: null, isWhole: false, ...peerUpdates.parse(unpack(body)) };
}

/** Reads the answer of an update source; throws if it is invalid. */
export function readUpdateMessage(body: Buffer): WireUpdates {
  const { changes, ...rest } = updateMessage.parse(unpack(body));
  return { age: 0, held: 0, ...rest, changes: { isWhole: false, ...changes } };
}
