import { expect } from 'chai';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { FailurePlace } from '../../RequestPorts.js';
import type { EngineFateName } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG, EngineFate } from '../../RouterTypes.js';
import type { FakeWorld, OpenedCall, ReceivedAnswer } from './RequestFakes.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  listEngines,
  listWords,
  sendTokens,
} from './RequestFakes.js';

const MAX_ENGINES = 2;
const LENGTH = 20;
const DEADLINE: Millis = 20_000;
const PATIENCE: Millis = 1700;
/** When a health check that follows a broken stream has its result. */
const EVIDENCE_DELAY: Millis = 350;

/** What happens to the first engine of a chain during an attempt, and what a health check shows afterwards. */
interface Mishap {
  readonly place: 'stream' | 'silence';
  readonly fate: EngineFateName;
}

const RESET: Mishap = { place: 'stream', fate: EngineFate.Alive };
const END: Mishap = { place: 'stream', fate: EngineFate.Ended };
const STALL: Mishap = { place: 'silence', fate: EngineFate.Unknown };
const RESET_UNSEEN: Mishap = { place: 'stream', fate: EngineFate.Unknown };

interface Bed {
  readonly world: FakeWorld;
  readonly heard: ReceivedAnswer;
  strike(mishap: Mishap): void;
  /** First engines that ran the request and did not end. */
  countEngines(): number;
}

function createBed(copies = 5): Bed {
  const fates = new Map<EngineId, { readonly fate: EngineFateName; readonly at: Millis }>();
  const { silence } = DEFAULT_ROUTER_CONFIG;
  const least = { least: 350, most: 350 };
  const bounds = { acknowledgement: least, firstToken: least, gap: { least: 200, most: 400 } };
  const numbers = Array.from({ length: copies }, (_, i) => i + 1);
  const world = createFakeWorld(
    {
      cfg: {
        ...DEFAULT_ROUTER_CONFIG,
        silence: { ...silence, ...bounds, mostUnclear: 0 },
        isRecoveryBudgeted: true,
        // The only request would be taken for the cause of the crashes.
        poisonCrashes: 9,
      },
      getEngineFate: (engine, since) => {
        const known = fates.get(engine);
        const isKnown = known !== undefined && known.at >= since && known.at <= world.timers.now();
        return isKnown ? known.fate : EngineFate.Unknown;
      },
      mayBreakOff: () => true,
    },
    [numbers.map((n) => `a${n}`), numbers.map((n) => `b${n}`)],
  );
  const heard = world.submit('r', {
    maxAttempts: MAX_ENGINES,
    patience: PATIENCE,
    breakAfter: PATIENCE,
    deadline: DEADLINE,
  });
  const ran = new Set<EngineId>();

  function runTokens(opened: OpenedCall): void {
    acknowledge(opened);
    sendTokens(world, opened, heard.tokens.length, heard.tokens.length + 2);
    ran.add(listEngines(opened)[0] ?? '');
  }

  return {
    world,
    heard,
    strike({ place, fate }) {
      const opened = world.last();
      const [engine = ''] = listEngines(opened);
      runTokens(opened);
      const before = world.calls.length;
      const brokenAt = world.timers.now();
      if (fate !== EngineFate.Unknown) {
        fates.set(engine, { fate, at: brokenAt + EVIDENCE_DELAY });
      }
      if (fate === EngineFate.Ended) {
        ran.delete(engine);
      }
      if (place === 'stream') {
        opened.listener.onFailure(createFailure({ place: FailurePlace.Stream, engine }));
      }
      while (world.calls.length === before && world.timers.now() < brokenAt + PATIENCE + 100) {
        world.timers.advanceTo(world.timers.now() + 1);
      }
    },
    countEngines: () => new Set([...ran, listEngines(world.last())[0] ?? '']).size,
  };
}

/** Completes the answer through the newest call. */
function finish({ world, heard }: Bed): void {
  const last = world.last();
  acknowledge(last);
  sendTokens(world, last, heard.tokens.length, LENGTH);
  last.listener.onEnd('stop', LENGTH);
}

describe('Broken streams whose engines may still run', () => {
  const sequences: readonly (readonly [string, readonly Mishap[]])[] = [
    ['reset, then stall', [RESET, STALL]],
    ['reset, then end', [RESET, END]],
    ['end, then reset', [END, RESET]],
    ['end, then stall', [END, STALL]],
    ['two resets', [RESET, RESET]],
    ['two ends', [END, END]],
    ['reset, end, reset', [RESET, END, RESET]],
    ['three ends', [END, END, END]],
  ];

  for (const [name, mishaps] of sequences) {
    it(`runs on no more engines than allowed and completes the answer: ${name}`, () => {
      // Guards against a reset that counts as an engine's end, so that a request runs on a third engine.
      const bed = createBed();
      mishaps.forEach(bed.strike);
      expect(bed.countEngines(), 'engines').to.be.at.most(MAX_ENGINES);
      finish(bed);
      expect(bed.heard.tokens).to.deep.equal(listWords(LENGTH));
      expect(bed.heard.ends).to.deep.equal(['stop']);
    });
  }

  it('ends the request truthfully if nothing shows that its engines ended', () => {
    // Guards against another engine on a guess, and against a wait that outlasts the evidence.
    const bed = createBed();
    bed.strike(RESET_UNSEEN);
    bed.strike(RESET_UNSEEN);
    expect(bed.heard.problems).to.deep.equal([
      { kind: 'engine-failed', run: 'ran', retryAfter: null, instance: null },
    ]);
    expect(bed.world.calls.length).to.equal(MAX_ENGINES);
    expect(bed.world.count('gaveUpAttemptsSpent')).to.equal(1);
  });

  it('gives an engine new work again once it is known that only a connection to it was reset', () => {
    // Guards against engines that an instance avoids as dead for seconds after its own connections were reset.
    const bed = createBed(1);
    bed.world
      .last()
      .listener.onFailure(createFailure({ place: FailurePlace.Connect, engine: 'a1' }));
    bed.world.router.noteEngineAlive('a1', 'boot-of-a1');
    const opened = bed.world.calls.length;
    bed.world.submit('other');
    expect(bed.world.calls.length).to.equal(opened + 1);
  });

  it('keeps new work off a silent engine that answers a health check', () => {
    // Guards against new requests at an engine that is too busy to begin the ones that it has.
    const bed = createBed(2);
    const [first] = listEngines(bed.world.last());
    bed.world.router.noteEngineLost(first ?? '');
    bed.world.router.noteEngineAlive(first ?? '', 'boot');
    bed.world.submit('other');
    expect(listEngines(bed.world.last())[0]).to.not.equal(first);
  });
});
