import { expect } from 'chai';
import { computeAnswer, renderPrompt } from '@skylarksail/stand-ins/StandInModel';
import type { Harness, HarnessDaemon } from './DaemonHarness.js';
import { TEAM_KEY, postJson, startHarness, waitUntil } from './DaemonHarness.js';

const AUTH = { authorization: `Bearer ${TEAM_KEY}` };
const TOKENS = 80;
const MESSAGES = [{ role: 'user', content: `a long letter tokens=${TOKENS}` }];
const RIGHT_ANSWER = computeAnswer(renderPrompt(MESSAGES), 256).text;

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

  // Symptom: callers see streams cut off at each deployment.
  // Sequence: a planned stop begins while answers are under way and the balancer still sends new ones.
  // Cause: closing before the lag is over, or before what runs has ended.
  it('serves through the lag, ends what runs, and is not ready from the start', async () => {
    const [, stopping] = harness.daemons;
    const early = [1, 2, 3].map(() => readChat(stopping));
    await waitUntil(() => harness.engines.some(({ readLoad }) => readLoad().running > 0));
    const stopped = stopping?.app.stop();
    const readiness = await fetch(`${stopping?.admin}/readyz`);
    const late = readChat(stopping);
    expect(readiness.status).to.equal(503);
    expect(await Promise.all([...early, late])).to.deep.equal(Array(4).fill(RIGHT_ANSWER));
    await stopped;
    expect(await readChat(harness.daemons[0])).to.equal(RIGHT_ANSWER);
  });

  // Symptom: a second statement is sent after its caller was told nothing.
  // Sequence: a keyed call is carried out by an instance that then goes; its caller resends to another.
  // Cause: an answer known to one instance only. The owner of the key's slot must know the outcome.
  it('answers a resend to another instance after the first one has gone', async () => {
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

  // Symptom: an engine that is being replaced gets new work until it goes, and cuts it off.
  // Sequence: the engine reports that it leaves; the platform's list does not say so yet.
  // Cause: waiting for the list. The engine's own word must be enough, for every instance.
  it('gives a leaving engine no new work once its report says so', async () => {
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
    expect(answers).to.deep.equal(Array(8).fill(RIGHT_ANSWER));
    expect(leaving.ledger.read().entries).to.deep.equal([]);
  });

  async function readLiveEngines({ admin }: HarnessDaemon): Promise<number> {
    const res = await fetch(`${admin}/v1/status`, {
      headers: { authorization: 'Bearer test-operator' },
    });
    return ((await res.json()) as { engines: { live: number } }).engines.live;
  }
});
