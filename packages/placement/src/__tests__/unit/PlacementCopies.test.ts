import { expect } from 'chai';
import fc from 'fast-check';
import type { PermittedChanges } from '../../PlacementCopies.js';
import { hasCopies, planCopies } from '../../PlacementCopies.js';
import type { RangeEngine } from '../../PlacementRanges.js';
import { findGaps } from '../../PlacementRanges.js';
import { planStep } from '../../PlacementSteps.js';
import {
  applyPlan,
  createGroupEngines,
  DOMAINS,
  getWeights,
  GROUP_MODEL,
} from '../GroupFixtures.js';

const MOST_COPIES = 8;
const AT_ONCE: PermittedChanges = {
  mayReassign: false,
  mayRebuild: false,
  mayBalance: false,
  mayRepartition: false,
};
const IN_NEED: PermittedChanges = {
  mayReassign: true,
  mayRebuild: true,
  mayBalance: true,
  mayRepartition: false,
};

function plan(engines: readonly RangeEngine[], patience = AT_ONCE) {
  return planCopies(engines, GROUP_MODEL, MOST_COPIES, patience);
}

function createPlaced(memory: readonly number[] = DOMAINS.first ?? []): RangeEngine[] {
  const engines = createGroupEngines(memory);
  return applyPlan(engines, plan(engines));
}

function isSpared(engines: readonly RangeEngine[], lost: RangeEngine): boolean {
  return (
    findGaps(
      engines.filter((engine) => engine !== lost),
      GROUP_MODEL,
    ).length === 0
  );
}

describe('PlacementCopies', () => {
  it('orders nothing for the loss of an engine whose layers others hold', () => {
    // Symptom: each lost engine costs its domain loads and layers that are given up.
    // Sequence: an engine crashes; it is back, empty, some seconds later.
    // Cause: its layers were shared out to others meanwhile though they were still held.
    const placed = createPlaced();
    expect(hasCopies(placed)).to.equal(true);
    for (const lost of placed.filter((engine) => isSpared(placed, engine))) {
      const left = placed.filter((engine) => engine !== lost);
      expect(plan(left, { ...IN_NEED, mayBalance: false })).to.equal(null);
      const back = [...left, { ...lost, id: 'back', held: null }];
      expect(plan(back)?.get('back')).to.deep.equal(lost.held);
    }
  });

  it('gives missing layers to an engine that comes before any range gets one holder more', () => {
    const placed = createPlaced();
    const alone = placed.find((engine) => !isSpared(placed, engine)) as RangeEngine;
    const copied = placed.find((engine) => isSpared(placed, engine)) as RangeEngine;
    const left = placed.filter((engine) => engine !== alone && engine !== copied);
    const back = [...left, { ...alone, id: 'back', held: null }];
    expect([...(plan(back) ?? [])]).to.deep.equal([['back', alone.held]]);
  });

  it('mends a gap with engines that can be spared once it was waited for', () => {
    // Symptom: a domain has no chain until the engine that it lost is replaced.
    // Sequence: the one holder of a range is lost for good; no empty engine is there.
    // Cause: engines of ranges with several holders kept their layers.
    for (const memory of Object.values(DOMAINS)) {
      const placed = createPlaced(memory);
      for (const lost of placed.filter((engine) => !isSpared(placed, engine))) {
        const left = placed.filter((engine) => engine !== lost);
        expect(plan(left)).to.equal(null);
        const mended = applyPlan(left, plan(left, IN_NEED));
        expect(findGaps(mended, GROUP_MODEL)).to.deep.equal([]);
      }
    }
  });

  it('gives up no layer that is held while engines that crashed may still be back', () => {
    // Symptom: a domain that lost two of eight engines for four seconds has no chain for seven.
    // Sequence: engines crash together, so that no few of those left can take their layers; they are back,
    // empty, four seconds later.
    // Cause: the domain was cut anew 0.3 s after they were found silent, which ends all of its answers.
    const early = { ...IN_NEED, mayRebuild: false };
    const placed = createPlaced([72, 36, 36, 36, 36, 36, 14.4, 14.4]);
    const listMissing = (engines: readonly RangeEngine[]): readonly number[] =>
      Array.from({ length: GROUP_MODEL.layers }, (_, layer) => layer).filter(
        (layer) => !engines.some(({ held }) => held && held.first <= layer && layer < held.end),
      );
    let cuts = 0;
    placed.forEach((one, i) =>
      placed.slice(i + 1).forEach((other) => {
        const left = placed.filter((engine) => engine !== one && engine !== other);
        const mended = applyPlan(left, plan(left, early));
        const cut = plan(left, IN_NEED);
        if (listMissing(mended).length > 0 && cut !== null) {
          cuts += 1;
          expect(listMissing(left)).to.include.members([...listMissing(mended)]);
        }
      }),
    );
    expect(cuts).to.be.greaterThan(0);
  });

  it('moves an engine to a range with one holder from one with three or more, when all is calm', () => {
    const placed = createPlaced();
    const groupOf = ({ held }: RangeEngine): RangeEngine[] =>
      placed.filter((engine) => engine.held?.first === held?.first);
    const pair = placed.findLast((engine) => groupOf(engine).length === 2) as RangeEngine;
    const left = placed.filter((engine) => engine !== pair);
    const moved = plan(left, { ...AT_ONCE, mayBalance: true });
    expect([...(moved?.values() ?? [])]).to.deep.equal([pair.held]);
    const [donor] = moved?.keys() ?? [];
    const from = left.find(({ id }) => id === donor) as RangeEngine;
    expect(groupOf(from).length).to.be.at.least(3);
  });

  it('plans one chain where memory allows no copies', () => {
    const engines = createGroupEngines([72, 43.2, 36, 21.6]);
    const placed = applyPlan(engines, plan(engines));
    expect(findGaps(placed, GROUP_MODEL)).to.deep.equal([]);
    expect(hasCopies(placed)).to.equal(false);
  });

  it('comes to rest with every layer held, through any series of losses and arrivals', () => {
    const change = fc.record({ lose: fc.nat(), memory: fc.constantFrom(21.6, 43.2, 72) });
    fc.assert(
      fc.property(fc.array(change, { minLength: 1, maxLength: 8 }), (changes) => {
        let engines = createPlaced(DOMAINS.second);
        changes.forEach(({ lose, memory }, i) => {
          const lost = lose % engines.length;
          engines = engines.filter((_, at) => at !== lost);
          engines.push({ id: `n${i}`, memoryBytes: memory * 1e9, held: null });
          engines = settle(engines);
        });
        expect(findGaps(engines, GROUP_MODEL)).to.deep.equal([]);
      }),
    );
  });
});

/** Carries plans out step by step until none is left; no step may break a chain or overfill an engine. */
function settle(start: readonly RangeEngine[]): RangeEngine[] {
  let engines = [...start];
  for (let round = 0; round < 30; round++) {
    const goals = plan(engines, { ...IN_NEED, mayBalance: false });
    if (goals === null) {
      return engines;
    }
    for (const [id, goal] of goals) {
      const engine = engines.find((other) => other.id === id) as RangeEngine;
      const others = engines.filter((other) => other !== engine);
      const wasWhole = findGaps(engines, GROUP_MODEL).length === 0;
      const held = planStep(engine, goal, others, GROUP_MODEL);
      engines = engines.map((other) => (held && other === engine ? { ...engine, held } : other));
      expect(!wasWhole || findGaps(engines, GROUP_MODEL).length === 0).to.equal(true);
      expect(engines.every((other) => getWeights(other) <= other.memoryBytes)).to.equal(true);
    }
  }
  throw new Error('plans never come to rest');
}
