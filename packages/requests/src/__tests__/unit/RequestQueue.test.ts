import { expect } from 'chai';
import type { FairQueue, QueueEntry } from '../../RequestQueue.js';
import { createFairQueue } from '../../RequestQueue.js';

const TEAMS = 47_000;
const TOTAL = 100;
const accept = (): boolean => true;

function createEntry(id: string, team: string, cost = 1): QueueEntry {
  return { id, team, share: 1, rank: 0, cost };
}

/** Queues a request of each of many teams, which starts at once. */
function serveEach(queue: FairQueue, count: number): void {
  for (let i = 0; i < count; i++) {
    queue.push(createEntry(`r${i}`, `t${i}`), Infinity);
    expect(queue.pop(accept)?.team).to.equal(`t${i}`);
  }
}

describe('RequestQueue', () => {
  it('keeps few teams, however many send one request each', () => {
    // Guards against a choice that takes longer with each team that ever sent a request: it goes over all that are kept.
    const queue = createFairQueue({ total: TOTAL });
    serveEach(queue, TEAMS);
    expect(queue.countTeams()).to.be.at.most(2048);
  });

  it('makes a team that got much work wait behind others after many small teams came', () => {
    // Guards against a team that gets more than its share because what it got before was forgotten.
    const queue = createFairQueue({ total: TOTAL });
    ['a', 'b'].forEach((id) => queue.push(createEntry(id, 'large', 1000), Infinity));
    [0, 1].forEach(() => queue.pop(accept));
    serveEach(queue, 5000);
    queue.push(createEntry('c', 'large'), Infinity);
    queue.push(createEntry('d', 'small'), Infinity);
    expect([queue.pop(accept)?.team, queue.pop(accept)?.team]).to.deep.equal(['small', 'large']);
  });

  it('keeps all waiting entries while it drops teams', () => {
    // Guards against a request that nobody answers, because its team was dropped while it waited.
    const queue = createFairQueue({ total: TEAMS });
    for (let i = 0; i < 5000; i++) {
      queue.push(createEntry(`w${i}`, `w${i}`), Infinity);
    }
    const served = new Set<string>();
    for (let entry = queue.pop(accept); entry; entry = queue.pop(accept)) {
      served.add(entry.id);
    }
    expect(served.size).to.equal(5000);
    serveEach(queue, 5000);
    expect(queue.countTeams()).to.be.at.most(2048);
  });

  it('keeps few teams after a queue that was long has been served', () => {
    // Guards against choices that stay slow after a burst: the next cleanup waits for twice the teams that waited then.
    const queue = createFairQueue({ total: 4096 });
    serveEach(queue, 200);
    for (let i = 0; i < 4096; i++) {
      queue.push(createEntry(`w${i}`, `w${i}`), Infinity);
    }
    for (let entry = queue.pop(accept); entry; entry = queue.pop(accept)) {
      expect(entry.team).to.equal(entry.id);
    }
    serveEach(queue, 3000);
    expect(queue.countTeams()).to.be.at.most(2048);
  });
});
