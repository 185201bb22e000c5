import { expect } from 'chai';
import OpenAI from 'openai';
import { computeAnswer, renderPrompt } from '@skylarksail/stand-ins/StandInModel';
import type { Harness } from './DaemonHarness.js';
import { OTHER_TEAM_KEY, TEAM_KEY, postJson, startHarness } from './DaemonHarness.js';

const MESSAGES = [{ role: 'user' as const, content: 'Write the monthly letter, tokens=12' }];
const EXPECTED_ANSWER = computeAnswer(renderPrompt(MESSAGES), 256).text;

describe('DaemonCallers', () => {
  let harness: Harness;
  let callers: string;
  let client: OpenAI;

  before(async () => {
    harness = await startHarness();
    callers = harness.daemons[0]?.callers ?? '';
    client = new OpenAI({ apiKey: TEAM_KEY, baseURL: `${callers}/v1`, maxRetries: 0 });
  });
  after(() => harness.stop());

  it('serves the OpenAI client library: models, whole and streamed answers, and adapters', async () => {
    const models = await client.models.list();
    expect(models.data.map(({ id }) => id)).to.deep.equal(['letters', 'letters:monthly']);

    const whole = await client.chat.completions.create({ model: 'letters', messages: MESSAGES });
    expect(whole.choices[0]?.message.content).to.equal(EXPECTED_ANSWER);
    expect(whole.choices[0]?.finish_reason).to.equal('stop');
    expect(whole.usage?.completion_tokens).to.equal(12);

    const stream = await client.chat.completions.create({
      model: 'letters:monthly',
      messages: MESSAGES,
      stream: true,
      max_completion_tokens: 5,
      stream_options: { include_usage: true },
    });
    let text = '';
    let reason: string | null = null;
    let tokens = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      reason = chunk.choices[0]?.finish_reason ?? reason;
      tokens = chunk.usage?.completion_tokens ?? tokens;
    }
    expect(text).to.equal(computeAnswer(renderPrompt(MESSAGES), 5).text);
    expect({ reason, tokens }).to.deep.equal({ reason: 'length', tokens: 5 });

    const legacy = await client.completions.create({ model: 'letters', prompt: 'note tokens=3' });
    expect(legacy.choices[0]?.text).to.equal(computeAnswer('note tokens=3', 256).text);
  });

  it('returns errors that the client library recognizes', async () => {
    const asked = client.chat.completions.create({ model: 'nothing', messages: MESSAGES });
    const err = await asked.then(
      () => null,
      (thrown: unknown) => thrown,
    );
    expect(err).to.be.instanceOf(OpenAI.NotFoundError);
  });

  it('gives one error for a model that the team may not use and one that does not exist', async () => {
    const ask = { messages: MESSAGES, stream: false };
    const hidden = await postChat({ ...ask, model: 'hidden' });
    const absent = await postChat({ ...ask, model: 'absent' });
    expect(await describe(hidden)).to.deep.equal(await describe(absent));
    expect(hidden.status).to.equal(404);
  });

  it('runs a call once per idempotency key and team, and repeats its answer', async () => {
    const post = (key: string, body: unknown): Promise<Response> =>
      postJson(`${callers}/services/accounts/receipts`, body, {
        authorization: `Bearer ${key}`,
        'idempotency-key': 'receipt-7',
      });
    const first = await (await post(TEAM_KEY, { amount: 5 })).json();
    const again = await (await post(TEAM_KEY, { amount: 5 })).json();
    expect(again).to.deep.equal(first);
    const otherContent = await post(TEAM_KEY, { amount: 6 });
    expect(await describe(otherContent)).to.include({
      type: 'urn:skylarksail:problem:key-mismatch',
      run: 'not-run',
    });
    const otherTeam = await (await post(OTHER_TEAM_KEY, { amount: 5 })).json();
    expect(otherTeam).to.not.deep.equal(first);
    const receipts = harness.service.ledger
      .read()
      .entries.filter(({ path }) => path === '/receipts');
    expect(receipts).to.have.length(2);
  });

  // Guards against a request fingerprint of the prompt alone: a request with an adapter that reuses
  // the idempotency key of one without it would get the answer made without the adapter.
  it('treats another adapter under the same idempotency key as another request', async () => {
    const post = (model: string): Promise<Response> =>
      postJson(
        `${callers}/v1/chat/completions`,
        { model, messages: MESSAGES },
        { authorization: `Bearer ${TEAM_KEY}`, 'idempotency-key': 'letter-9' },
      );
    expect((await post('letters')).status).to.equal(200);
    expect((await post('letters')).status).to.equal(200);
    const other = await post('letters:monthly');
    expect(await describe(other)).to.include({ type: 'urn:skylarksail:problem:key-mismatch' });
  });

  async function describe(res: Response): Promise<Record<string, unknown>> {
    const { request_id: id, ...rest } = (await res.json()) as Record<string, unknown>;
    expect(id).to.be.a('string');
    return rest;
  }

  function postChat(body: unknown): Promise<Response> {
    return postJson(`${callers}/v1/chat/completions`, body, {
      authorization: `Bearer ${TEAM_KEY}`,
    });
  }
});
