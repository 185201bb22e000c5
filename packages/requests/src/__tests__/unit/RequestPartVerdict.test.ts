import { expect } from 'chai';
import fc from 'fast-check';
import type { PoisonState } from '../../RequestPoison.js';
import {
  createCrashId,
  createPoisonDigest,
  createPoisonState,
  mergePoisonDigest,
  noteAlive,
  noteBegunParts,
  noteCrash,
} from '../../RequestPoison.js';
import { findPartHold, judgeParts } from '../../RequestPartVerdict.js';
import { PoisonVerdict } from '../../RequestPoisonVerdict.js';
import { createSuspects } from '../../RequestSuspects.js';
import { createRouterCrashes } from '../../RouterCrashes.js';

const { Clean, Suspect, Doubted, Condemned } = PoisonVerdict;
const LATER = 20_000;

function nameParts(partIds: readonly string[], team = 't', request = 'new') {
  return createSuspects(request, { team, model: 'm', partIds }).parts;
}

/** Records the end of an engine under an unbegun request, each time another one. */
function crash(
  state: PoisonState,
  engine: string,
  ids: readonly string[],
  now: number,
  team = 't',
) {
  const request = `request of ${team} at ${engine}`;
  const parts = nameParts(ids, team, request).map(({ suspect }) => suspect);
  return noteCrash(state, createCrashId(engine, 'boot', false), request, now, parts);
}

/** Records that an answer began on some parts after all crashes so far. */
function begin(state: PoisonState, ids: readonly string[]) {
  const names = nameParts(ids).map(({ name }) => name);
  return [...state.crashes.keys()].reduce((next, id) => noteBegunParts(next, id, names), state);
}

function createAsked(ids: readonly string[], now: number, team = 't', wasSound = false) {
  return { parts: nameParts(ids, team), now, wasSound: () => wasSound };
}

/** Verdicts on the parts that were at a crash. */
function judge(state: PoisonState, ids: readonly string[], now = LATER, team = 't') {
  return judgeParts(state, createAsked(ids, now, team)).map(({ verdict }) => verdict);
}

/** Three ends of engines under requests that share some parts. */
function crashThrice(ids: readonly string[], team = 't'): PoisonState {
  return [0, 1, 2].reduce(
    (state, i) => crash(state, `e${i}`, ids, i * 1000, team),
    createPoisonState(3),
  );
}

describe('RequestPartVerdict', () => {
  it('condemns the part that unlike requests share at three crashes, and not those on which answers begin', () => {
    // Guards against a first part that is refused since all requests that crash engines hold it, as sound ones do.
    const state = begin(crashThrice(['first', 'bad']), ['first', 'other']);
    expect(judge(state, ['first', 'other'])).to.deep.equal([]);
    expect(judge(state, ['bad'])).to.deep.equal([Condemned]);
    expect(judge(state, ['bad'], 2500), 'reports may be late').to.deep.equal([Doubted]);
    expect(judge(crash(createPoisonState(3), 'e', ['bad'], 0), ['bad'])).to.deep.equal([Suspect]);
  });

  it('counts a crash after an answer began on a part, and none before', () => {
    // Guards against a part that was sound for long and is never found once it crashes engines.
    let state = begin(crashThrice(['turned']), ['turned']);
    expect(judge(state, ['turned'])).to.deep.equal([]);
    ['x', 'y', 'z'].forEach((engine, i) => {
      state = crash(state, engine, ['turned'], 5000 + i * 1000);
    });
    expect(judge(state, ['turned'])).to.deep.equal([Condemned]);
  });

  it('blames the one request that was at all crashes, and not its parts', () => {
    // Guards against sound requests of a session that are refused for one of them, which crashes engines as a whole.
    const parts = nameParts(['session']).map(({ suspect }) => suspect);
    const state = [0, 1, 2].reduce(
      (next, i) => noteCrash(next, `e${i}@boot`, 'the same', i * 1000, parts),
      createPoisonState(3),
    );
    expect(judge(state, ['session'])).to.deep.equal([Suspect]);
  });

  it('blames no part for engines that are lost at the same moment', () => {
    // Guards against a lost rack whose requests share a part on which nothing could begin between the ends.
    const rack = Array.from({ length: 13 }, (_, i) => i).reduce(
      (state, i) => crash(state, `e${i}`, ['first'], i * 20),
      createPoisonState(3),
    );
    expect(judge(rack, ['first'])).to.deep.equal([Suspect]);
  });

  it('does not count ends that are disproven', () => {
    // Guards against parts that are condemned by connections that were reset.
    const state = noteAlive(crashThrice(['sound']), createCrashId('e1', 'boot', false));
    expect(judge(state, ['sound'])).to.deep.equal([Suspect]);
  });

  it('condemns no part in the hands of a team for the crashes of another team alone', () => {
    // Guards against a caller whose requests crash engines by something else and who names the parts of others.
    const state = crashThrice(['shared'], 'mallory');
    expect(judge(state, ['shared'], LATER, 'mallory')).to.deep.equal([Condemned]);
    expect(judge(state, ['shared'], LATER, 'alice')).to.deep.equal([Clean]);
    const both = crash(state, 'e9', ['shared'], 9000, 'bob');
    expect(judge(both, ['shared'], LATER, 'alice'), 'a part of several').to.deep.equal([Condemned]);
  });

  it('tries a request that holds one of two parts that were always together', () => {
    // Guards against a sound part that is refused for an hour, since only requests that crash engines have held it so far.
    const state = crashThrice(['bad', 'beside']);
    expect(judge(state, ['bad', 'beside'])).to.deep.equal([Condemned, Condemned]);
    expect(judge(state, ['beside'])).to.deep.equal([Suspect]);
    expect(findPartHold(state, createAsked(['beside'], LATER), true)?.kind).to.equal('trial');
    const cleared = begin(state, ['beside']);
    expect(judge(cleared, ['beside'])).to.deep.equal([]);
    expect(judge(cleared, ['bad'])).to.deep.equal([Condemned]);
  });

  it('does not free a part because another is found guilty of one of its crashes', () => {
    // Guards against the requests with one such part that are let in again once those with another have ended more engines.
    const own = [['bad'], ['bad', 'worse'], ['bad']];
    const others = [['worse'], ['worse'], ['worse']];
    const state = [...own, ...others].reduce(
      (next, ids, i) => crash(next, `e${i}`, ids, i * 1000),
      createPoisonState(3),
    );
    expect([...judge(state, ['bad']), ...judge(state, ['worse'])]).to.deep.equal([
      Condemned,
      Condemned,
    ]);
  });

  it('does not blame a bystander of three crashes that a part with more of them explains', () => {
    // Guards against sound requests that wait on each engine that ends, and whose session is refused for it.
    let state = crashThrice(['bad', 'beside']);
    state = crash(state, 'e9', ['bad'], 4000);
    expect(judge(state, ['beside'])).to.deep.equal([Suspect]);
    expect(findPartHold(state, createAsked(['beside'], LATER), true)).to.equal(null);
    expect(judge(state, ['bad'])).to.deep.equal([Condemned]);
  });

  it('holds a first attempt from the second crash on, and a repetition from the first', () => {
    // Guards against requests that each take two engines, as their repetition begins before anyone can know.
    const one = crash(createPoisonState(3), 'x', ['bad'], 0);
    const two = crash(one, 'y', ['bad'], 1000);
    const hold = (state: PoisonState, now: number, isFirst: boolean) =>
      findPartHold(state, createAsked(['bad'], now), isFirst)?.kind ?? null;
    expect([hold(one, 1100, true), hold(one, 1100, false)]).to.deep.equal([null, 'trial']);
    expect([hold(two, 1100, true), hold(two, 1100, false)]).to.deep.equal(['trial', 'later']);
    expect(hold(two, 2100, false)).to.equal('trial');
  });

  it('tries a condemned part again after a pause, a bounded number of times', () => {
    // Guards against a part that is condemned by chance and refused for as long as its crashes are remembered.
    let state = crashThrice(['bad']);
    const crashes = [2000];
    for (let now = 3000; now < 3_000_000; now += 1000) {
      if (judge(state, ['bad'], now)[0] === Suspect) {
        state = crash(state, `again ${now}`, ['bad'], now);
        crashes.push(now);
      }
    }
    expect(crashes).to.have.length(2);
    expect((crashes[1] ?? 0) - 2000).to.be.at.least(60_000);
    const sound = judgeParts(crashThrice(['bad']), createAsked(['bad'], 15_000, 't', true));
    expect(sound[0]?.verdict, 'a part that was sound before').to.equal(Suspect);
  });

  it('keeps a bounded number of parts of a crash, and merges them in any order', () => {
    // Guards against callers who list thousands of parts, and against instances that differ for good.
    const digests = [0, 1, 2].map((i) => {
      const state = Array.from({ length: 60 }, (_, j) =>
        Array.from({ length: 30 }, (__, k) => `${i}-${j}-${k}`),
      ).reduce((next, ids) => crash(next, 'e', ids, 0), createPoisonState(3));
      return createPoisonDigest(begin(state, [`${i}-1-1`]), 0);
    });
    const merge = (order: readonly number[]) => {
      const state = order.reduce(
        (next, i) => mergePoisonDigest(next, digests[i] ?? { reports: [] }, 0),
        createPoisonState(3),
      );
      const [known] = [...state.crashes.values()];
      return [[...(known?.parts ?? [])].sort(), [...(known?.begunParts ?? [])].sort()];
    };
    expect(merge([0, 1, 2])[0]).to.have.length(256);
    expect(JSON.stringify(digests).length).to.be.below(3 * 20_000 + 10_000);
    fc.assert(
      fc.property(fc.shuffledSubarray([0, 1, 2], { minLength: 3 }), (order) => {
        expect(merge([...order, ...order])).to.deep.equal(merge([0, 1, 2]));
      }),
      { seed: 11 },
    );
  });

  it('clears a part by an answer that began shortly before the crash is known here, and tells the others', () => {
    // Guards against an instance that refuses the first part of all requests, as another saw the answers on it begin.
    const [observer, other] = [0, 1].map(() => createRouterCrashes(3, () => undefined));
    if (!observer || !other) {
      throw new Error('two records were created');
    }
    const [first] = nameParts(['first']).map(({ name }) => name);
    other.noteBegun([first ?? ''], 900);
    observer.note((state) => crash(state, 'e', ['first', 'bad'], 1000));
    other.merge(observer.listObserved(0, 1100), 1100);
    expect(judge(other.getState(), ['first', 'bad'], 1200)).to.deep.equal([Suspect]);
    observer.merge(other.listObserved(0, 1200), 1200);
    expect(judge(observer.getState(), ['first', 'bad'], 1300)).to.deep.equal([Suspect]);
    expect(judge(observer.getState(), ['first'], 1300)).to.deep.equal([]);
    expect(other.listObserved(0, 1200).reports[0]?.parts, 'what others observed').to.deep.equal([]);
  });
});
