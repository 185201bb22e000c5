import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { EngineFacts, EngineLoad } from '@skylarksail/core/CoreEngine';
import type { ChainChoice, ChainRequest, RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { SpillShares } from '@skylarksail/routing/RoutingSpillover';
import type { RoutingState } from '@skylarksail/routing/RoutingTypes';
import {
  createRoutingState,
  setEngines,
  setLoad,
  setRoutingFacts,
} from '@skylarksail/routing/RoutingState';
import { createRelayRoom } from '../../RelayRoom.js';
import { createRelayTeamWork } from '../../RelayTeamWork.js';
import type { TeamWork, WorkReport } from '../../RelayWork.js';
import { createRelayWork } from '../../RelayWork.js';

const LAYERS = 8;
const VARIANT = { model: 'letters', version: '1', adapter: null };
const SPEC = {
  team: 'branches',
  model: 'letters',
  variant: VARIANT,
  layerCount: LAYERS,
  maxTokens: 400,
} as unknown as RequestSpec;
/** Tokens for which the engine of the domain has memory. */
const CAPACITY = 10_000;
/** Tokens that a request is expected to hold: a prompt of 800 and a usual answer of 200. */
const REQUEST_TOKENS = 1000;

function createState(isMemoryShared: boolean, usualAnswerTokens: number): RoutingState {
  const facts = { id: 'e', domain: 'd1', kvLayerTokens: CAPACITY * LAYERS };
  const model = { id: 'letters', activationBytes: 1, usualAnswerTokens, isMemoryShared };
  return setRoutingFacts(setEngines(createRoutingState(), [facts as unknown as EngineFacts]), {
    models: new Map([['letters', model]]),
  });
}

function report(state: RoutingState, kvUsed: number, seenAt: number): RoutingState {
  const layers = { first: 0, end: LAYERS };
  const holding = { model: 'letters', version: '1', adapters: [], layers, duty: 'mixed' };
  const load = { engine: 'e', bootId: 'e', state: 'live', holding, running: 1, queued: 0, kvUsed };
  return setLoad(state, { seenAt, load: load as unknown as EngineLoad });
}

function toReport(teams: readonly TeamWork[]): WorkReport {
  return { running: [{ engine: 'e', calls: 1, kvTokens: 1000 }], lost: [], teams };
}

function createBed({
  isShared = true,
  instances = 20,
  spill = null as SpillShares | null,
  answerTokens = 200,
} = {}) {
  const timers = createVirtualTimers();
  let state = createState(isShared, answerTokens);
  const work = createRelayWork({
    timers,
    self: 'self',
    readOwnWork: () => ({ running: [], lost: [] }),
    isAggregator: () => false,
    onPeerWork: () => undefined,
    onLost: () => undefined,
  });
  const teams = createRelayTeamWork({
    domain: 'd1',
    getModel: (model) => state.models.get(model),
    getDomain: (engine) => (engine === 'e' ? 'd1' : 'd2'),
  });
  const room = createRelayRoom({
    domain: 'd1',
    timers,
    getState: () => state,
    countOwnInstances: () => instances,
    work,
    teams,
    getSpillShares: () => spill,
  });
  return {
    timers,
    work,
    teams,
    room,
    removeModel: () => {
      state = setRoutingFacts(state, { models: new Map() });
    },
    setUsed: (kvUsed: number) => {
      state = report(state, kvUsed, timers.now());
    },
    /** Chooses a chain of one engine for a team; returns its release. */
    start: (team: string, engine = 'e') => {
      const stages = [{ engine, layers: { first: 0, end: LAYERS } }];
      const hold = { noteFirstToken: () => undefined, release: () => undefined };
      const choice = { kind: 'chain', chain: { stages }, importFrom: [], hold };
      const request = { spec: { ...SPEC, team }, contextTokens: 800 } as unknown as ChainRequest;
      const chosen = teams.watchChoice(() => choice as unknown as ChainChoice)(request);
      return () => chosen.kind === 'chain' && chosen.hold.release({ kind: 'cancelled' });
    },
  };
}

describe('RelayRoom', () => {
  it('offers the share of the domain, the age of the reports and the share of the team', () => {
    const bed = createBed();
    bed.setUsed(0.9);
    bed.work.recordSummary(
      toReport([
        { team: 'branches', kvTokens: 4000 },
        { team: 'other', kvTokens: 1000 },
      ]),
    );
    bed.start('branches');
    bed.timers.advanceTo(150);
    expect(bed.room.read(SPEC)).to.deep.equal({ share: 0.9, age: 150, teamShare: 1 });
    expect([bed.room.isShort(SPEC), bed.room.getShare()]).to.deep.equal([true, 0.9]);
  });

  it('is unknown for models whose memory is not shared', () => {
    // Guards against refusals in deployments where memory does not limit the engines.
    const bed = createBed({ isShared: false });
    bed.setUsed(1);
    bed.work.recordSummary(toReport([]));
    bed.start('branches');
    expect([bed.room.read(SPEC), bed.room.isShort(SPEC)]).to.deep.equal([null, false]);
    expect([bed.teams.readReport(), bed.room.getShare()]).to.deep.equal([null, 0]);
  });

  it('is unknown without reports, as when both aggregators are lost, and known again with the next', () => {
    // Guards against refusals by what an instance with two requests guesses of the work of twenty.
    const bed = createBed();
    bed.setUsed(1);
    expect(bed.room.read(SPEC)).to.equal(null);
    bed.work.recordSummary(toReport([]));
    expect(bed.room.read(SPEC)?.share).to.equal(1);
    bed.timers.advanceTo(3100);
    expect([bed.room.read(SPEC), bed.room.isShort(SPEC)]).to.deep.equal([null, false]);
    bed.work.recordSummary(toReport([]));
    expect(bed.room.read(SPEC)?.age).to.equal(0);
  });

  it('is known to the only instance of a domain, which nobody reports to', () => {
    const bed = createBed({ instances: 1 });
    bed.setUsed(0.5);
    expect(bed.room.read(SPEC)).to.include({ share: 0.5, age: 0 });
  });

  it('counts an emptier domain for the part of the requests that goes there, and no fuller one', () => {
    // Guards against refusals while a neighbour has room, and against a domain that admits all as if all went there.
    const readShare = (emptiestShare: number): number | undefined => {
      const emptiest = {
        domain: 'other',
        ownShare: 0.9,
        share: emptiestShare,
        age: 0,
        probability: 0.5,
      };
      const bed = createBed({ spill: { own: 0.9, emptiest } });
      bed.setUsed(0.9);
      bed.work.recordSummary(toReport([]));
      return bed.room.read(SPEC)?.share;
    };
    expect(readShare(0.6)).to.be.closeTo(0.75, 1e-9);
    expect(readShare(2)).to.equal(0.9);
  });

  it('reads the room again with the next load report, and at most every 50 ms otherwise', () => {
    const bed = createBed({ instances: 1 });
    bed.setUsed(0.5);
    expect(bed.room.read(SPEC)?.share).to.equal(0.5);
    bed.setUsed(0.7);
    expect(bed.room.read(SPEC)?.share).to.equal(0.7);
  });
});

describe('RelayRoom of a domain with requests of other domains', () => {
  it('is short by the requests of all domains', () => {
    // Guards against waiting requests that are closed because their domain counts only its own share of the use.
    const bed = createBed({ instances: 1, spill: { own: 0.9, emptiest: null } });
    bed.setUsed(0.6);
    expect([bed.room.isShort(SPEC), bed.room.getShare()]).to.deep.equal([true, 0.9]);
  });

  it('goes by the latest room while the shares at the last load report are those of a domain without memory', () => {
    // Guards against refusals of all requests until the next load report after engines have returned.
    const bed = createBed({ instances: 1, spill: { own: Infinity, emptiest: null } });
    bed.setUsed(0.5);
    expect(bed.room.read(SPEC)?.share).to.equal(0.5);
    expect(bed.room.isShort(SPEC)).to.equal(false);
  });
});

describe('RelayRoom between requests', () => {
  it('shows the present share, and none of a model that was removed', () => {
    // Guards against a gauge that stays at the share of the last request.
    const bed = createBed({ instances: 1 });
    bed.setUsed(0.9);
    bed.room.read(SPEC);
    bed.setUsed(0.2);
    expect(bed.room.getShare()).to.equal(0.2);
    bed.removeModel();
    expect(bed.room.getShare()).to.equal(0);
  });
});

describe('RelayTeamWork', () => {
  it('keeps no team without requests, also where the usual length of answers is no whole number', () => {
    // Guards against memory and a number of teams that grow with rounding errors, which lowers each team's fair share.
    const bed = createBed({ answerTokens: 200.1 });
    const releases = ['a', 'a', 'a', 'b', 'b', 'b', 'b'].map((team) => bed.start(team));
    releases.forEach((release) => release());
    expect([...bed.teams.listTeams()]).to.deep.equal([]);
  });

  it('counts the running requests of each team on the own domain, and reports the heaviest', () => {
    const bed = createBed();
    const releases = Array.from({ length: 40 }, (_, i) => bed.start(`t${i}`));
    const more = bed.start('t7');
    bed.start('t8', 'foreign');
    expect(bed.teams.get('t7')).to.equal(2 * REQUEST_TOKENS);
    expect(bed.teams.get('t8')).to.equal(REQUEST_TOKENS);
    expect([bed.teams.readReport()?.length, bed.teams.readReport()?.[0]?.team]).to.deep.equal([
      32,
      't7',
    ]);
    [...releases, more].forEach((release) => release());
    expect([bed.teams.readReport(), [...bed.teams.listTeams()]]).to.deep.equal([null, []]);
  });

  it('sums the reports of a domain, passes the heaviest on, and forgets an instance that ended', () => {
    const timers = createVirtualTimers();
    const create = (isAggregator: boolean) =>
      createRelayWork({
        timers,
        self: 'self',
        readOwnWork: () => toReport([{ team: 'own', kvTokens: 5 }]),
        isAggregator: () => isAggregator,
        onPeerWork: () => undefined,
        onLost: () => undefined,
      });
    const [aggregator, subscriber] = [create(true), create(false)];
    expect([aggregator.getTeamWork('a'), aggregator.getReportAge()]).to.deep.equal([null, null]);
    aggregator.recordReport('one', toReport([{ team: 'a', kvTokens: 100 }]));
    aggregator.recordReport('two', toReport([{ team: 'a', kvTokens: 10 }]));
    subscriber.recordSummary(aggregator.summarizeFor('two'));
    expect([aggregator.getTeamWork('a'), subscriber.getTeamWork('a')]).to.deep.equal([110, 100]);
    expect(subscriber.getTeamWork('own')).to.equal(5);
    expect([aggregator.countTeams(['b']), subscriber.countTeams(['a'])]).to.deep.equal([2, 2]);
    timers.advanceTo(2000);
    aggregator.recordReport('two', toReport([{ team: 'a', kvTokens: 10 }]));
    timers.advanceTo(3500);
    expect([aggregator.getTeamWork('a'), aggregator.getReportAge()]).to.deep.equal([10, 1500]);
    expect(subscriber.getTeamWork('a')).to.equal(null);
  });

  it('bounds the teams of a report, and ignores impossible values', () => {
    // Guards against memory that grows with a faulty peer's reports, and against one that makes a team look too large.
    const bed = createBed();
    const many = Array.from({ length: 1000 }, (_, i) => ({ team: `t${i}`, kvTokens: 1 }));
    bed.work.recordSummary(toReport([{ team: 'branches', kvTokens: 1e300 }, ...many]));
    expect(bed.work.countTeams([])).to.equal(31);
    expect(bed.work.getTeamWork('branches')).to.equal(0);
  });

  it('shows one team that floods the domain as over its fair share, and no other', () => {
    // Guards against a large team that takes the memory of the small ones.
    const bed = createBed();
    bed.setUsed(0.95);
    const small = Array.from({ length: 23 }, (_, i) => ({ team: `t${i}`, kvTokens: 150 }));
    bed.work.recordSummary(toReport([{ team: 'branches', kvTokens: 6000 }, ...small]));
    expect(bed.room.read(SPEC)?.teamShare).to.be.above(10);
    expect(bed.room.read({ ...SPEC, team: 't3' })?.teamShare).to.be.below(0.5);
  });
});
