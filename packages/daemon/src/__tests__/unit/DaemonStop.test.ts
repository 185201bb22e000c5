import { expect } from 'chai';
import { computeAnswer, renderPrompt } from '@skylarksail/stand-ins/StandInModel';
import type { Harness, HarnessDaemon } from './DaemonHarness.js';
import { TEAM_KEY, postJson, startHarness, waitUntil } from './DaemonHarness.js';

const AUTH = { authorization: `Bearer ${TEAM_KEY}` };
const TOKENS = 80;
const MESSAGES = [{ role: 'user', content: `a long letter tokens=${TOKENS}` }];
const EXPECTED_ANSWER = computeAnswer(renderPrompt(MESSAGES), 256).text;

async function readChat(daemon: HarnessDaemon | undefined): Promise<string> {
  const res = await postJson(
    `${daemon?.callers}/v1/chat/completions`,
    { model: 'letters', messages: MESSAGES },
    AUTH,
  );
  const body = (await res.json()) as { choices?: { message: { content: string } }[] };
  return body.choices?.[0]?.message.content ?? `status ${res.status}`;
}

describe('DaemonStop', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness(2);
  });
  afterEach(() => harness.stop());

  // Guards against answers that break off at each deployment: a graceful stop begins while requests
  // run and the load balancer still sends new ones, and the instance closes before the balancer lag
  // is over or before its running requests have ended.
  it('reports not ready at once, serves during the balancer lag and completes running requests', async () => {
    const [, stopping] = harness.daemons;
    const early = [1, 2, 3].map(() => readChat(stopping));
    await waitUntil(() => harness.engines.some(({ readLoad }) => readLoad().running > 0));
    const stopped = stopping?.app.stop();
    const readiness = await fetch(`${stopping?.admin}/readyz`);
    const late = readChat(stopping);
    expect(readiness.status).to.equal(503);
    expect(await Promise.all([...early, late])).to.deep.equal(Array(4).fill(EXPECTED_ANSWER));
    await stopped;
    expect(await readChat(harness.daemons[0])).to.equal(EXPECTED_ANSWER);
  });

  // Guards against a call that is executed twice: an instance executes a call with an idempotency
  // key and stops, and the caller sends it again to another instance. The owner of the key's claim
  // slot must have a record of the outcome, not only the first instance.
  it('answers a repeated call at another instance after the first one has stopped', async () => {
    const post = (daemon: HarnessDaemon | undefined): Promise<Response> =>
      postJson(
        `${daemon?.callers}/services/accounts/receipts`,
        { amount: 5 },
        {
          ...AUTH,
          'idempotency-key': 'gone-1',
        },
      );
    const [first, second] = harness.daemons;
    await (await post(first)).json();
    await first?.app.stop();
    const again = await post(second);
    const body = (await again.json()) as Record<string, unknown>;
    expect(again.status === 200 || body.run === 'ran' || body.run === 'unknown').to.equal(true);
    expect(harness.service.ledger.read().entries).to.have.length(1);
  });

  // Guards against new work that is sent to an engine which is about to stop, and is aborted there:
  // the engine reports that it is leaving before the platform's list shows it. Its own report must be
  // enough, for every instance.
  it('sends no new work to an engine once it reports that it is leaving', async () => {
    const leaving = harness.engines[0];
    if (!leaving) {
      throw new Error('no engine');
    }
    await harness.setFault(leaving.server.address, { kind: 'leaving' });
    await waitUntil(async () => {
      const statuses = await Promise.all(harness.daemons.map(readLiveEngines));
      return statuses.every((live) => live === harness.engines.length - 1);
    });
    leaving.ledger.clear();
    const answers = await Promise.all(
      harness.daemons.flatMap((daemon) => [1, 2, 3, 4].map(() => readChat(daemon))),
    );
    expect(answers).to.deep.equal(Array(8).fill(EXPECTED_ANSWER));
    expect(leaving.ledger.read().entries).to.deep.equal([]);
  });

  async function readLiveEngines({ admin }: HarnessDaemon): Promise<number> {
    const res = await fetch(`${admin}/v1/status`, {
      headers: { authorization: 'Bearer test-operator' },
    });
    return ((await res.json()) as { engines: { live: number } }).engines.live;
  }
});
