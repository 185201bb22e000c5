import { expect } from 'chai';
import { pino } from 'pino';
import { blockWhileClientsLeave, waitUntilRead } from '../BlockedLoop.js';
import type { Harness } from './DaemonHarness.js';
import { TEAM_KEY, postJson, startHarness } from './DaemonHarness.js';

const CALLERS = 20;
const PATH = '/services/accounts/receipts';
const REQUEST = [
  `POST ${PATH} HTTP/1.1`,
  'Host: h',
  `Authorization: Bearer ${TEAM_KEY}`,
  'Content-Type: application/json',
  'Content-Length: 2',
  '',
  '{}',
].join('\r\n');

describe('DaemonLeftCallers', () => {
  let harness: Harness;
  let chosen = 0;

  before(async () => {
    const write = (line: string): void => {
      chosen += (JSON.parse(line) as { decision?: string }).decision === 'server' ? 1 : 0;
    };
    harness = await startHarness(1, { logger: pino({ level: 'info' }, { write }) });
  });
  after(() => harness.stop());

  it('begins no call of a caller that had left when it could be read', async () => {
    // Guards against calls for nobody, which are begun in the turn of the event loop before the one that reads their close.
    const callers = harness.daemons[0]?.callers ?? '';
    const port = Number(new URL(callers).port);
    blockWhileClientsLeave(port, REQUEST, CALLERS);
    await waitUntilRead(port);
    const answer = await postJson(`${callers}${PATH}`, {}, { authorization: `Bearer ${TEAM_KEY}` });
    expect([answer.status, chosen]).to.deep.equal([200, 1]);
  });
});
