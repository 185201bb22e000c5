import { expect } from 'chai';
import { createRandom, sampleElements } from '@skylarksail/core/CoreRandom';
import { computeModelCapacity, listServing } from '../../PlacementCapacity.js';
import { planPlacement } from '../../PlacementPlan.js';
import type { PlacementState } from '../../PlacementTypes.js';
import { MoveReason } from '../../PlacementTypes.js';
import { chooseServableVersion, getServableVersions } from '../../PlacementVersions.js';
import type { KindName, ManifestOptions } from '../PlacementFixtures.js';
import {
  createEngine,
  createEngines,
  createManifest,
  createModel,
  finishMove,
  setHolding,
  KINDS,
  applyTargets,
  setUsable,
  startMove,
} from '../PlacementFixtures.js';

const SAFFRON: readonly KindName[] = ['medium', 'medium', 'small', 'medium', 'small'];
const CASCADE: readonly KindName[] = ['large', 'medium', 'small', 'medium', 'small'];
const MIXED: readonly KindName[] = ['large', 'medium', 'small', 'old'];
const WRITER = createModel('writer', 48);
const NOTES = createModel('notes', 32);

function createState(
  count: number,
  kinds: readonly KindName[],
  options: Partial<ManifestOptions> = {},
): PlacementState {
  const manifest = createManifest({ models: [WRITER, NOTES], ...options });
  return { domain: 'd1', manifest, engines: createEngines(count, kinds) };
}

/** Share of the hardware's bound, the sum of all rates, that a plan reaches. */
function getRatio(state: PlacementState): number {
  const used = [...planPlacement(state).capacities].reduce(
    (sum, [id, rate]) => sum + rate * (state.manifest.getModel(id)?.layers ?? 0),
    0,
  );
  const usable = state.engines.filter(({ isUsable }) => isUsable);
  return used / usable.reduce((sum, { facts }) => sum + facts.decodeLayerTokensPerSecond, 0);
}

function getCapacity(state: PlacementState, id: string): number {
  const model = state.manifest.getModel(id);
  return model ? computeModelCapacity(model, listServing(state.engines)) : 0;
}

/** Makes moves until none is left, finishing loads in a drawn order; checks after each step. */
function runMoves(
  start: PlacementState,
  seed: number,
  check: (state: PlacementState) => void,
): { readonly state: PlacementState; readonly moves: number } {
  const random = createRandom(seed);
  let state = start;
  let moves = 0;
  for (let round = 0; round < 2000; round++) {
    const plan = planPlacement(state);
    for (const move of plan.moves) {
      state = startMove(state, move);
      moves += 1;
      check(state);
    }
    const loading = state.engines.filter(({ holding, expected }) => !holding && expected);
    const [done] = sampleElements(random, loading, 1);
    if (!done) {
      return { state, moves };
    }
    state = finishMove(state, done.facts.id);
    check(state);
  }
  throw new Error('moves do not end');
}

/** Whether what is routed to gives the minimum, and a draw names a version that is whole. */
function checkServed(state: PlacementState, minimum: number): void {
  const model = state.manifest.getModel('writer');
  const engines = state.engines.map(({ facts, holding }) => ({
    facts,
    load: {
      engine: facts.id,
      bootId: 'b',
      state: 'live' as const,
      holding,
      running: 0,
      queued: 0,
      kvUsed: 0,
      orderNumber: 0,
    },
  }));
  const versions = model ? getServableVersions(model, minimum, engines) : [];
  const served = versions.reduce((sum, { tokensPerSecond }) => sum + tokensPerSecond, 0);
  expect(served).to.be.at.least(minimum * 0.999);
  expect(chooseServableVersion(versions, 0.999)).to.not.equal(null);
}

describe('planPlacement', () => {
  for (const [name, count, kinds, options] of [
    ['saffron', 14, SAFFRON, {}],
    ['cascade', 16, CASCADE, {}],
    ['mixed accelerators with a slow rack', 18, MIXED, { slowRacks: ['r1'] }],
    ['a large domain', 120, MIXED, {}],
  ] as const) {
    it(`comes near the bound of the hardware and rests there: ${name}`, () => {
      const state = createState(count, kinds, options);
      expect(getRatio(state)).to.be.above(0.95);
      const reached = applyTargets(state, planPlacement(state));
      expect(planPlacement(reached).moves).to.deep.equal([]);
      expect(planPlacement(reached).blocked).to.deep.equal([]);
    });
  }

  it('keeps a model whole inside racks that a slow link joins', () => {
    const state = createState(24, MIXED, { models: [WRITER], slowRacks: ['r2'] });
    const { targets } = planPlacement(state);
    const layers = state.engines
      .filter(({ facts }) => facts.rack === 'r2')
      .map(({ facts }) => targets.get(facts.id)?.layers);
    expect(Math.min(...layers.map((range) => range?.first ?? 99))).to.equal(0);
    expect(Math.max(...layers.map((range) => range?.end ?? 0))).to.equal(48);
  });

  it('gives a model its minimum before the other its weight', () => {
    const serves = [
      { model: 'writer', minTokensPerSecond: 3200, weight: 1 },
      { model: 'notes', minTokensPerSecond: 0, weight: 50 },
    ];
    const { capacities } = planPlacement(createState(14, SAFFRON, { serves }));
    expect(capacities.get('writer')).to.be.at.least(3200);
    expect(capacities.get('notes')).to.be.above(0);
  });

  it('moves few engines for the loss of any one, and none for a return', () => {
    // Symptom: the loss of one engine reloads the domain. Sequence: an engine dies; the plan is made
    // anew; the best cut is another one. Cause: a plan that does not weigh what its moves cost.
    const first = createState(16, CASCADE);
    const state = applyTargets(first, planPlacement(first));
    const moves = state.engines.map(({ facts }) => {
      const lost = setUsable(state, facts.id, false);
      const plan = planPlacement(lost);
      expect(getRatio(lost)).to.be.above(0.85);
      expect([...plan.capacities.values()].every((rate) => rate > 0)).to.equal(true);
      return plan.moves.length + plan.blocked.length;
    });
    expect(Math.max(...moves)).to.be.at.most(3);
    expect(planPlacement(state).moves).to.deep.equal([]);
  });

  it('does not hang on the order in which engines are told', () => {
    const state = createState(18, MIXED);
    const turned = { ...state, engines: [...state.engines].reverse() };
    const { targets } = planPlacement(state);
    planPlacement(turned).targets.forEach((want, id) =>
      expect(want).to.deep.equal(targets.get(id)),
    );
  });

  for (const share of [0.3, 0.45, 0.6]) {
    it(`changes a version without going below a minimum of ${share} of the capacity`, () => {
      // Symptom: requests wait while a version changes. Sequence: engines of all stages load the new
      // version; no whole chain of either is left. Cause: changing stage after stage without counting.
      const models = [WRITER];
      const bare = createState(28, SAFFRON, { models });
      const minTokensPerSecond = share * (planPlacement(bare).capacities.get('writer') ?? 0);
      const serves = [{ model: 'writer', minTokensPerSecond, weight: 1 }];
      const old = createState(28, SAFFRON, { models, serves });
      const held = applyTargets(old, planPlacement(old));
      const next = createManifest({ models: [{ ...WRITER, serve: 'v2' }], serves, revision: 2 });
      const { state, moves } = runMoves({ ...held, manifest: next }, 1, (now) =>
        checkServed(now, minTokensPerSecond),
      );
      expect(state.engines.every(({ holding }) => holding?.version === 'v2')).to.equal(true);
      expect(moves).to.equal(28);
    });
  }

  it('changes a version while engines die and come, and never strands the model', () => {
    // Symptom: a model is gone half-way through a change of version. Sequence: the last engine of the
    // old version's stage dies while the new version has no whole chain. Cause: its replacement loads
    // the new version, and the old chain stays broken until the whole change is done.
    const models = [WRITER];
    const serves = [{ model: 'writer', minTokensPerSecond: 1500, weight: 1 }];
    const old = createState(15, SAFFRON, { models, serves });
    const held = applyTargets(old, planPlacement(old));
    const manifest = createManifest({ models: [{ ...WRITER, serve: 'v2' }], serves, revision: 2 });
    for (let seed = 0; seed < 20; seed++) {
      const random = createRandom(seed);
      const seen: PlacementState[] = [];
      runMoves({ ...held, manifest }, seed, (now) => seen.push(now));
      const midway = seen[random.nextInt(seen.length)] as PlacementState;
      const dead = midway.engines[random.nextInt(15)]?.facts.id ?? '';
      const lost = setHolding(setUsable(midway, dead, false), dead, null);
      const after = runMoves(lost, seed, () => undefined).state;
      expect(getCapacity(after, 'writer')).to.be.at.least(1500);
      const live = after.engines.filter(({ facts }) => facts.id !== dead);
      expect(live.every(({ holding }) => holding?.version === 'v2')).to.equal(true);
      const back = runMoves(setUsable(after, dead, true), seed, (now) =>
        checkServed(now, 1500),
      ).state;
      expect(back.engines.every(({ holding }) => holding?.version === 'v2')).to.equal(true);
    }
  });

  it('restores a lost stage before anything else, in the version that makes a chain whole', () => {
    const models = [WRITER];
    const serves = [{ model: 'writer', minTokensPerSecond: 1000, weight: 1 }];
    const old = createState(14, SAFFRON, { models, serves });
    const held = applyTargets(old, planPlacement(old));
    const manifest = createManifest({
      models: [{ ...WRITER, serve: 'v2', adapters: ['a1', 'a2'] }],
      serves,
      revision: 2,
    });
    const gone = held.engines.filter(({ expected }) => expected?.layers.first === 0);
    const state = gone.reduce<PlacementState>(
      (next, { facts }) => setUsable(next, facts.id, false),
      {
        ...held,
        manifest,
        engines: [...held.engines, createEngine('spare', 'medium')],
      },
    );
    const plan = planPlacement(state);
    const [first] = plan.moves;
    expect(first).to.include({ reason: MoveReason.Restore });
    expect(first?.want).to.include({ version: 'v1' });
    const versions = plan.moves.filter(({ reason }) => reason === MoveReason.Version);
    expect(versions).to.deep.equal([]);
  });

  it('adds adapters without loading a layer', () => {
    const first = createState(14, SAFFRON);
    const held = applyTargets(first, planPlacement(first));
    const models = [{ ...WRITER, adapters: ['a1', 'a2'] }, NOTES];
    const { state, moves } = runMoves(
      { ...held, manifest: createManifest({ models, revision: 2 }) },
      1,
      (now) => expect(getCapacity(now, 'writer')).to.be.above(0),
    );
    expect(moves).to.equal(held.engines.filter((e) => e.holding?.model === 'writer').length);
    expect(planPlacement(state).targets).to.deep.equal(
      new Map(state.engines.map(({ facts, holding }) => [facts.id, holding])),
    );
    const plan = planPlacement({ ...held, manifest: createManifest({ models, revision: 2 }) });
    expect([...plan.moves, ...plan.blocked].map(({ bytes }) => bytes)).to.satisfy(
      (all: readonly number[]) => all.every((bytes) => bytes === 0),
    );
  });

  it('uses an engine that joins, and no engine that cannot hold a layer', () => {
    const first = createState(14, SAFFRON);
    const held = applyTargets(first, planPlacement(first));
    const tiny = createEngine('tiny', 'medium');
    const state = {
      ...held,
      engines: [
        ...held.engines,
        createEngine('new', 'medium'),
        { ...tiny, facts: { ...tiny.facts, weightBytes: KINDS.old.weightBytes / 100 } },
      ],
    };
    const plan = planPlacement(state);
    expect(plan.moves[0]).to.include({ engine: 'new', reason: MoveReason.Join });
    expect(plan.moves.length + plan.blocked.length).to.be.at.most(2);
    expect(plan.targets.get('tiny')).to.equal(null);
  });
});
