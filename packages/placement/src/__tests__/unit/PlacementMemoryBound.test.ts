import { expect } from 'chai';
import { planCopies } from '../../PlacementCopies.js';
import { createGroupLayout } from '../../PlacementGroups.js';
import type { GroupLayout, GroupModel } from '../../PlacementGroups.js';
import type { RangeEngine } from '../../PlacementRanges.js';
import { findGaps } from '../../PlacementRanges.js';
import { applyPlan, createGroupEngines, getLeastRoom, GROUP_MODEL } from '../GroupFixtures.js';

const MOST_COPIES = 8;
const MODEL: GroupModel = {
  ...GROUP_MODEL,
  kvTokenBytes: 845_373,
  usualPromptTokens: 775,
  usualAnswerTokens: 222,
  isMemoryBound: true,
};
/** The same model where memory does not limit the engines. */
const UNBOUND_MODEL: GroupModel = { ...MODEL, isMemoryBound: false };
const REQUEST_BYTES =
  (MODEL.kvTokenBytes * (MODEL.usualPromptTokens + MODEL.usualAnswerTokens)) / MODEL.layers;
/** Numbers of engines of 72, 43.2 and 21.6 GB in three domains. */
const DOMAINS = [
  [4, 6, 14],
  [2, 9, 22],
  [2, 15, 12],
] as const;
/** Requests that run at once: 83 a second of 3.5 s each, and half as many again in a burst. */
const BURST_LOAD = 83 * 3.5 * 1.5;

function createEngines(counts: readonly number[]): RangeEngine[] {
  return createGroupEngines(
    counts.flatMap((count, i) => Array.from({ length: count }, () => [72, 43.2, 21.6][i] ?? 0)),
  );
}

function plan(engines: readonly RangeEngine[], mayBalance: boolean, model = MODEL) {
  return planCopies(engines, model, MOST_COPIES, {
    mayReassign: false,
    mayRebuild: false,
    mayRepartition: false,
    mayBalance,
  });
}

function countSoleHolders(layout: GroupLayout | null): number {
  return layout?.groups.filter(({ engines }) => engines.length === 1).length ?? Infinity;
}

describe('PlacementMemoryBound', () => {
  it('leaves KV cache for a burst, without more engines that are the only holder of their layers', () => {
    // Guards against domains that hold five to eight copies of the weights and have KV cache for two thirds of the requests
    // of ordinary load, so that engines preempt requests and prefill them again.
    DOMAINS.forEach((counts) => {
      const engines = createEngines(counts);
      const before = createGroupLayout(engines, UNBOUND_MODEL, MOST_COPIES);
      const after = createGroupLayout(engines, MODEL, MOST_COPIES);
      const placed = applyPlan(engines, plan(engines, false));
      expect(countSoleHolders(after)).to.be.at.most(countSoleHolders(before));
      expect(after?.requests).to.be.at.least(before?.requests ?? Infinity);
      expect(MODEL.slots * (after?.groups[0]?.engines.length ?? 0)).to.be.at.least(BURST_LOAD);
      expect(getLeastRoom(placed) / REQUEST_BYTES).to.be.at.least(BURST_LOAD);
    });
  });

  it('moves no engine away from the layers with the least KV cache', () => {
    // Guards against a balance by number of holders: engines of the group with most holders, and the least KV cache, moved
    // to a group of two that had twice as much, before the first request arrived.
    DOMAINS.forEach((counts) => {
      const engines = createEngines(counts);
      let placed = applyPlan(engines, plan(engines, false, UNBOUND_MODEL));
      for (let moves = plan(placed, true), count = 0; moves !== null; moves = plan(placed, true)) {
        const next = applyPlan(placed, moves);
        expect(getLeastRoom(next)).to.be.at.least(getLeastRoom(placed));
        expect(findGaps(next, MODEL)).to.deep.equal([]);
        placed = next;
        count += 1;
        expect(count, 'moves until no engine moves').to.be.below(engines.length);
      }
    });
  });

  it('gives a range that has lost all holders but one another engine', () => {
    const engines = createEngines(DOMAINS[0]);
    const placed = applyPlan(engines, plan(engines, false));
    const pair = placed.find(
      ({ held }) => placed.filter((other) => other.held?.first === held?.first).length === 2,
    ) as RangeEngine;
    const moves = plan(
      placed.filter((engine) => engine !== pair),
      true,
    );
    expect([...(moves?.values() ?? [])]).to.deep.equal([pair.held]);
  });
});
