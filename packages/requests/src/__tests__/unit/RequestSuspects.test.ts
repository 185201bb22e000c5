import { expect } from 'chai';
import { createSuspects, isPartName, MAX_PARTS } from '../../RequestSuspects.js';
import type { CrashReport } from '../../RequestPoison.js';
import { computeFingerprint, createCrashId } from '../../RequestPoison.js';
import { createFailure, createFakeWorld, VARIANT } from './RequestFakes.js';

const LATER = 10_000;

function nameParts(team: string, model: string, partIds: readonly string[], request = 'r') {
  return createSuspects(request, { team, model, partIds }).parts;
}

/** Reports of three ends of engines within two seconds, some time ago, under unlike requests that share some parts. */
function createReports(
  ids: readonly string[],
  listBystanders: () => readonly string[],
): readonly CrashReport[] {
  return [0, 1, 2].map((i) => ({
    crash: createCrashId(`x${i}`, 'boot', false),
    age: 4000 - 1000 * i,
    disproven: false,
    suspects: [`request ${i}`, ...listBystanders()],
    cleared: [],
    completed: [],
    parts: nameParts('t', VARIANT.model, ids, `request ${i}`).map(({ suspect }) => suspect),
  }));
}

describe('RequestSuspects', () => {
  it('names the parts of a prompt alike for all teams, and apart from requests and other models', () => {
    const name = (team: string, model: string) => nameParts(team, model, ['a1'])[0]?.name;
    expect(name('t', 'm')).to.equal(name('u', 'm'));
    expect(name('t', 'm')).to.not.equal(name('t', 'n'));
    expect(isPartName(name('t', 'm') ?? '')).to.equal(true);
  });

  it('names a bounded number of parts, whatever the caller lists', () => {
    // Guards against a header of thousands of parts that costs memory at each crash.
    const ids = Array.from({ length: 4000 }, (_, i) => `${i}-${'x'.repeat(5000)}`);
    const parts = nameParts('t', 'm', ids);
    expect(parts).to.have.length(MAX_PARTS);
    expect(Math.max(...parts.map(({ name, label }) => name.length + label.length))).to.be.below(64);
    const others = nameParts('t', 'm', [...ids].reverse());
    expect(others.at(-1)?.name, 'all others count as one').to.equal(parts.at(-1)?.name);
    expect(nameParts('u', 'm', ids).at(-1)?.name).to.not.equal(parts.at(-1)?.name);
  });

  it('logs the parts of a request that had not begun when its engine ended', () => {
    // Guards against logs that can't tell which part unlike requests have in common at a crash.
    const world = createFakeWorld();
    world.submit('r', { sharedParts: ['a1', 'b2'] });
    world.last().listener.onFailure(createFailure({ engine: 'a1' }));
    const [crash] = world.decisions.filter(({ decision }) => decision === 'crash');
    expect(crash?.reason).to.match(/had not begun, parts p:[0-9a-f]+=a1 p:[0-9a-f]+=b2$/);
  });

  it('refuses a request with a part that crashes engines at once, and stops those that wait on an engine', () => {
    // Guards against requests that are known to crash engines and reach one all the same.
    const world = createFakeWorld();
    world.timers.advanceTo(LATER);
    const waiting = world.submit('waiting', { sharedParts: ['first', 'bad'] });
    world.router.mergePoison({ reports: createReports(['bad'], () => []) });
    expect(waiting.problems.map(({ kind }) => kind)).to.deep.equal(['poison']);
    const refused = world.submit('later', { sharedParts: ['other', 'bad'] });
    expect(refused.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['poison', 'not-run'],
    ]);
    const [verdict] = world.decisions.filter(({ decision }) => decision === 'verdict');
    expect(verdict?.reason).to.match(/^condemned: part p:[0-9a-f]+=bad$/);
    const calls = world.calls.length;
    world.submit('sound', { sharedParts: ['first', 'other'] });
    expect(world.calls.length).to.equal(calls + 1);
  });

  it('does not blame a request that waited on three engines which a part of others crashed', () => {
    // Guards against callers who are refused since their repetitions met the same requests three times.
    const world = createFakeWorld();
    const fingerprint = computeFingerprint('t', VARIANT.model, 'honest');
    world.timers.advanceTo(LATER);
    world.router.mergePoison({ reports: createReports(['bad'], () => [fingerprint]) });
    const bystander = world.submit('r', { prompt: 'honest', sharedParts: ['other'] });
    expect([bystander.problems, world.calls.length]).to.deep.equal([[], 1]);
  });

  it('holds nothing against the parts of requests whose callers leave', () => {
    // Guards against callers who have the parts of others refused by leaving early again and again.
    const world = createFakeWorld();
    for (let i = 0; i < 5; i++) {
      const { handle } = world.submit(`r${i}`, { sharedParts: ['shared'] });
      world.timers.advanceTo(world.timers.now() + 1000);
      handle.cancel();
    }
    expect(world.router.getPoisonDigest().reports).to.deep.equal([]);
    expect(world.submit('r', { sharedParts: ['shared'] }).problems).to.deep.equal([]);
  });
});
