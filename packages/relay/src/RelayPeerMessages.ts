/** What peers send each other, as it is checked when it arrives: a peer may be of another version, or broken. */
import { unpack } from 'msgpackr';
import * as z from 'zod/mini';
import type { NewsAsk } from './RelayNews.js';
import { NewsLevel } from './RelaySources.js';

const count = z.number().check(z.nonnegative());

const engineWork = z.object({ engine: z.string(), calls: count, kvTokens: count });

const toldWork = z.object({ running: z.array(engineWork), lost: z.array(z.string()) });

const newsAsk = z.object({
  since: count,
  hold: count,
  level: z.enum(NewsLevel),
  from: z.string(),
  work: toldWork,
});

const storeItem = z.object({ key: z.string(), value: z.string(), revision: count });

/** Changes of the store, with the work of the others. */
const newsContent = z.object({
  changes: z.object({
    items: z.array(storeItem),
    removed: z.array(z.object({ key: z.string(), revision: count })),
    revision: count,
  }),
  others: toldWork,
});

/** Reads a question for news; null if it makes no sense. */
export function readNewsAsk(body: Buffer): NewsAsk | null {
  try {
    return newsAsk.parse(unpack(body));
  } catch {
    // Nothing that such a peer says can be relied on; it is answered as if nobody were here.
    return null;
  }
}

/** Reads what a source told; throws if it makes no sense. */
export function readNewsContent(body: Buffer): z.infer<typeof newsContent> {
  return newsContent.parse(unpack(body));
}
