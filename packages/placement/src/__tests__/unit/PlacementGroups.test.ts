import { expect } from 'chai';
import fc from 'fast-check';
import { createGroupLayout, createGroupPlan } from '../../PlacementGroups.js';
import { findGaps } from '../../PlacementRanges.js';
import {
  applyPlan,
  createGroupEngines,
  DOMAINS,
  getLeastRoom,
  getWeights,
  GROUP_MODEL,
} from '../GroupFixtures.js';

const REQUEST_BYTES =
  (GROUP_MODEL.kvTokenBytes * (GROUP_MODEL.usualPromptTokens + GROUP_MODEL.usualAnswerTokens)) /
  GROUP_MODEL.layers;
/** Requests of 3 s that a domain runs when it gets a third of 57 a second. */
const ORDINARY_LOAD = 57;

function place(memory: readonly number[], mostCopies = 8) {
  const engines = createGroupEngines(memory);
  const layout = createGroupLayout(engines, GROUP_MODEL, mostCopies);
  return layout && { layout, engines: applyPlan(engines, createGroupPlan(layout)) };
}

describe('PlacementGroups', () => {
  it('keeps a whole chain with room for the load when any but few engines are lost', () => {
    // Symptom: a domain of a dozen engines serves nothing for 5 to 8 seconds, again and again.
    // Sequence: an engine leaves, another crashes, a third is replaced, each of them in a chain of all.
    // Cause: each layer had one holder; and where it had two, the one that was left had no room for both
    // loads, so that it refused one arrival in three.
    for (const memory of Object.values(DOMAINS)) {
      const placed = place(memory);
      const engines = placed?.engines ?? [];
      const spared = engines.filter((lost) => {
        const left = engines.filter((engine) => engine !== lost);
        const isWhole = findGaps(left, GROUP_MODEL).length === 0;
        expect(!isWhole || getLeastRoom(left) >= ORDINARY_LOAD * REQUEST_BYTES).to.equal(true);
        return isWhole;
      });
      expect(engines.length - spared.length).to.be.at.most(2);
    }
  });

  it('covers every layer without filling an engine beyond its memory, whatever the fleet', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom(14.4, 21.6, 36, 43.2, 72), { maxLength: 40 }),
        fc.integer({ min: 1, max: 8 }),
        (memory, mostCopies) => {
          const placed = place(memory, mostCopies);
          for (const engine of placed?.engines ?? []) {
            expect(getWeights(engine)).to.be.at.most(0.85 * engine.memoryBytes);
          }
          if (placed) {
            expect(findGaps(placed.engines, GROUP_MODEL)).to.deep.equal([]);
            expect(placed.layout.groups.length).to.be.at.most(32);
            expect(
              placed.layout.groups.every(({ engines }) => engines.length <= mostCopies),
            ).to.equal(true);
          }
        },
      ),
    );
  });

  it('puts the group with the most engines first, since the first of a chain bounds what it takes', () => {
    const sizes =
      place(DOMAINS.first ?? [])?.layout.groups.map(({ engines }) => engines.length) ?? [];
    expect(sizes[0]).to.equal(Math.max(...sizes));
  });

  it('makes no copies where the weights fill the memory, or where none are wanted', () => {
    expect(place([72, 36, 36, 21.6])).to.equal(null);
    expect(place([])).to.equal(null);
    expect(place(DOMAINS.first ?? [], 1)).to.equal(null);
  });
});
