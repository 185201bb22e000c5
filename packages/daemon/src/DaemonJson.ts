/** Reads JSON bodies of engines' short answers. */
import { collectBody } from '@skylarksail/core/CoreResponseTimeout';

/** Far more than a report or the answer to an order. */
const MAX_JSON_BYTES = 256 * 1024;

/** Parses a body; rejects if it is not JSON, or longer than any valid answer. */
export async function readJson(body: AsyncIterable<Uint8Array>): Promise<unknown> {
  const bytes = await collectBody(body, MAX_JSON_BYTES);
  return JSON.parse(bytes.toString('utf8'));
}
