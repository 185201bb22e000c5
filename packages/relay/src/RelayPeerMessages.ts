/** What peers send each other, as it is checked when it arrives: a peer may be of another version, or broken. */
import { unpack } from 'msgpackr';
import * as z from 'zod/mini';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreItem } from '@skylarksail/store/StoreRange';
import type { MirrorChanges } from './RelayMirror.js';
import type { UpdateQuery } from './RelayUpdates.js';
import type { PeerUpdates } from './RelayPeers.js';
import { FanoutLevel } from './RelayFanout.js';
import type { BackendEntry } from './RelayTypes.js';
import type { ToldWork } from './RelayWork.js';

const count = z.number().check(z.nonnegative());

const engineWork = z.object({ engine: z.string(), calls: count, kvTokens: count });

const toldWork = z.object({ running: z.array(engineWork), lost: z.array(z.string()) });

const newsAsk = z.object({
  since: count,
  hold: count,
  level: z.enum(FanoutLevel),
  takesWhole: z.optional(z.boolean()),
  from: z.string(),
  work: toldWork,
});

const sentItem = z.union([
  z.object({ key: z.string(), value: z.string(), revision: count }),
  z.object({ key: z.string(), deflated: z.instanceof(Uint8Array), revision: count }),
]);

const changesShape = {
  isWhole: z.optional(z.boolean()),
  items: z.array(sentItem),
  removed: z.array(z.object({ key: z.string(), revision: count })),
  revision: count,
};

/** Instances of an earlier version did not say how old what they tell is. */
const peerNews = z.object({ ...changesShape, age: z.optional(z.nullable(count)) });

/** Changes of the store, with the work of the others. */
const newsMessage = z.object({
  changes: z.object(changesShape),
  age: z.optional(count),
  held: z.optional(count),
  others: toldWork,
});

const seenEntries = z.array(
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

/** An item as it is sent: its value as text, or compressed. */
export type WireItem =
  StoreItem | { readonly key: string; readonly revision: number; readonly deflated: Uint8Array };

/** Changes as they are sent. */
export interface WireChanges extends Omit<MirrorChanges, 'items'> {
  readonly items: readonly WireItem[];
}

/** What a peer beside the sources tells, as it is sent. */
export interface WirePeerUpdates extends WireChanges {
  readonly age: PeerUpdates['age'];
}

/** What a source tells, as it is sent. */
export interface WireUpdates extends Omit<UpdateContent, 'changes'> {
  readonly changes: WireChanges;
}

/** What a source tells, as it is used. */
export interface UpdateContent {
  readonly changes: MirrorChanges;
  /** Time since the source knew all that the store held, in ms. */
  readonly age: Millis;
  /** How long it held the question, in ms. */
  readonly held: Millis;
  /** What others of the source's domain tell. */
  readonly others: ToldWork;
}

/** Reads engines that a peer has seen; throws if they make no sense. */
export function readObservedMessage(body: Buffer): readonly BackendEntry[] {
  return seenEntries.parse(unpack(body));
}

/** Reads a question for news; null if it makes no sense. */
export function readUpdateQuery(body: Buffer): UpdateQuery | null {
  try {
    return { takesWhole: false, ...newsAsk.parse(unpack(body)) };
  } catch {
    // Nothing that such a peer says can be relied on; it is answered as if nobody were here.
    return null;
  }
}

/** Reads what a peer beside the sources told; throws if it makes no sense. */
export function readPeerMessage(body: Buffer): WirePeerUpdates {
  return { age: null, isWhole: false, ...peerNews.parse(unpack(body)) };
}

/** Reads what a source told; throws if it makes no sense. */
export function readUpdateMessage(body: Buffer): WireUpdates {
  const { changes, ...rest } = newsMessage.parse(unpack(body));
  return { age: 0, held: 0, ...rest, changes: { isWhole: false, ...changes } };
}
