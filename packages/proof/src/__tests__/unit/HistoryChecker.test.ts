import { expect } from 'chai';
import { checkHistory } from '../../HistoryChecker.js';
import type { HistoryEvent, HistoryRuleName, SubmittedEvent } from '../../HistoryTypes.js';
import { HistoryRule } from '../../HistoryTypes.js';

/** An event at a time, as the histories below are written. */
function submit(request: string, more: Partial<SubmittedEvent> = {}): SubmittedEvent {
  return {
    kind: 'submitted',
    at: 100,
    request,
    instance: 'a',
    work: 'model',
    key: null,
    idempotent: true,
    expected: ['x', 'y'],
    promptTokens: 5,
    layerCount: 8,
    deadline: 5000,
    ...more,
  };
}

/** Token `index` of a request, with its frame and its way through both stages. */
function produce(request: string, index: number, token: string, attempt = 1): HistoryEvent[] {
  const at = 200 + index;
  const end = 5 + index;
  return [
    { kind: 'pass', at, request, attempt, end, layers: { first: 0, end: 4 } },
    { kind: 'pass', at, request, attempt, end, layers: { first: 4, end: 8 } },
    { kind: 'frame', at, request, attempt, index },
    { kind: 'token', at, request, index, token },
  ];
}

function answer(request: string, at = 300): HistoryEvent {
  return { kind: 'answered', at, request };
}

function fail(request: string, problem: string, run: 'not-run' | 'unknown' | 'ran', at = 300) {
  return { kind: 'failed' as const, at, request, problem, run };
}

function start(instance: string, at = 0): HistoryEvent {
  return { kind: 'instance-started', at, instance };
}

const END: HistoryEvent = { kind: 'end', at: 30_000 };
const GOOD: readonly HistoryEvent[] = [
  start('a'),
  { kind: 'accepted', at: 10, revision: 1 },
  { kind: 'in-force', at: 20, instance: 'a', revision: 1 },
  submit('r1'),
  ...produce('r1', 0, 'x'),
  ...produce('r1', 1, 'y'),
  answer('r1'),
  submit('r2', { key: 'k', idempotent: false, work: 'service', expected: ['z'] }),
  { kind: 'effect', at: 200, request: 'r2' },
  { kind: 'token', at: 201, request: 'r2', index: 0, token: 'z' },
  answer('r2'),
  submit('r3', { at: 400, expected: ['x'] }),
  { kind: 'given-up', at: 410, request: 'r3' },
  fail('r3', 'overloaded', 'not-run', 410),
  END,
];

const KEYED = { key: 'k', idempotent: false };
const [firstPass, secondPass, ...frames] = produce('r1', 0, 'x') as [
  HistoryEvent,
  HistoryEvent,
  ...HistoryEvent[],
];

/** Histories that are wrong, by the rule that must find them out. */
const WRONG: readonly (readonly [HistoryRuleName, string, readonly HistoryEvent[]])[] = [
  [HistoryRule.OneAnswer, 'a caller that stayed hears nothing', [submit('r1')]],
  [HistoryRule.OneAnswer, 'an answer and an error', [...GOOD, fail('r1', 'deadline', 'unknown')]],
  [
    HistoryRule.OneAnswer,
    'a token after the end',
    [...GOOD, { kind: 'token', at: 400, request: 'r2', index: 1, token: 'z' }],
  ],
  [
    HistoryRule.OneAnswer,
    'an error long after the deadline',
    [submit('r1'), fail('r1', 'deadline', 'not-run', 9000)],
  ],
  [
    HistoryRule.WholeAnswer,
    'a cut answer called whole',
    [submit('r1'), ...produce('r1', 0, 'x'), answer('r1')],
  ],
  [
    HistoryRule.WholeAnswer,
    'a repeated token',
    [submit('r1'), ...produce('r1', 0, 'x'), ...produce('r1', 0, 'x'), answer('r1')],
  ],
  [
    HistoryRule.WholeAnswer,
    'a token missing in the middle',
    [
      submit('r1', { expected: ['x', 'y', 'z'] }),
      ...produce('r1', 0, 'x'),
      ...produce('r1', 2, 'z'),
    ],
  ],
  [
    HistoryRule.WholeAnswer,
    "another caller's token",
    [submit('r1'), ...produce('r1', 0, 'w'), fail('r1', 'engine-failed', 'ran')],
  ],
  [
    HistoryRule.LayersInOrder,
    'a stage skipped',
    [submit('r1', { expected: ['x'] }), secondPass, ...frames, answer('r1')],
  ],
  [
    HistoryRule.LayersInOrder,
    'a stage run twice',
    [submit('r1', { expected: ['x'] }), firstPass, firstPass, secondPass, ...frames, answer('r1')],
  ],
  [
    HistoryRule.LayersInOrder,
    'stages in the wrong order',
    [submit('r1', { expected: ['x'] }), secondPass, firstPass, ...frames, answer('r1')],
  ],
  [
    HistoryRule.AtMostOnce,
    'two effects of one key',
    [
      submit('r1', { ...KEYED, work: 'service' }),
      { kind: 'effect', at: 200, request: 'r1' },
      { kind: 'instance-killed', at: 210, instance: 'a' },
      submit('r2', { ...KEYED, work: 'service', instance: 'b', expected: ['z'] }),
      { kind: 'effect', at: 250, request: 'r2' },
      { kind: 'token', at: 251, request: 'r2', index: 0, token: 'z' },
      answer('r2'),
    ],
  ],
  [
    HistoryRule.AtMostOnce,
    'a second attempt of what may not be repeated',
    [
      submit('r1', { ...KEYED, expected: ['x'] }),
      firstPass,
      ...produce('r1', 0, 'x', 2),
      answer('r1'),
    ],
  ],
  [
    HistoryRule.TrueRun,
    '"not run" of what had run',
    [submit('r1'), firstPass, fail('r1', 'no-chain', 'not-run')],
  ],
  [
    HistoryRule.TrueRun,
    '"not run" of what runs later',
    [
      submit('r1', { work: 'service' }),
      fail('r1', 'deadline', 'not-run'),
      { kind: 'effect', at: 400, request: 'r1' },
    ],
  ],
  [HistoryRule.TrueRun, '"ran" of what never ran', [submit('r1'), fail('r1', 'deadline', 'ran')]],
  [
    HistoryRule.TrueRunOfKey,
    '"not run" of a key that had run',
    [
      submit('r1', KEYED),
      firstPass,
      fail('r1', 'engine-failed', 'unknown'),
      submit('r2', { ...KEYED, at: 400 }),
      fail('r2', 'overloaded', 'not-run', 410),
    ],
  ],
  [
    HistoryRule.RevisionsRise,
    'a restarted instance goes back',
    [
      start('a'),
      { kind: 'in-force', at: 20, instance: 'a', revision: 2 },
      { kind: 'instance-killed', at: 30, instance: 'a' },
      start('a', 40),
      { kind: 'in-force', at: 50, instance: 'a', revision: 1 },
    ],
  ],
  [
    HistoryRule.InForceInTime,
    'a change that one instance never takes',
    [
      start('a'),
      start('b'),
      { kind: 'accepted', at: 10, revision: 1 },
      { kind: 'in-force', at: 20, instance: 'a', revision: 1 },
    ],
  ],
  [
    HistoryRule.InForceInTime,
    'a change that comes late after an outage',
    [
      start('a'),
      { kind: 'accepted', at: 10, revision: 1 },
      { kind: 'config-fault', at: 20, isFailing: true },
      { kind: 'config-fault', at: 5000, isFailing: false },
      { kind: 'in-force', at: 15_100, instance: 'a', revision: 1 },
    ],
  ],
  [
    HistoryRule.LeavingEngine,
    'work for an engine that has been leaving for long',
    [
      { kind: 'engine-leaving', at: 100, engine: 'e1' },
      { kind: 'taken', at: 3101, request: 'r1', attempt: 1, engine: 'e1' },
    ],
  ],
  [
    HistoryRule.PlannedStop,
    'a request cut off by a planned stop',
    [
      submit('r1'),
      { kind: 'instance-stopping', at: 200, instance: 'a' },
      fail('r1', 'draining', 'unknown'),
      { kind: 'instance-stopped', at: 310, instance: 'a' },
    ],
  ],
  [
    HistoryRule.PlannedStop,
    'an instance that ends before its requests do',
    [
      submit('r1'),
      { kind: 'instance-stopping', at: 200, instance: 'a' },
      { kind: 'instance-stopped', at: 310, instance: 'a' },
    ],
  ],
  [
    HistoryRule.AnsweredAtOnce,
    'a request given up on whose caller waits',
    [
      submit('r1'),
      { kind: 'given-up', at: 200, request: 'r1' },
      fail('r1', 'engine-failed', 'unknown', 900),
    ],
  ],
];

describe('the checker of histories', () => {
  it('finds nothing in a history that holds', () => {
    expect(checkHistory(GOOD)).to.deep.equal([]);
  });

  WRONG.forEach(([rule, what, events]) => {
    it(`finds ${rule}: ${what}`, () => {
      expect(checkHistory([...events, END]).map((violation) => violation.rule)).to.include(rule);
    });
  });

  it('has a wrong history for each rule', () => {
    const covered = new Set(WRONG.map(([rule]) => rule));
    expect([...covered]).to.have.members(Object.values(HistoryRule));
  });

  it('lets a caller that hung up, or whose instance died, go without an ending', () => {
    const events: readonly HistoryEvent[] = [
      submit('r1'),
      { kind: 'hung-up', at: 200, request: 'r1' },
      submit('r2', { instance: 'b' }),
      { kind: 'instance-killed', at: 200, instance: 'b' },
      END,
    ];
    expect(checkHistory(events)).to.deep.equal([]);
  });
});
