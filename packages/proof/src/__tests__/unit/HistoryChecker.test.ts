import { expect } from 'chai';
import { checkHistory } from '../../HistoryChecker.js';
import type { HistoryEvent, HistoryRuleName, SubmittedEvent } from '../../HistoryTypes.js';
import { HistoryRule } from '../../HistoryTypes.js';

/** Creates a submitted event; `overrides` replaces defaults. */
function createSubmitted(request: string, overrides: Partial<SubmittedEvent> = {}): SubmittedEvent {
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
    ...overrides,
  };
}

/** Creates the events of token `index` of a request: its passes through both stages, its frame, the token. */
function createTokenEvents(
  request: string,
  index: number,
  token: string,
  attempt = 1,
): HistoryEvent[] {
  const at = 200 + index;
  const end = 5 + index;
  return [
    { kind: 'pass', at, request, attempt, end, layers: { first: 0, end: 4 } },
    { kind: 'pass', at, request, attempt, end, layers: { first: 4, end: 8 } },
    { kind: 'frame', at, request, attempt, index },
    { kind: 'token', at, request, index, token },
  ];
}

function createAnswered(request: string, at = 300): HistoryEvent {
  return { kind: 'answered', at, request };
}

function createFailed(
  request: string,
  problem: string,
  run: 'not-run' | 'unknown' | 'ran',
  at = 300,
) {
  return { kind: 'failed' as const, at, request, problem, run };
}

function createStarted(instance: string, at = 0): HistoryEvent {
  return { kind: 'instance-started', at, instance };
}

const END: HistoryEvent = { kind: 'end', at: 30_000 };
const VALID_HISTORY: readonly HistoryEvent[] = [
  createStarted('a'),
  { kind: 'accepted', at: 10, revision: 1 },
  { kind: 'in-force', at: 20, instance: 'a', revision: 1 },
  createSubmitted('r1'),
  ...createTokenEvents('r1', 0, 'x'),
  ...createTokenEvents('r1', 1, 'y'),
  createAnswered('r1'),
  createSubmitted('r2', { key: 'k', idempotent: false, work: 'service', expected: ['z'] }),
  { kind: 'effect', at: 200, request: 'r2' },
  { kind: 'token', at: 201, request: 'r2', index: 0, token: 'z' },
  createAnswered('r2'),
  createSubmitted('r3', { at: 400, expected: ['x'] }),
  { kind: 'given-up', at: 410, request: 'r3' },
  createFailed('r3', 'overloaded', 'not-run', 410),
  END,
];

const KEYED = { key: 'k', idempotent: false };
const [firstPass, secondPass, ...frames] = createTokenEvents('r1', 0, 'x') as [
  HistoryEvent,
  HistoryEvent,
  ...HistoryEvent[],
];

/** Invalid histories, by the rule that must report them. */
const INVALID_CASES: readonly (readonly [HistoryRuleName, string, readonly HistoryEvent[]])[] = [
  [HistoryRule.OneAnswer, 'no ending for a caller that did not hang up', [createSubmitted('r1')]],
  [
    HistoryRule.OneAnswer,
    'an answer and then an error',
    [...VALID_HISTORY, createFailed('r1', 'deadline', 'unknown')],
  ],
  [
    HistoryRule.OneAnswer,
    'a token after the end',
    [...VALID_HISTORY, { kind: 'token', at: 400, request: 'r2', index: 1, token: 'z' }],
  ],
  [
    HistoryRule.OneAnswer,
    'an error long after the deadline',
    [createSubmitted('r1'), createFailed('r1', 'deadline', 'not-run', 9000)],
  ],
  [
    HistoryRule.WholeAnswer,
    'a truncated answer reported as complete',
    [createSubmitted('r1'), ...createTokenEvents('r1', 0, 'x'), createAnswered('r1')],
  ],
  [
    HistoryRule.WholeAnswer,
    'a repeated token',
    [
      createSubmitted('r1'),
      ...createTokenEvents('r1', 0, 'x'),
      ...createTokenEvents('r1', 0, 'x'),
      createAnswered('r1'),
    ],
  ],
  [
    HistoryRule.WholeAnswer,
    'a token missing in the middle',
    [
      createSubmitted('r1', { expected: ['x', 'y', 'z'] }),
      ...createTokenEvents('r1', 0, 'x'),
      ...createTokenEvents('r1', 2, 'z'),
    ],
  ],
  [
    HistoryRule.WholeAnswer,
    "another caller's token",
    [
      createSubmitted('r1'),
      ...createTokenEvents('r1', 0, 'w'),
      createFailed('r1', 'engine-failed', 'ran'),
    ],
  ],
  [
    HistoryRule.LayersInOrder,
    'a stage skipped',
    [createSubmitted('r1', { expected: ['x'] }), secondPass, ...frames, createAnswered('r1')],
  ],
  [
    HistoryRule.LayersInOrder,
    'a stage run twice',
    [
      createSubmitted('r1', { expected: ['x'] }),
      firstPass,
      firstPass,
      secondPass,
      ...frames,
      createAnswered('r1'),
    ],
  ],
  [
    HistoryRule.LayersInOrder,
    'stages in the wrong order',
    [
      createSubmitted('r1', { expected: ['x'] }),
      secondPass,
      firstPass,
      ...frames,
      createAnswered('r1'),
    ],
  ],
  [
    HistoryRule.AtMostOnce,
    'two effects of one key',
    [
      createSubmitted('r1', { ...KEYED, work: 'service' }),
      { kind: 'effect', at: 200, request: 'r1' },
      { kind: 'instance-killed', at: 210, instance: 'a' },
      createSubmitted('r2', { ...KEYED, work: 'service', instance: 'b', expected: ['z'] }),
      { kind: 'effect', at: 250, request: 'r2' },
      { kind: 'token', at: 251, request: 'r2', index: 0, token: 'z' },
      createAnswered('r2'),
    ],
  ],
  [
    HistoryRule.AtMostOnce,
    'a second attempt of a non-idempotent request',
    [
      createSubmitted('r1', { ...KEYED, expected: ['x'] }),
      firstPass,
      ...createTokenEvents('r1', 0, 'x', 2),
      createAnswered('r1'),
    ],
  ],
  [
    HistoryRule.TrueRun,
    '"not run" for a request that had run',
    [createSubmitted('r1'), firstPass, createFailed('r1', 'no-chain', 'not-run')],
  ],
  [
    HistoryRule.TrueRun,
    '"not run" for a request that runs later',
    [
      createSubmitted('r1', { work: 'service' }),
      createFailed('r1', 'deadline', 'not-run'),
      { kind: 'effect', at: 400, request: 'r1' },
    ],
  ],
  [
    HistoryRule.TrueRun,
    '"ran" for a request that never ran',
    [createSubmitted('r1'), createFailed('r1', 'deadline', 'ran')],
  ],
  [
    HistoryRule.TrueRunOfKey,
    '"not run" for a key that had run',
    [
      createSubmitted('r1', KEYED),
      firstPass,
      createFailed('r1', 'engine-failed', 'unknown'),
      createSubmitted('r2', { ...KEYED, at: 400 }),
      createFailed('r2', 'overloaded', 'not-run', 410),
    ],
  ],
  [
    HistoryRule.RevisionsRise,
    'a restarted instance with a lower revision',
    [
      createStarted('a'),
      { kind: 'in-force', at: 20, instance: 'a', revision: 2 },
      { kind: 'instance-killed', at: 30, instance: 'a' },
      createStarted('a', 40),
      { kind: 'in-force', at: 50, instance: 'a', revision: 1 },
    ],
  ],
  [
    HistoryRule.InForceInTime,
    'a change that never takes effect at one instance',
    [
      createStarted('a'),
      createStarted('b'),
      { kind: 'accepted', at: 10, revision: 1 },
      { kind: 'in-force', at: 20, instance: 'a', revision: 1 },
    ],
  ],
  [
    HistoryRule.InForceInTime,
    'a change that takes effect too late after an outage',
    [
      createStarted('a'),
      { kind: 'accepted', at: 10, revision: 1 },
      { kind: 'config-fault', at: 20, isFailing: true },
      { kind: 'config-fault', at: 5000, isFailing: false },
      { kind: 'in-force', at: 15_100, instance: 'a', revision: 1 },
    ],
  ],
  [
    HistoryRule.LeavingEngine,
    'an attempt started by an engine after its leaving grace period',
    [
      { kind: 'engine-leaving', at: 100, engine: 'e1' },
      { kind: 'taken', at: 3101, request: 'r1', attempt: 1, engine: 'e1' },
    ],
  ],
  [
    HistoryRule.PlannedStop,
    'a request interrupted by a planned stop',
    [
      createSubmitted('r1'),
      { kind: 'instance-stopping', at: 200, instance: 'a' },
      createFailed('r1', 'draining', 'unknown'),
      { kind: 'instance-stopped', at: 310, instance: 'a' },
    ],
  ],
  [
    HistoryRule.PlannedStop,
    'an instance that ends before its requests',
    [
      createSubmitted('r1'),
      { kind: 'instance-stopping', at: 200, instance: 'a' },
      { kind: 'instance-stopped', at: 310, instance: 'a' },
    ],
  ],
  [
    HistoryRule.AnsweredAtOnce,
    'a late failure for a request that the router gave up on',
    [
      createSubmitted('r1'),
      { kind: 'given-up', at: 200, request: 'r1' },
      createFailed('r1', 'engine-failed', 'unknown', 900),
    ],
  ],
];

describe('history checker', () => {
  it('accepts a valid history', () => {
    expect(checkHistory(VALID_HISTORY)).to.deep.equal([]);
  });

  INVALID_CASES.forEach(([rule, what, events]) => {
    it(`reports ${rule}: ${what}`, () => {
      expect(checkHistory([...events, END]).map((violation) => violation.rule)).to.include(rule);
    });
  });

  it('has an invalid history for each rule', () => {
    const covered = new Set(INVALID_CASES.map(([rule]) => rule));
    expect([...covered]).to.have.members(Object.values(HistoryRule));
  });

  it('requires no ending for a caller that hung up or whose instance was killed', () => {
    const events: readonly HistoryEvent[] = [
      createSubmitted('r1'),
      { kind: 'hung-up', at: 200, request: 'r1' },
      createSubmitted('r2', { instance: 'b' }),
      { kind: 'instance-killed', at: 200, instance: 'b' },
      END,
    ];
    expect(checkHistory(events)).to.deep.equal([]);
  });
});
