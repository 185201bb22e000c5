/** What a guard of connections knows of each. */
import type { ServerResponse } from 'node:http';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { BodyReader } from './ConnectionBodies.js';
import type { ConnectionStream } from './ConnectionStream.js';
import type { ConnectionEntry } from './ConnectionTable.js';

/** A guarded connection. */
export interface Guarded extends ConnectionEntry {
  readonly stream: ConnectionStream;
  /** The body that is being read. */
  body: OpenBody | null;
}

/** A request whose answer is due. */
export interface GuardedRequest {
  readonly res: ServerResponse;
  /** Memory that its body takes. */
  bodyBytes: number;
}

/** A body that is being read. */
export interface OpenBody {
  readonly reader: BodyReader;
  readonly announced: number | null;
  readonly tcpBytesBefore: number;
  readonly giveUpAt: Millis;
}
