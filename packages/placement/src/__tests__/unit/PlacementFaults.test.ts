import { expect } from 'chai';
import { createRandom, sampleElements } from '@skylarksail/core/CoreRandom';
import type { Bed } from '../PlacementBed.js';
import { createBed } from '../PlacementBed.js';
import type { KindName } from '../PlacementFixtures.js';
import { createEngines, createManifest, createModel } from '../PlacementFixtures.js';

// Pairs of faults, at times and engines drawn by seed: two instances place a domain during a version
// rollout, and each fault lasts a while. Once both have ended, the domain must converge to its manifest.
// Each pair runs either with engines that check fencing numbers or with engines that ignore them;
// ALL_PLACEMENT_PAIRS=1 runs each pair with both.

const KINDS: readonly KindName[] = ['medium', 'medium', 'small', 'medium', 'small'];
const WRITER = createModel('writer', 48);
const SERVES = [{ model: 'writer', minTokensPerSecond: 1000, weight: 1 }];
const ENGINES = createEngines(14, KINDS);
const MINUTE = 60_000;
const RUNS_ALL = process.env.ALL_PLACEMENT_PAIRS === '1';

interface Fault {
  readonly name: string;
  readonly start: (bed: Bed, engine: string, instance: string) => void;
  readonly end: (bed: Bed, engine: string, instance: string) => void;
}

const FAULTS: readonly Fault[] = [
  ...(
    ['refuses', 'halfFinishes', 'crashesOnLoad', 'losesAnswers', 'losesOrders', 'isGone'] as const
  ).map((name) => ({
    name,
    start: (bed: Bed, engine: string) => bed.setFaults(engine, { [name]: true }),
    end: (bed: Bed, engine: string) => bed.setFaults(engine, { [name]: false }),
  })),
  { name: 'crash', start: (bed, engine) => bed.crash(engine), end: () => undefined },
  {
    name: 'pause',
    start: (bed, _, instance) => bed.pause(instance),
    end: (bed, _, instance) => bed.resume(instance),
  },
  {
    name: 'pause before orders are sent',
    start(bed, _, instance) {
      bed.holdOrders(instance);
      bed.pause(instance);
    },
    end(bed, _, instance) {
      bed.releaseOrders(instance);
      bed.resume(instance);
    },
  },
  {
    name: 'platform unreachable',
    start: (bed, _, instance) => bed.platform.setFaults({ outage: true }, instance),
    end: (bed, _, instance) => bed.platform.setFaults({ outage: false }, instance),
  },
  {
    name: 'platform loses answers',
    start: (bed) => bed.platform.setFaults({ lostAnswers: 0.4 }),
    end: (bed) => bed.platform.setFaults({ lostAnswers: 0 }),
  },
  {
    name: 'instance stops',
    start: (bed, _, instance) => bed.getRunner(instance).stop(),
    end: (bed, _, instance) => {
      bed.start(`${instance}+`);
    },
  },
];

const PAIRS = FAULTS.flatMap((a, i) => FAULTS.slice(i).map((b) => [a, b] as const));

function isConverged(bed: Bed): boolean {
  const isNewVersion = ({ facts }: (typeof ENGINES)[number]) =>
    bed.getHolding(facts.id)?.version === 'v2';
  return ENGINES.every(isNewVersion) && bed.countMovesLeft() === 0;
}

async function runPair([a, b]: readonly [Fault, Fault], seed: number, isFenced: boolean) {
  const random = createRandom(seed);
  const first = createManifest({ models: [WRITER], serves: SERVES, checksFencing: isFenced });
  const next = createManifest({
    models: [{ ...WRITER, serve: 'v2' }],
    serves: SERVES,
    checksFencing: isFenced,
    revision: 2,
  });
  const bed = createBed({ engines: ENGINES, manifest: first, isPlaced: true, seed });
  bed.start('a');
  bed.start('b');
  await bed.run(MINUTE);
  bed.setManifest(next);
  await bed.run(2000 + random.nextInt(20_000));
  const engines = sampleElements(random, ENGINES, 2).map(({ facts }) => facts.id);
  const [x, y] = engines as [string, string];
  a.start(bed, x, 'a');
  await bed.run(random.nextInt(20_000));
  b.start(bed, y, 'b');
  await bed.run(MINUTE + random.nextInt(MINUTE));
  const during = bed.getCapacity('writer');
  a.end(bed, x, 'a');
  b.end(bed, y, 'b');
  for (let minutes = 0; minutes < 20 && !isConverged(bed); minutes++) {
    await bed.run(MINUTE);
  }
  return { bed, during };
}

function expectNonDecreasingNumbers({ taken }: Bed): void {
  const highest = new Map<string, number>();
  for (const { engine, number, boot } of taken) {
    const key = `${engine}/${boot}`;
    expect(number, key).to.be.at.least(highest.get(key) ?? 0);
    highest.set(key, number);
  }
}

describe('placement under pairs of faults', () => {
  for (const isFenced of [true, false]) {
    it(`converges after each pair: engines that ${isFenced ? 'check' : 'ignore'} fencing numbers`, async () => {
      for (const [i, pair] of PAIRS.entries()) {
        if (!RUNS_ALL && (i % 2 === 0) !== isFenced) {
          continue;
        }
        const name = `${pair[0].name} and ${pair[1].name}, seed ${i}`;
        const { bed, during } = await runPair(pair, i, isFenced);
        expect(during, name).to.be.above(0);
        expect(bed.countMovesLeft(), name).to.equal(0);
        ENGINES.forEach(({ facts }) =>
          expect(bed.getHolding(facts.id), `${name}: ${facts.id}`).to.include({ version: 'v2' }),
        );
        if (isFenced) {
          expectNonDecreasingNumbers(bed);
        }
      }
    });
  }
});
