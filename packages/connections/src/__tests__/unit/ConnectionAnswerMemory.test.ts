import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createAnswerBody, createAnswerMemory } from '../../ConnectionAnswerMemory.js';

const MAX_BYTES = 1000;

describe('ConnectionAnswerMemory', () => {
  const givenUp: string[] = [];
  const create = () =>
    createAnswerMemory({ maxBytes: MAX_BYTES, onGivenUp: (sender) => givenUp.push(sender) });

  beforeEach(() => {
    givenUp.length = 0;
  });

  it('gives up the largest answer of the sender whose answers take most, and no other', () => {
    // Guards against a server that sends without end, in many answers, and costs one large answer of a sound one.
    const memory = create();
    const ended: string[] = [];
    const open = (sender: string, bytes: number): void =>
      memory.open(sender, () => ended.push(`${sender} ${bytes}`)).note(bytes);
    open('sound', 400);
    open('flood', 200);
    open('flood', 300);
    open('flood', 101);
    expect([ended, givenUp]).to.deep.equal([['flood 300'], ['flood']]);
    expect(memory.getBytes()).to.equal(701);
  });

  it('counts an answer until it is closed or given up, and never again', () => {
    // Guards against memory that counts as taken for ever, so that all answers are given up at last.
    const memory = create();
    const account = memory.open('a', () => account.close());
    account.note(600);
    account.note(200);
    expect(memory.getBytes()).to.equal(200);
    account.note(MAX_BYTES + 1);
    account.note(600);
    account.close();
    expect(memory.getBytes()).to.equal(0);
    expect(givenUp).to.deep.equal(['a']);
  });

  it('never counts more than its limit, and comes back to nothing, in series of any answers', () => {
    // Guards against a sum that drifts from what is kept.
    const random = createRandom(82);
    const memory = create();
    const accounts = Array.from({ length: 20 }, (_, i) =>
      memory.open(`s${i % 4}`, () => undefined),
    );
    for (let i = 0; i < 2000; i += 1) {
      const account = accounts[random.nextInt(accounts.length)];
      account?.note(random.nextInt(400));
      expect(memory.getBytes()).to.be.within(0, MAX_BYTES);
    }
    accounts.forEach((account) => account.close());
    expect(memory.getBytes()).to.equal(0);
  });

  it('counts a body as it is kept, and refuses one that is too long or in too many pieces', () => {
    // Guards against pieces that each cost far more than their bytes.
    const memory = createAnswerMemory({ maxBytes: 1e9, onGivenUp: () => undefined });
    const body = createAnswerBody(
      memory.open('a', () => undefined),
      5000,
    );
    let pieces = 0;
    while (body.append(Buffer.from('x'))) {
      pieces += 1;
      expect(memory.getBytes()).to.be.at.most(Math.max(1024, 2 * body.length));
    }
    expect([pieces, body.length, body.getBytes().toString()]).to.deep.equal([
      5000,
      5000,
      'x'.repeat(5000),
    ]);
    const many = createAnswerBody(
      memory.open('a', () => undefined),
      1e6,
    );
    pieces = 0;
    while (many.append(Buffer.from('x'))) {
      pieces += 1;
    }
    expect(pieces).to.equal(65_536);
  });
});
