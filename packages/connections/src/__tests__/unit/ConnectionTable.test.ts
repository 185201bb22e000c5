import { expect } from 'chai';
import type { ConnectionEntry } from '../../ConnectionTable.js';
import { createConnectionEntry, findLargest, findLongestIdle } from '../../ConnectionTable.js';

interface Named extends ConnectionEntry {
  readonly name: string;
}

function create(name: string, change: Partial<ConnectionEntry> = {}): Named {
  return { ...createConnectionEntry(0), name, ...change };
}

describe('ConnectionTable', () => {
  describe('findLargest', () => {
    it('lets go what holds most or longest, and not a body that comes in now', () => {
      // Guards against a crowd of bodies that stand still, for which an ordinary caller of the same size is refused.
      const still = create('still', { isReadingBody: true, bodyBytes: 1000, heldSince: 0 });
      const coming = create('coming', {
        isReadingBody: true,
        bodyBytes: 1000,
        receivedBytes: 100,
        heldSince: 990,
      });
      expect(findLargest([coming, still], 1000)?.name).to.equal('still');
      const large = create('large', { unreadBytes: 100_000, heldSince: 990 });
      expect(findLargest([coming, still, large], 1000)?.name).to.equal('large');
    });

    it('leaves requests that are served', () => {
      // Guards against an answer that is cut, or a 503 for a request that has run.
      const served = create('served', { requests: 1, bodyBytes: 1000 });
      expect(findLargest([served], 1000)).to.equal(null);
    });
  });

  describe('findLongestIdle', () => {
    it('chooses one that is closing, else the one without progress for longest', () => {
      const entries = [
        create('new', { progressAt: 3 }),
        create('silent', { progressAt: 1 }),
        create('in its body', { progressAt: 2, requests: 1, isReadingBody: true }),
      ];
      expect(findLongestIdle(entries)?.name).to.equal('silent');
      const closing = create('closing', { progressAt: 9, isClosing: true });
      expect(findLongestIdle([...entries, closing])?.name).to.equal('closing');
    });

    it('leaves those that wait for an answer', () => {
      // Guards against new connections that cut off answers.
      const waiting = create('waiting', { requests: 1 });
      expect(findLongestIdle([waiting])).to.equal(null);
    });
  });
});
