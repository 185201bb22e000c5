/**
 * Checks the code against the specifications packages/proof/specs/manifest-*.pml, so that they cannot
 * diverge: each state change of the state machine must be a step of the specification, and each step
 * must occur.
 */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { StoreContext } from '../../ManifestCalls.js';
import { splitManifest } from '../../ManifestChunks.js';
import type { SpreadMember } from '../../ManifestPeers.js';
import { readHistory, readRoot } from '../../ManifestReader.js';
import type { ManifestRoot } from '../../ManifestRoot.js';
import { ROOT_KEY } from '../../ManifestRoot.js';
import { createSpread, stepSpread } from '../../ManifestSpread.js';
import type { SpreadEffect, SpreadEvent, SpreadState } from '../../ManifestSpreadTypes.js';
import { DEFAULT_SPREAD_SETTINGS, getRevisionOf } from '../../ManifestSpreadTypes.js';
import type { SubmitOutcome } from '../../ManifestStore.js';
import { submitManifest } from '../../ManifestStore.js';
import { createBed, DEADLINE } from '../ManifestBed.js';
import { createManifest } from '../ManifestFixtures.js';

const MEMBERS: readonly SpreadMember[] = [
  { id: 'i0', domain: 'd0' },
  { id: 'i1', domain: 'd0' },
  { id: 'i2', domain: 'd1' },
];
const MAX_REVISION = 3;
/** The specification has no timeouts: an instance waits for its keeper, and a start for all answers. */
const SETTINGS = { ...DEFAULT_SPREAD_SETTINGS, holdLimit: Infinity, startLimit: Infinity };

function readSteps(spec: string): string[] {
  const path = `../../../../proof/specs/${spec}.pml`;
  const text = readFileSync(new URL(path, import.meta.url), 'utf8');
  return [...text.matchAll(/\/\* step: ([a-z-]+) \*\//g)].map((match) => match[1] as string).sort();
}

function createRoots(): { roots: readonly ManifestRoot[]; chunks: Map<string, string> } {
  const chunks = new Map<string, string>();
  const roots = Array.from({ length: MAX_REVISION }, (_, i) => {
    const split = splitManifest(createManifest(i + 1), null, i);
    split.added.forEach((text, ref) => chunks.set(ref, text));
    const { body } = split;
    return { format: 1, revision: i + 1, submission: `s${i}`, body, history: body } as const;
  });
  return { roots, chunks };
}

/** Runs three real state machines through random steps and adds the steps that occur to `seen`. */
function walkSpread(random: Random, length: number, seen: Set<string>): void {
  const { roots, chunks } = createRoots();
  const ctx = { settings: SETTINGS, random };
  const highest = MEMBERS.map(() => 0);
  let states: SpreadState[] = MEMBERS.map((self) => createSpread(self, MEMBERS));
  let root = 0;
  let isPlatformUp = true;
  let at = 0;
  let isLinked = (_from: number, _to: number): boolean => true;

  const held = (i: number): number => getRevisionOf((states[i] as SpreadState).held);
  const hasStarted = (i: number): boolean => states[i]?.start === null;

  /** Delivers an event to one machine and then, in order, all events that result from its effects. */
  function deliver(first: number, firstEvent: SpreadEvent): void {
    const queue = [{ to: first, event: firstEvent }];
    for (let next = queue.shift(); next; next = queue.shift()) {
      const { to: i, event } = next;
      const step = stepSpread(ctx, states[i] as SpreadState, event);
      states = states.map((state, j) => (j === i ? step.state : state));
      queue.push(...step.effects.flatMap((effect) => runEffect(i, effect)));
    }
  }

  /** Returns the events that result from an effect of machine `i`. */
  function runEffect(i: number, effect: SpreadEffect): { to: number; event: SpreadEvent }[] {
    if (effect.type === 'send') {
      const to = MEMBERS.findIndex(({ id }) => id === effect.to);
      const from = (MEMBERS[i] as SpreadMember).id;
      const event = { type: 'message', at, from, message: effect.message } as const;
      return isLinked(i, to) ? [{ to, event }] : [];
    }
    if (effect.type === 'read-chunks') {
      const refs = isPlatformUp ? effect.refs : [];
      const read = new Map(refs.map((ref) => [ref, chunks.get(ref) as string]));
      return [{ to: i, event: { type: 'chunks-read', at, body: effect.body, chunks: read } }];
    }
    if (effect.type === 'apply') {
      const { revision } = effect.manifest.root;
      expect(revision).to.be.at.least(highest[i] as number);
      highest[i] = revision;
    }
    return [];
  }

  function readPlatform(i: number): void {
    const reading = {
      kind: 'read',
      platformRevision: root,
      root: roots[root - 1] ?? null,
    } as const;
    deliver(i, { type: 'root-read', at, via: 'poll', reading });
  }

  function restart(i: number): void {
    states = states.map((state, j) =>
      j === i ? createSpread(MEMBERS[j] as SpreadMember, MEMBERS) : state,
    );
    seen.add('restart');
    isLinked = () => true;
    if (isPlatformUp && random.nextInt(2) === 0) {
      isLinked = () => false;
      deliver(i, { type: 'started', at });
      isLinked = () => true;
      readPlatform(i);
      seen.add('start-platform');
    } else {
      const best = Math.max(...states.map((_, j) => (j === i ? 0 : held(j))));
      deliver(i, { type: 'started', at });
      // The peers' answers suffice only once a read from the platform has failed.
      deliver(i, { type: 'root-read', at, via: 'poll', reading: { kind: 'failed' } });
      expect(held(i)).to.be.at.least(best);
      // If no peer holds a revision, the machine keeps querying; the specification starts with none.
      seen.add(best > 0 ? 'start-peers' : 'restart');
    }
  }

  function matchChangesToSteps(before: readonly SpreadState[]): void {
    states.forEach((state, i) => {
      const previous = before[i] as SpreadState;
      const others = states.filter((other, j) => j !== i && other.start === null);
      const isHeldElsewhere = others.some(
        (other) => getRevisionOf(other.held) >= getRevisionOf(state.held),
      );
      if (getRevisionOf(state.held) > getRevisionOf(previous.held)) {
        const isFromPlatform = isPlatformUp && getRevisionOf(state.held) <= root;
        expect(isHeldElsewhere || isFromPlatform, 'held without a matching step').to.equal(true);
        seen.add(isFromPlatform && !isHeldElsewhere ? 'learn-platform' : 'learn-peer');
      }
      if (state.isKept && !previous.isKept) {
        expect(isHeldElsewhere, 'marked as kept although no other instance holds it').to.equal(
          true,
        );
        seen.add('hear-keeper');
      }
      if (getRevisionOf(state.inForce) > getRevisionOf(previous.inForce)) {
        expect(state.isKept, 'in force without a keeper that holds it').to.equal(true);
        seen.add('put-in-force');
      }
    });
  }

  MEMBERS.forEach((_, i) => {
    deliver(i, { type: 'started', at });
    readPlatform(i);
  });
  for (let n = 0; n < length; n++) {
    at += 1000;
    const acting = random.nextInt(MEMBERS.length);
    const linked = MEMBERS.map(() => MEMBERS.map(() => random.nextInt(3) > 0));
    isLinked = (from, to) => linked[from]?.[to] === true;
    const before = states;
    const choice = random.nextInt(10);
    if (choice === 0 && isPlatformUp && root < MAX_REVISION) {
      root += 1;
      seen.add('accept');
    } else if (choice === 1) {
      isPlatformUp = !isPlatformUp;
      seen.add('outage');
    } else if (choice === 2 && states.every((_, i) => hasStarted(i))) {
      restart(acting);
    } else if (choice < 6 && isPlatformUp) {
      readPlatform(acting);
      matchChangesToSteps(before);
    } else {
      deliver(acting, { type: 'tick', at });
      matchChangesToSteps(before);
    }
  }
}

describe('ManifestSpec', () => {
  it('makes exactly the steps that the specification of the distribution has', () => {
    const seen = new Set<string>();
    for (let seed = 1; seed <= 150; seed++) {
      walkSpread(createRandom(seed), 80, seen);
    }
    expect([...seen].sort()).to.deep.equal(readSteps('manifest-spread'));
  });

  it('satisfies the assertions of the specification of acceptance despite lost and late writes', async () => {
    const outcomes = await checkAcceptance(0);
    expect(outcomes).to.include.members(['accepted', 'conflict']);
    const steps = ['land-late', 'read-base', 'read-winner', 'swap-root'];
    expect(readSteps('manifest-accept')).to.deep.equal(steps);
  });

  it('satisfies the same assertions if the platform rejects swaps of the root in between', async () => {
    // Guards against reporting "not accepted" after a rejected swap although an earlier, unanswered one
    // takes effect.
    const outcomes = await checkAcceptance(0.3);
    expect(outcomes).to.include.members(['accepted', 'conflict', 'unavailable', 'unknown']);
  });

  /** Runs submitters against a faulty platform that rejects a share of the swaps of the root. */
  async function checkAcceptance(rejected: number): Promise<ReadonlySet<string>> {
    const outcomes = new Set<string>();
    for (let seed = 1; seed <= 60; seed++) {
      const bed = createBed(seed);
      const submit = (id: string, teams: number): Promise<SubmitOutcome> =>
        submitManifest(rejectSwapsOfRoot(bed.connect(id), rejected), createManifest(teams), {
          submissionId: id,
          expectedRevision: null,
          deadline: bed.timers.now() + DEADLINE,
        });
      bed.platform.setFaults({
        lostAnswers: 0.2,
        lostCalls: 0.2,
        lateEffects: 0.1,
        lateDelay: 3000,
      });
      const submitTwice = async (id: string, teams: number): Promise<SubmitOutcome[]> => {
        const first = await submit(id, teams);
        return [first, await submit(id, teams)];
      };
      const ids = ['a', 'b', 'c'];
      const reports = await bed.run(Promise.all(ids.map((id, i) => submitTwice(id, i + 1))));
      await bed.pass(2 * DEADLINE);
      bed.platform.setFaults({ lostAnswers: 0, lostCalls: 0, lateEffects: 0 });
      const ctx = bed.connect('reader');
      const stored = await bed.run(readRoot(ctx, Infinity));
      const root = stored.ok ? stored.value.root : null;
      const history = root ? await bed.run(readHistory(ctx, Infinity, root, 10)) : null;
      const summaries = history?.ok ? history.value : [];
      ids.forEach((id, i) => {
        const own = summaries.filter(({ submission }) => submission === id);
        expect(own.length, `seed ${seed}`).to.be.at.most(1);
        const [first, second] = reports[i] as SubmitOutcome[];
        [first, second].forEach((report) => {
          outcomes.add(report?.kind ?? '');
          if (report?.kind === 'accepted') {
            expect(own[0]?.revision, `seed ${seed}`).to.equal(report.revision);
          }
        });
        const isRefused = second?.kind === 'conflict' || second?.kind === 'unavailable';
        if (isRefused && first?.kind !== 'unknown') {
          expect(own, `seed ${seed}`).to.have.length(0);
        }
      });
    }
    return outcomes;
  }
});

/** Rejects a random share of the swaps of the root before they reach the platform. */
function rejectSwapsOfRoot(ctx: StoreContext, share: number): StoreContext {
  const swap: StoreContext['platform']['swap'] = (key, expected, value, options) => {
    if (share === 0 || key !== ROOT_KEY || ctx.random.nextFloat() >= share) {
      return ctx.platform.swap(key, expected, value, options);
    }
    const reason = { kind: 'invalid', detail: 'status 403' } as const;
    return Promise.resolve({ kind: 'refused', reason });
  };
  return { ...ctx, platform: { ...ctx.platform, swap } };
}
