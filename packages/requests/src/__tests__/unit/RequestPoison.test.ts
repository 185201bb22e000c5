import { expect } from 'chai';
import fc from 'fast-check';
import type { PoisonState } from '../../RequestPoison.js';
import {
  computeFingerprint,
  CRASH_RETENTION,
  createCrashId,
  createPoisonDigest,
  createPoisonState,
  findCurrentEnd,
  mergePoisonDigest,
  noteAlive,
  noteAnswer,
  noteCrash,
  noteSurvival,
  UNKNOWN_BOOT,
} from '../../RequestPoison.js';
import { judgeRequest, PoisonVerdict } from '../../RequestPoisonVerdict.js';
import { FailurePlace } from '../../RequestPorts.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  sendTokens,
  listEngines,
  VARIANT,
} from './RequestFakes.js';

/** Records a crash of an engine with its suspects. */
function crash(state: PoisonState, suspects: readonly string[], engine: string, now: number) {
  const id = createCrashId(engine, 'boot', false);
  return suspects.reduce((next, suspect) => noteCrash(next, id, suspect, now), state);
}

describe('RequestPoison', () => {
  it('condemns only the request that is common to two crashes', () => {
    let state = crash(createPoisonState(2), ['poison', 'b1', 'b2'], 'x', 0);
    expect(judgeRequest(state, 'poison', 1)).to.equal(PoisonVerdict.Suspect);
    state = crash(state, ['poison', 'b3'], 'y', 60_000);
    const verdicts = ['poison', 'b1', 'b2', 'b3', 'new'].map((id) =>
      judgeRequest(state, id, 61_000),
    );
    const { Condemned, Suspect, Clean } = PoisonVerdict;
    expect(verdicts).to.deep.equal([Condemned, Suspect, Suspect, Suspect, Clean]);
  });

  it('clears a harmless request that was running at two crashes by chance', () => {
    // Guards against refusing a harmless request that shared two engines with a poison request.
    let state = crash(createPoisonState(2), ['poison', 'honest'], 'x', 0);
    state = crash(state, ['poison', 'honest'], 'y', 60_000);
    expect(judgeRequest(state, 'honest', 61_000)).to.equal(PoisonVerdict.Ambiguous);
    state = noteSurvival(state, 'honest');
    expect(judgeRequest(state, 'honest', 61_001)).to.equal(PoisonVerdict.Clean);
    expect(judgeRequest(state, 'poison', 61_001)).to.equal(PoisonVerdict.Condemned);
  });

  it('waits for the reports of other instances before it condemns', () => {
    // Guards against condemning a bystander from the incomplete suspects of a single instance.
    const seen = crash(
      crash(createPoisonState(2), ['bystander'], 'x', 0),
      ['bystander'],
      'y',
      1000,
    );
    expect(judgeRequest(seen, 'bystander', 1001)).to.equal(PoisonVerdict.Doubted);
    const elsewhere = crash(crash(createPoisonState(2), ['poison'], 'x', 0), ['poison'], 'y', 1000);
    const merged = mergePoisonDigest(seen, createPoisonDigest(elsewhere, 1200), 1200);
    expect(judgeRequest(merged, 'bystander', 2000)).to.equal(PoisonVerdict.Ambiguous);
    expect(judgeRequest(seen, 'bystander', 2000)).to.equal(PoisonVerdict.Condemned);
  });

  it('does not count failed links and lost racks as crashes', () => {
    // Guards against blaming requests for failed links and lost racks.
    let state = crash(createPoisonState(2), ['honest'], 'x', 0);
    state = crash(state, ['honest'], 'y', 60_000);
    state = noteAlive(state, createCrashId('x', 'boot', false));
    expect(judgeRequest(state, 'honest', 61_000)).to.equal(PoisonVerdict.Suspect);
    let rack = crash(createPoisonState(2), ['honest'], 'r1', 0);
    rack = crash(rack, ['honest'], 'r2', 50);
    rack = ['r3', 'r4', 'r5'].reduce((next, id) => crash(next, [`of ${id}`], id, 60), rack);
    expect(judgeRequest(rack, 'honest', 100)).to.equal(PoisonVerdict.Clean);
  });

  it('counts the end of a process that was seen alive after a broken connection', () => {
    // Guards against a reset that makes all later ends of the same process count as none.
    let state = crash(createPoisonState(2), ['p'], 'x', 0);
    state = noteAnswer(state, 'x@boot', 10, 20);
    expect(judgeRequest(state, 'p', 30)).to.equal(PoisonVerdict.Clean);
    for (const [engine, now] of [
      ['x', 40],
      ['y', 5000],
    ] as const) {
      const end = findCurrentEnd(state, createCrashId(engine, 'boot', false), now);
      state = noteCrash(state, end, 'p', now);
    }
    expect(judgeRequest(state, 'p', 6000)).to.equal(PoisonVerdict.Condemned);
  });

  it('counts a crash beside connections that were reset at other engines', () => {
    // Guards against resets that are taken for an outage, which excuses the crashes of a request beside them.
    let state = createPoisonState(2);
    for (const [i, now] of [0, 5000].entries()) {
      state = crash(state, ['p'], `x${i}`, now);
      for (const engine of ['a', 'b', 'c'].map((name) => `${name}${i}`)) {
        state = crash(state, [`of ${engine}`], engine, now + 10);
        state = noteAlive(state, createCrashId(engine, 'boot', false));
      }
    }
    expect(judgeRequest(state, 'p', 6000)).to.equal(PoisonVerdict.Condemned);
  });

  it('takes an answer for a sign of life only if its call came after the assumed end', () => {
    // Guards against an answer that was under way when its server ended.
    let state = crash(createPoisonState(2), ['p'], 'x', 100);
    state = noteAnswer(state, 'x@boot', 90, 110);
    expect(judgeRequest(state, 'p', 120)).to.equal(PoisonVerdict.Suspect);
  });

  it('counts the ends of a server whose starts look alike one by one', () => {
    // Guards against a server without a boot id that may end any number of times and counts as ended once.
    const server = createCrashId('s', UNKNOWN_BOOT, false);
    let state = createPoisonState(2);
    for (const now of [0, 200, 5000]) {
      state = noteCrash(state, findCurrentEnd(state, server, now), 'p', now);
      state = noteAnswer(state, server, now + 2000, now + 2010);
    }
    expect(state.crashes.size).to.equal(2);
    expect(judgeRequest(state, 'p', 6000)).to.equal(PoisonVerdict.Condemned);
  });

  it('condemns two requests that crash engines by turns within a second of each other', () => {
    // Guards against such requests that excuse each other as an outage for as long as both come.
    let state = createPoisonState(2);
    for (let i = 0; i < 14; i++) {
      state = crash(state, [i % 2 === 0 ? 'p' : 'q'], `e${i}`, i * 150);
    }
    const verdicts = ['p', 'q'].map((id) => judgeRequest(state, id, 3000));
    expect(verdicts).to.deep.equal([PoisonVerdict.Condemned, PoisonVerdict.Condemned]);
  });

  it('condemns a request that crashes its engines after many tokens', () => {
    // Guards against progress that clears a request of its earlier crashes in each run that ends in another.
    let state = createPoisonState(2);
    for (let i = 0; i < 4; i++) {
      state = noteSurvival(state, 'p');
      state = noteCrash(state, createCrashId(`e${i}`, 'boot', true), 'p', i * 5000);
    }
    expect(judgeRequest(state, 'p', 20_000)).to.equal(PoisonVerdict.Condemned);
  });

  it('does not take a verdict back because another request is found guilty', () => {
    // Guards against a request that is let in again, and crashes its next engine, once another explains one of its crashes.
    const ends: readonly (readonly string[])[] = [['a'], ['a', 'b'], ['a'], ['b'], ['b'], ['b']];
    const play = (order: readonly number[]): PoisonState =>
      order.reduce(
        (state, i) => crash(state, ends[i] ?? [], `e${i}`, i * 2000),
        createPoisonState(3),
      );
    expect(judgeRequest(play([0, 1, 2]), 'a', 20_000)).to.equal(PoisonVerdict.Condemned);
    fc.assert(
      fc.property(fc.shuffledSubarray([0, 1, 2, 3, 4, 5], { minLength: 6 }), (order) => {
        const state = play(order);
        const verdicts = ['a', 'b'].map((id) => judgeRequest(state, id, 20_000));
        expect(verdicts).to.deep.equal([PoisonVerdict.Condemned, PoisonVerdict.Condemned]);
      }),
      { seed: 11 },
    );
  });

  it('does not condemn a request that was at one crash each of two others', () => {
    // Guards against refusing an honest request that lost an engine beside each of two requests that crash them.
    let state = crash(createPoisonState(2), ['p', 'honest'], 'x1', 0);
    state = crash(state, ['q', 'honest'], 'x2', 20_000);
    state = crash(state, ['p', 'b1'], 'x3', 40_000);
    state = crash(state, ['q', 'b2'], 'x4', 60_000);
    const verdicts = ['p', 'q'].map((id) => judgeRequest(state, id, 61_000));
    expect(verdicts).to.deep.equal([PoisonVerdict.Condemned, PoisonVerdict.Condemned]);
    expect(judgeRequest(state, 'honest', 61_000)).to.equal(PoisonVerdict.Suspect);
  });

  it('does not block a request for good that shares all its crashes with another', () => {
    // Guards against an honest request that is delayed for an hour, since it ran beside the other each time.
    let state = crash(createPoisonState(2), ['p', 'honest'], 'x', 0);
    state = crash(state, ['p', 'honest'], 'y', 1000);
    expect(judgeRequest(state, 'honest', 2000)).to.equal(PoisonVerdict.Ambiguous);
    expect(judgeRequest(state, 'honest', 6000)).to.equal(PoisonVerdict.Suspect);
    const many = ['u', 'v', 'w'].reduce(
      (next, id) => crash(next, ['p', 'honest'], id, 20_000),
      state,
    );
    expect(judgeRequest(many, 'p', 3_000_000)).to.equal('held');
  });

  it('bounds the crashes of a request whatever excuses them', () => {
    // Guards against exceptions that add up: crashes in outages, with the same companion, and after progress.
    for (const hasProgress of [false, true]) {
      let state = createPoisonState(2);
      const crashes: number[] = [];
      for (let now = 0; now < 600_000; now += 700) {
        const verdict = judgeRequest(state, 'p', now);
        if (verdict === PoisonVerdict.Clean || verdict === PoisonVerdict.Suspect) {
          state = hasProgress ? noteSurvival(state, 'p') : state;
          state = crash(state, ['p', 'companion'], `e${crashes.length}`, now);
          if (crashes.length < 4) {
            state = ['u', 'v', 'w'].reduce(
              (next, id) => crash(next, [`of ${id} ${now}`], `${id}${now}`, now),
              state,
            );
          }
          crashes.push(now);
        }
      }
      const [, , third = Infinity] = crashes;
      expect(crashes.filter((at) => at > third + 3000).length).to.be.at.most(3);
      expect(crashes.length).to.be.at.most(6);
    }
  });

  it('refuses a new request at once while nobody can tell whether it crashes engines', () => {
    // Guards against copies of such a request that wait at several instances and all run when the pause ends.
    const world = createFakeWorld();
    const fingerprint = computeFingerprint('t', VARIANT.model, 'shared');
    const reports = ['x', 'y'].map((engine) => ({
      crash: createCrashId(engine, 'boot', false),
      age: 0,
      disproven: false,
      suspects: [fingerprint, 'companion'],
      cleared: [],
      completed: [],
    }));
    world.router.mergePoison({ reports });
    world.timers.advanceTo(600);
    const early = world.submit('r1', { prompt: 'shared' });
    expect(early.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['suspected', 'not-run'],
    ]);
    expect(early.problems[0]?.retryAfter).to.be.within(1000, 3000);
    world.timers.advanceTo(2600);
    world.submit('r2', { prompt: 'shared' });
    expect(world.calls).to.have.length(1);
  });

  it('remembers a condemned request when many engines are lost', () => {
    // Guards against a lost domain whose crashes push out those of a request that crashes engines.
    let state = crash(createPoisonState(2), ['p'], 'x', 0);
    state = crash(state, ['p'], 'y', 5000);
    for (let i = 0; i < 400; i++) {
      state = crash(state, [`of e${i}`], `e${i}`, 60_000 + i);
    }
    expect(judgeRequest(state, 'p', 61_000)).to.equal(PoisonVerdict.Condemned);
  });

  it('merges digests commutatively and idempotently', () => {
    const report = fc.record({
      crash: fc.constantFrom('c1', 'c2', 'c3'),
      age: fc.integer({ min: 0, max: 1000 }),
      disproven: fc.boolean(),
      suspects: fc.subarray(['p', 'q', 'r']),
      cleared: fc.subarray(['p', 'q']),
      completed: fc.subarray(['p', 'r']),
      parts: fc.subarray(['p:1.t', 'p:1.u', 'p:2.t']),
      begunParts: fc.subarray(['p:1', 'p:2']),
    });
    const digest = fc.record({ reports: fc.array(report, { maxLength: 3 }) });
    const normalise = (state: PoisonState) =>
      createPoisonDigest(state, 0)
        .reports.map((r) => ({
          ...r,
          suspects: [...r.suspects].sort(),
          cleared: [...r.cleared].sort(),
          completed: [...r.completed].sort(),
          parts: [...(r.parts ?? [])].sort(),
          begunParts: [...(r.begunParts ?? [])].sort(),
        }))
        .sort((a, b) => a.crash.localeCompare(b.crash));
    fc.assert(
      fc.property(digest, digest, (a, b) => {
        const empty = createPoisonState(2);
        const ab = mergePoisonDigest(mergePoisonDigest(empty, a, 0), b, 0);
        const ba = mergePoisonDigest(mergePoisonDigest(empty, b, 0), a, 0);
        expect(normalise(ab)).to.deep.equal(normalise(ba));
        expect(normalise(mergePoisonDigest(ab, a, 0))).to.deep.equal(normalise(ab));
      }),
      { seed: 11 },
    );
  });

  it('expires old crashes even if instances keep exchanging them', () => {
    const state = crash(createPoisonState(2), ['p'], 'x', 0);
    const later = createPoisonDigest(state, CRASH_RETENTION - 10);
    const other = mergePoisonDigest(createPoisonState(2), later, 0);
    expect(judgeRequest(other, 'p', 5)).to.equal(PoisonVerdict.Suspect);
    expect(judgeRequest(other, 'p', 11)).to.equal(PoisonVerdict.Clean);
  });

  it('does not count engines that leave as crashed', () => {
    // Guards against refusing a request as poison because two engines that it ran on were replaced.
    const leaving = new Set(['a1', 'a2']);
    const world = createFakeWorld({ isEnding: (engine) => leaving.has(engine) });
    const heard = world.submit('r');
    for (const engine of leaving) {
      const opened = world.last();
      expect(listEngines(opened)[0]).to.equal(engine);
      acknowledge(opened);
      sendTokens(world, opened, heard.tokens.length, heard.tokens.length + 3);
      opened.listener.onFailure(createFailure({ place: FailurePlace.Stream, engine }));
    }
    const last = world.last();
    acknowledge(last);
    sendTokens(world, last, 6, 8);
    last.listener.onEnd('stop', 8);
    expect([heard.ends, heard.problems]).to.deep.equal([['stop'], []]);
  });

  it('stops a poison request after two crashes, on this instance and on the one it is resent to', () => {
    // Guards against a request that crashes one engine after another because each crash is recovered.
    const world = createFakeWorld();
    const heard = world.submit('r', { prompt: 'poison' });
    const bystander = world.submit('b');
    const [first, beside] = world.calls;
    [first, beside].forEach((opened) => opened && acknowledge(opened));
    first?.listener.onFailure(createFailure({ place: FailurePlace.Stream, engine: 'a1' }));
    const again = world.last();
    beside?.listener.onFailure(createFailure({ place: FailurePlace.Stream, engine: 'a1' }));
    const besideAgain = world.last();
    const shared = listEngines(again).filter((id) => listEngines(besideAgain).includes(id));
    expect(shared, 'suspects run on separate engines').to.deep.equal([]);
    acknowledge(again);
    again.listener.onFailure(
      createFailure({ place: FailurePlace.Stream, engine: listEngines(again)[0] ?? null }),
    );
    acknowledge(besideAgain);
    sendTokens(world, besideAgain, 0, 30);
    besideAgain.listener.onEnd('stop', 30);
    expect(heard.problems.map(({ kind }) => kind)).to.deep.equal(['poison']);
    expect(world.calls).to.have.length(4);
    expect(bystander.ends).to.deep.equal(['stop']);
    const other = createFakeWorld();
    other.router.mergePoison(world.router.getPoisonDigest());
    const resent = other.submit('r2', { prompt: 'poison' });
    expect(resent.problems).to.deep.equal([
      { kind: 'poison', run: 'not-run', retryAfter: null, instance: null },
    ]);
    expect(other.calls).to.have.length(0);
  });
});
