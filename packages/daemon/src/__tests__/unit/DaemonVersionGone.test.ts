import { expect } from 'chai';
import type { Harness } from './DaemonHarness.js';
import {
  TEAM_KEY,
  createManifest,
  formatUrl,
  postJson,
  startHarness,
  waitUntil,
} from './DaemonHarness.js';

const TOKENS = 8000;
/** Longer than a test may run, and than the answer takes. */
const DEADLINE_MS = 100_000;

describe('An answer whose version is gone', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness(2);
  });
  afterEach(() => harness.stop());

  async function loadVersion(version: string): Promise<void> {
    await Promise.all(
      harness.engines.map(({ server, readLoad }) =>
        postJson(`${formatUrl(server.address)}/v1/orders`, {
          number: readLoad().orderNumber + 1,
          want: { ...readLoad().holding, version },
          validForMs: 1000,
        }),
      ),
    );
  }

  it('is ended with the truth once no engine holds the version or will hold it again', async () => {
    // Guards against callers that wait until their deadline for a version that another one has replaced.
    const answer = postJson(
      `${harness.daemons[0]?.callers}/v1/chat/completions`,
      {
        model: 'letters',
        messages: [{ role: 'user', content: `a long letter tokens=${TOKENS}` }],
        max_tokens: TOKENS,
      },
      { authorization: `Bearer ${TEAM_KEY}`, 'x-deadline-ms': String(DEADLINE_MS) },
    );
    await waitUntil(() => harness.engines.some(({ readLoad }) => readLoad().running > 0));
    await harness.callAdmin('/v1/manifest', {
      manifest: createManifest('v2'),
      submission_id: 'second',
    });
    await loadVersion('v2');
    const res = await answer;
    const body = (await res.json()) as { readonly run: string; readonly retry_after_ms: number };
    expect([res.status, body.run, body.retry_after_ms]).to.deep.equal([502, 'ran', 0]);
  });
});
