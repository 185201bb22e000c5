import { deflateRawSync } from 'node:zlib';
import { expect } from 'chai';
import { pack } from 'msgpackr';
import { createPeerCodec } from '../../RelayPeerCodec.js';
import { CONFIG_KEY, writeConfig } from './RelayKnowledgeBed.js';

const NO_WORK = { running: [], lost: [] };
const LARGE = { key: CONFIG_KEY, value: writeConfig(2, 1640), revision: 7 };
const SMALL = { key: 'small', value: 'ä', revision: 8 };
const CHANGES = { items: [LARGE, SMALL], removed: [{ key: 'gone', revision: 9 }], revision: 9 };

function packItem(item: object): Buffer {
  return pack({ changes: { items: [item], removed: [], revision: 1 }, age: 0 });
}

describe('RelayPeerCodec', () => {
  it('carries large and small values as they are, the large ones in a fraction of their bytes', () => {
    const sender = createPeerCodec();
    const news = { changes: CHANGES, age: 400, held: 300, others: NO_WORK };
    for (const age of [400, null]) {
      const told = { changes: CHANGES, age };
      expect(createPeerCodec().readPeerNews(sender.packPeerNews(told))).to.deep.equal(told);
    }
    expect(createPeerCodec().readNews(sender.packNews(news))).to.deep.equal(news);
    // Twelve subscribers of an aggregator hear it within a quarter of a second on a link of 14 Mbit/s.
    expect(sender.packNews(news).byteLength).to.be.below((1750 * 250) / 12);
  });

  it('passes a value on as it came', () => {
    const body = createPeerCodec().packPeerNews({ changes: CHANGES, age: 0 });
    const aggregator = createPeerCodec();
    const heard = aggregator.readPeerNews(body);
    expect(aggregator.packPeerNews(heard)).to.deep.equal(body);
  });

  it('takes nothing that is no answer, or that would fill the memory', () => {
    const bomb = deflateRawSync(Buffer.alloc(64_000_000));
    const bodies = [
      Buffer.from('nonsense'),
      packItem({ key: 'a', revision: 1 }),
      packItem({ key: 'a', revision: 1, deflated: bomb }),
      packItem({ key: 'a', revision: 1, deflated: Buffer.from('x') }),
    ];
    const codec = createPeerCodec();
    bodies.forEach((body) => expect(() => codec.readPeerNews(body)).to.throw());
  });
});
