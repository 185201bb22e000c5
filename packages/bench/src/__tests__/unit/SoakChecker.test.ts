import { expect } from 'chai';
import type { SoakEvidence, SoakProcess, SoakRecord } from '../../SoakChecker.js';
import { checkSoak, SoakOutcome } from '../../SoakChecker.js';
import { planSoak, SoakFaultKind } from '../../SoakPlan.js';

const LAYERS = 2;

function createRecord(change: Partial<SoakRecord> = {}): SoakRecord {
  return {
    processId: 'd#0',
    outcome: SoakOutcome.Answered,
    startedAt: 0,
    endedAt: 1000,
    tokens: 0,
    requestId: 'r',
    run: null,
    key: null,
    detail: '',
    ...change,
  };
}

function createProcess(change: Partial<SoakProcess> = {}): SoakProcess {
  const ended = { stopAt: 5000, killAt: null, endedAt: 6000, end: '0' };
  return { id: 'd#0', ...ended, ...change };
}

function check(change: Partial<SoakEvidence>): readonly string[] {
  return checkSoak({
    records: [],
    processes: [createProcess()],
    effects: [],
    passes: [],
    layers: LAYERS,
    revisions: { told: [], last: [], accepted: 1 },
    grace: 20_000,
    ...change,
  });
}

function createEffect(key: string) {
  return { request: 'r', attempt: 1, method: 'POST', path: '/receipts', key };
}

describe('SoakChecker', () => {
  it('reports no violation for a correct soak', () => {
    const records = [
      createRecord(),
      createRecord({ key: 'k' }),
      createRecord({ outcome: SoakOutcome.Refused, run: 'not-run' }),
    ];
    expect(check({ records, effects: [createEffect('k')] })).to.deep.equal([]);
  });

  it('reports each kind of violation', () => {
    const cut = createRecord({ outcome: SoakOutcome.Cut });
    const silent = createRecord({ outcome: SoakOutcome.Unanswered });
    const receipt = createRecord({ key: 'k' });
    const notRun = createRecord({ key: 'k', outcome: SoakOutcome.Refused, run: 'not-run' });
    const revisions = { told: [], last: [{ processId: 'd#0', revision: 2 }], accepted: 3 };
    const back = [3, 2].map((revision) => ({ processId: 'd#0', revision }));
    const pass = { request: 'r', attempt: 1, token: 0, engine: 'e', at: 1 };
    const broken: readonly [string, Partial<SoakEvidence>][] = [
      ['wrong answer', { records: [createRecord({ outcome: SoakOutcome.Wrong })] }],
      ['answer cut', { records: [cut] }],
      ['answer cut', { records: [{ ...cut, endedAt: 5500 }] }],
      ['no word', { records: [silent] }],
      ['carried out 2 times', { records: [receipt], effects: ['k', 'k'].map(createEffect) }],
      ['answered and not carried out', { records: [receipt] }],
      ['told "not run" and carried out', { records: [notRun], effects: [createEffect('k')] }],
      ['daemon ended by itself', { processes: [createProcess({ stopAt: null, end: '1' })] }],
      ['stop took too long', { processes: [createProcess({ endedAt: 26_000 })] }],
      ['stop ended with 1', { processes: [createProcess({ end: '1' })] }],
      ['revision 3 not in force', { revisions }],
      ['went back to revision 2', { revisions: { told: back, last: [], accepted: 2 } }],
      [
        'layers of r',
        {
          records: [createRecord({ tokens: 1 })],
          passes: [{ ...pass, layers: { first: 1, end: 2 } }],
        },
      ],
    ];
    for (const [name, change] of broken) {
      const found = check(change);
      expect(found, name).to.have.length(1);
      expect(found[0]).to.include(name);
    }
  });

  it('allows connections closed by a kill, and unanswered requests during a stop', () => {
    const killed = createProcess({ stopAt: null, killAt: 900, endedAt: 910, end: 'SIGKILL' });
    const cut = createRecord({ outcome: SoakOutcome.Cut });
    const silent = createRecord({ outcome: SoakOutcome.Unanswered });
    expect(check({ records: [cut, silent], processes: [killed] })).to.deep.equal([]);
    expect(check({ records: [{ ...silent, endedAt: 5100 }] })).to.deep.equal([]);
  });
});

describe('SoakPlan', () => {
  it('draws the same plan for a seed, with every kind of fault, sequential and overlapping', () => {
    const options = { seed: 5, time: 600_000, daemonsPerDomain: 1 };
    const { faults } = planSoak(options);
    expect(planSoak(options).faults).to.deep.equal(faults);
    expect(new Set(faults.map(({ kind }) => kind)).size).to.equal(
      Object.keys(SoakFaultKind).length,
    );
    const gaps = faults.slice(1).map(({ at }, i) => at - (faults[i]?.at ?? 0));
    expect(gaps.filter((gap) => gap < 200).length).to.be.greaterThan(faults.length / 4);
    expect(Math.max(...faults.map(({ at }) => at))).to.be.below(600_000 - 3000);
  });
});
