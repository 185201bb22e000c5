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

/** Accelerators that the engines cycle through, in two example deployments and a mixed one. */
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

/** Share of the total rate of all usable engines that a plan reaches. */
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

/** Executes moves until none is left and finishes loads in a random order; calls `check` after each step. */
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
  throw new Error('moves do not converge');
}

/** Checks that the versions to route to together reach the minimum and that one of them can be drawn. */
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
    it(`uses over 95% of the engines' total rate and plans no further moves: ${name}`, () => {
      const state = createState(count, kinds, options);
      expect(getRatio(state)).to.be.above(0.95);
      const reached = applyTargets(state, planPlacement(state));
      expect(planPlacement(reached).moves).to.deep.equal([]);
      expect(planPlacement(reached).blocked).to.deep.equal([]);
    });
  }

  it('places a whole model inside a rack behind a slow link', () => {
    const state = createState(24, MIXED, { models: [WRITER], slowRacks: ['r2'] });
    const { targets } = planPlacement(state);
    const layers = state.engines
      .filter(({ facts }) => facts.rack === 'r2')
      .map(({ facts }) => targets.get(facts.id)?.layers);
    expect(Math.min(...layers.map((range) => range?.first ?? 99))).to.equal(0);
    expect(Math.max(...layers.map((range) => range?.end ?? 0))).to.equal(48);
  });

  it('meets the minimum of a model before it shares capacity by weight', () => {
    const serves = [
      { model: 'writer', minTokensPerSecond: 3200, weight: 1 },
      { model: 'notes', minTokensPerSecond: 0, weight: 50 },
    ];
    const { capacities } = planPlacement(createState(14, SAFFRON, { serves }));
    expect(capacities.get('writer')).to.be.at.least(3200);
    expect(capacities.get('notes')).to.be.above(0);
  });

  it('moves few engines for the loss of any one, and none once it is back', () => {
    // Guards against the loss of one engine reloading the domain. An engine fails, and another partition is now
    // the best one; the fault is to plan without weighing the cost of the moves.
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

  it('does not depend on the order of the engines', () => {
    const state = createState(18, MIXED);
    const reversed = { ...state, engines: [...state.engines].reverse() };
    const { targets } = planPlacement(state);
    planPlacement(reversed).targets.forEach((want, id) =>
      expect(want).to.deep.equal(targets.get(id)),
    );
  });

  for (const share of [0.3, 0.45, 0.6]) {
    it(`changes a version without going below a minimum of ${share} of the capacity`, () => {
      // Guards against requests waiting during a version change. Engines of all stages load the new version until
      // neither version has a whole chain; the fault is to change stages without checking the capacity left.
      const models = [WRITER];
      const withoutMinimum = createState(28, SAFFRON, { models });
      const minTokensPerSecond =
        share * (planPlacement(withoutMinimum).capacities.get('writer') ?? 0);
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

  it('changes a version while engines fail and return, and keeps the model served', () => {
    // Guards against a model without capacity in the middle of a version change. The last engine of a stage of
    // the old version fails while the new version has no whole chain; the fault is that its replacement loads
    // the new version, so that the old chain stays broken until the whole change is done.
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
      const failed = midway.engines[random.nextInt(15)]?.facts.id ?? '';
      const lost = setHolding(setUsable(midway, failed, false), failed, null);
      const after = runMoves(lost, seed, () => undefined).state;
      expect(getCapacity(after, 'writer')).to.be.at.least(1500);
      const live = after.engines.filter(({ facts }) => facts.id !== failed);
      expect(live.every(({ holding }) => holding?.version === 'v2')).to.equal(true);
      const back = runMoves(setUsable(after, failed, true), seed, (now) =>
        checkServed(now, 1500),
      ).state;
      expect(back.engines.every(({ holding }) => holding?.version === 'v2')).to.equal(true);
    }
  });

  it('restores a lost stage before anything else, in the version that completes a chain', () => {
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
