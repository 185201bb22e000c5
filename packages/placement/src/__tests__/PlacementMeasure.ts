/**
 * Measures placement and prints a JSON line per case: `node packages/placement/dist/__tests__/PlacementMeasure.js`.
 * The bound is the total rate of the engines if all are always busy, which no placement can exceed.
 */
import { UNLIMITED_LINK } from '@skylarksail/routing/RoutingLinks';
import { createPlan } from '@skylarksail/routing/RoutingPlan';
import { planPlacement } from '../PlacementPlan.js';
import type { PlacementState } from '../PlacementTypes.js';
import type { KindName } from './PlacementFixtures.js';
import {
  createEngine,
  createEngines,
  createManifest,
  createModel,
  applyTargets,
  setUsable,
} from './PlacementFixtures.js';

const MILLIS = 1000;
/** Accelerators that the engines cycle through, in two example deployments and a mixed one. */
const SAFFRON: readonly KindName[] = ['medium', 'medium', 'small', 'medium', 'small'];
const CASCADE: readonly KindName[] = ['large', 'medium', 'small', 'medium', 'small'];
const MIXED: readonly KindName[] = ['large', 'medium', 'small', 'old'];
const ONE = [createModel('writer', 48)];
const TWO = [createModel('writer', 48), createModel('notes', 32)];
const FOUR = [32, 48, 64, 80].map((layers, i) => createModel(`m${i}`, layers));

function getBound(state: PlacementState): number {
  return state.engines
    .filter(({ isUsable }) => isUsable)
    .reduce((sum, { facts }) => sum + facts.decodeLayerTokensPerSecond, 0);
}

/** Layer tokens per second by the router's maximum flow over the engines' holdings and links. */
function getFlow(state: PlacementState): number {
  const serves = state.manifest.getDomain('d1')?.serves ?? [];
  return serves.reduce((sum, { model: id }) => {
    const model = state.manifest.getModel(id);
    const members = state.engines.flatMap(({ facts, holding }) =>
      holding?.model === id ? [{ id: facts.id, facts, holding }] : [],
    );
    const plan = createPlan(members, {
      layerCount: model?.layers ?? 0,
      bytesPerToken: model?.activationBytes ?? 0,
      getTokenCost: ({ facts, holding }) =>
        (MILLIS * (holding.layers.end - holding.layers.first)) / facts.decodeLayerTokensPerSecond,
      getLink(from, to) {
        const link = state.manifest.findLink([from.rack], [to.rack]);
        const key = `${from.rack}>${to.rack}`;
        return from.rack === to.rack || !link
          ? UNLIMITED_LINK
          : { key, bytesPerSecond: link.bytesPerSecond, delayMs: 0 };
      },
    });
    return sum + plan.tokensPerSecond * (model?.layers ?? 0);
  }, 0);
}

function time<T>(run: () => T): { readonly value: T; readonly ms: number } {
  const startedAt = performance.now();
  const value = run();
  return { value, ms: Math.round((performance.now() - startedAt) * 10) / 10 };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

function measure(name: string, state: PlacementState): void {
  const empty = time(() => planPlacement(state));
  const placed = applyTargets(state, empty.value);
  const again = time(() => planPlacement(placed));
  const losses = placed.engines.slice(0, 40).map(({ facts }) => {
    const lost = setUsable(placed, facts.id, false);
    const { value: plan, ms } = time(() => planPlacement(lost));
    const moves = [...plan.moves, ...plan.blocked];
    const after = applyTargets(lost, {
      ...plan,
      targets: new Map(plan.targets).set(facts.id, null),
    });
    return { moves: moves.length, ratio: getFlow(after) / getBound(lost), ms };
  });
  const joined = { ...placed, engines: [...placed.engines, createEngine('zz', 'medium')] };
  const join = planPlacement(joined);
  const models = state.manifest.getDomain('d1')?.serves.map(({ model }) => model) ?? [];
  const manifest = createManifest({
    models: models.flatMap((id) => {
      const model = state.manifest.getModel(id);
      return model ? [{ ...model, serve: 'v2' }] : [];
    }),
    revision: 2,
  });
  const roll = time(() => planPlacement({ ...placed, manifest }));
  const mean = (values: readonly number[]) =>
    round(values.reduce((a, b) => a + b, 0) / values.length);
  const line = {
    case: name,
    engines: state.engines.length,
    models: state.manifest.getDomain('d1')?.serves.length,
    ratio: round(getFlow(placed) / getBound(state)),
    loss_ratio_mean: mean(losses.map(({ ratio }) => ratio)),
    loss_ratio_min: round(Math.min(...losses.map(({ ratio }) => ratio))),
    loss_moves_mean: mean(losses.map(({ moves }) => moves)),
    loss_moves_max: Math.max(...losses.map(({ moves }) => moves)),
    join_moves: join.moves.length + join.blocked.length,
    rest_moves: again.value.moves.length + again.value.blocked.length,
    empty_ms: empty.ms,
    again_ms: again.ms,
    roll_ms: roll.ms,
    loss_ms_max: Math.max(...losses.map(({ ms }) => ms)),
  };
  console.log(JSON.stringify(line));
}

function createState(count: number, kinds: readonly KindName[], models = TWO, slow: string[] = []) {
  const manifest = createManifest({ models, slowRacks: slow });
  return { domain: 'd1', manifest, engines: createEngines(count, kinds) };
}

planPlacement(createState(14, SAFFRON));
measure('saffron, one model', createState(14, SAFFRON, ONE));
measure('saffron, two models', createState(14, SAFFRON));
measure('cascade, one model', createState(16, CASCADE, ONE));
measure('cascade, two models', createState(16, CASCADE));
measure('mixed, one model', createState(24, MIXED, ONE));
measure('mixed, one model, slow rack', createState(24, MIXED, ONE, ['r2']));
measure('mixed, two models, slow rack', createState(24, MIXED, TWO, ['r2']));
measure('large domain', createState(350, MIXED, FOUR));
measure('large domain, two slow racks', createState(350, MIXED, FOUR, ['r7', 'r20']));
