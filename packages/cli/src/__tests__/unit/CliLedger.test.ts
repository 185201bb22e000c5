import { expect } from 'chai';
import { createLedger } from '../../CliLedger.js';
import { drawLedger } from '../../LedgerPlot.js';
import type { LogLine } from '../../LedgerRequests.js';

const START = 1_000_000;

/** Creates the decision lines of a request at an instance, 100 ms apart. */
function createLines(request: string, instance: string, at: number, decisions: readonly LogLine[]) {
  return decisions.map((fields, i) => ({
    time: START + at + i * 100,
    instance,
    request,
    msg: 'decision',
    ...fields,
  }));
}

function createStartLine(instance: string, domain: string): LogLine {
  return { time: START, instance, msg: 'started', settings: { domain } };
}

const ROUTED = { decision: 'routed' };
const NO_CHAIN = { decision: 'no-chain-found', reason: 'cut-off' };
const FULL = { decision: 'attempt-failed', reason: 'stage not-run e4' };
const SILENT = { decision: 'attempt-failed', reason: 'silence ran-in-part e4' };
const BUDGET = { decision: 'wait', reason: 'retry budget' };
const ANSWERED = { decision: 'answered', events: 5, firstMs: 40, longestPauseMs: 50 };

const LINES: readonly LogLine[] = [
  createStartLine('i1', 'd1'),
  createStartLine('i2', 'd2'),
  { time: START, instance: 'i1', msg: 'layers held', domain: 'd1', missing: 0 },
  { time: START + 1000, instance: 'i1', msg: 'layers held', domain: 'd1', missing: 4 },
  ...createLines('a/1', 'i1', 0, [ROUTED, ANSWERED]),
  ...createLines('b/1', 'i1', 100, [ROUTED, { decision: 'complete', reason: '200' }]),
  ...createLines('c/1', 'i1', 1000, [
    ROUTED,
    NO_CHAIN,
    { decision: 'refused', reason: 'no-chain not-run' },
  ]),
  ...createLines('d/1', 'i1', 1100, [
    ROUTED,
    FULL,
    BUDGET,
    { decision: 'refused', reason: 'hung-up not-run' },
  ]),
  ...createLines('e/1', 'i2', 1200, [ROUTED, SILENT, { ...ANSWERED, lateBy: 'pause' }]),
  ...createLines('f/1', 'i2', 1300, [ROUTED, { decision: 'broken-off', reason: 'draining' }]),
  ...createLines('g/1', 'i2', 1400, [ROUTED, FULL]),
  ...createLines('k/1', 'i2', 1450, [ROUTED, { decision: 'refused', reason: 'hung-up not-run' }]),
  ...createLines('l/1', 'i2', 1460, [ROUTED, { decision: 'refused', reason: 'deadline unknown' }]),
  ...createLines('h/1', 'i2', 1500, [{ decision: 'refused', status: 404, reason: 'no route' }]),
];

describe('CliLedger', () => {
  it('counts each request that was not on time once, under one end and one cause', () => {
    const ledger = createLedger([...LINES].reverse());
    expect([ledger.requests, ledger.lost]).to.deep.equal([9, 7]);
    expect(ledger.rows.map(({ end, cause }) => `${end}: ${cause}`)).to.have.members([
      'refused: no whole chain',
      'refused: waited for the retry budget',
      'late by a pause: engine lost or silent',
      'broken off: instance stopping',
      'end not told: refused by an engine',
      'refused: its caller left',
      'refused: its deadline passed',
    ]);
    expect(ledger.rows.reduce((sum, { requests }) => sum + requests, 0)).to.equal(ledger.lost);
    expect(ledger.rows.reduce((sum, { share }) => sum + share, 0)).to.be.closeTo(7 / 9, 1e-9);
  });

  it('reports the share on time and the layer coverage of each domain in each second', () => {
    const { seconds } = createLedger(LINES);
    const first = seconds.filter(({ domain }) => domain === 'd1');
    expect(first.map(({ onTime }) => onTime)).to.deep.equal([1, 0]);
    expect(first.map(({ isWhole }) => isWhole)).to.deep.equal([true, false]);
    expect(seconds.find(({ domain }) => domain === 'd2')).to.deep.include({
      onTime: null,
      isWhole: null,
    });
  });

  it('draws a row for each domain', async () => {
    const svg = await drawLedger(createLedger(LINES).seconds);
    expect(svg).to.match(/^<svg/);
    expect(svg).to.contain('d1: share').and.to.contain('d2: share');
  });

  it('reads logs with more requests than a function call accepts arguments', () => {
    const many = Array.from({ length: 200_000 }, (_, i) =>
      createLines(`m${i}/1`, 'i1', i % 500, [ROUTED]),
    );
    expect(createLedger(many.flat()).lost).to.equal(200_000);
  });

  it('returns an empty ledger for logs without a request', () => {
    expect(createLedger([createStartLine('i1', 'd1')])).to.deep.include({
      requests: 0,
      lost: 0,
      rows: [],
    });
  });
});
