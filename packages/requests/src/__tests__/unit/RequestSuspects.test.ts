import { expect } from 'chai';
import { createPromptParts, isPartName, MAX_PARTS } from '../../RequestSuspects.js';
import { createFailure, createFakeWorld } from './RequestFakes.js';

describe('RequestSuspects', () => {
  it('names the parts of a prompt alike for all teams, and apart from requests and other models', () => {
    const name = (team: string, model: string) => createPromptParts(team, model, ['a1'])[0]?.name;
    expect(name('t', 'm')).to.equal(name('u', 'm'));
    expect(name('t', 'm')).to.not.equal(name('t', 'n'));
    expect(isPartName(name('t', 'm') ?? '')).to.equal(true);
  });

  it('names a bounded number of parts, whatever the caller lists', () => {
    // Guards against a header of thousands of parts that costs memory at each crash.
    const ids = Array.from({ length: 4000 }, (_, i) => `${i}-${'x'.repeat(5000)}`);
    const parts = createPromptParts('t', 'm', ids);
    expect(parts).to.have.length(MAX_PARTS);
    expect(Math.max(...parts.map(({ name, label }) => name.length + label.length))).to.be.below(64);
    const others = createPromptParts('t', 'm', [...ids].reverse());
    expect(others.at(-1)?.name, 'all others count as one').to.equal(parts.at(-1)?.name);
    expect(createPromptParts('u', 'm', ids).at(-1)?.name).to.not.equal(parts.at(-1)?.name);
  });

  it('logs the parts of a request that had not begun when its engine ended', () => {
    // Guards against logs that can't tell which part unlike requests have in common at a crash.
    const world = createFakeWorld();
    world.submit('r', { sharedParts: ['a1', 'b2'] });
    world.last().listener.onFailure(createFailure({ engine: 'a1' }));
    const [crash] = world.decisions.filter(({ decision }) => decision === 'crash');
    expect(crash?.reason).to.match(/had not begun, parts p:[0-9a-f]{16}=a1 p:[0-9a-f]{16}=b2$/);
  });
});
