import { deflateRawSync } from 'node:zlib';
import { expect } from 'chai';
import { pack, unpack } from 'msgpackr';
import type { AnswerFormName, PeerCodec } from '../../RelayPeerCodec.js';
import { AnswerForm, createPeerCodec } from '../../RelayPeerCodec.js';
import type { PeerUpdates } from '../../RelayPeers.js';
import { CONFIG_KEY, writeConfig } from './RelaySyncBed.js';

const NO_WORK = { running: [], lost: [] };
const LARGE = { key: CONFIG_KEY, value: writeConfig(2, 1640), revision: 7 };
const SMALL = { key: 'small', value: 'ä', revision: 8 };
const FORMER_CHANGES = {
  items: [LARGE, SMALL],
  removed: [{ key: 'gone', revision: 9 }],
  revision: 9,
};
const CHANGES = { isWhole: false, ...FORMER_CHANGES };

function packPeerNews(codec: PeerCodec, news: PeerUpdates, form: AnswerFormName): Buffer {
  return codec.packPeerAnswer({ kind: 'news', ...news }, form) as Buffer;
}

function packItem(item: object): Buffer {
  return pack({ items: [item], removed: [], revision: 1 });
}

describe('RelayPeerCodec', () => {
  it('preserves large and small values, and sends the large ones in a fraction of their bytes', () => {
    const sender = createPeerCodec();
    const news = { changes: CHANGES, age: 400, held: 300, others: NO_WORK };
    for (const age of [400, null]) {
      const told = { changes: CHANGES, age };
      expect(
        createPeerCodec().readPeerUpdates(packPeerNews(sender, told, AnswerForm.Deflated)),
      ).to.deep.equal(told);
    }
    expect(
      createPeerCodec().readUpdates(sender.packUpdates(news, AnswerForm.Deflated)),
    ).to.deep.equal(news);
    // An aggregator sends it to twelve subscribers within a quarter of a second on a link of 14 Mbit/s.
    expect(sender.packUpdates(news, AnswerForm.Deflated).byteLength).to.be.below((1750 * 250) / 12);
  });

  it('passes a compressed value on unchanged', () => {
    const body = packPeerNews(createPeerCodec(), { changes: CHANGES, age: 0 }, AnswerForm.Deflated);
    const aggregator = createPeerCodec();
    const received = aggregator.readPeerUpdates(body);
    expect(packPeerNews(aggregator, received, AnswerForm.Deflated)).to.deep.equal(body);
  });

  it('rejects invalid answers, and values that would exhaust memory', () => {
    const bomb = deflateRawSync(Buffer.alloc(64_000_000));
    const bodies = [
      Buffer.from('nonsense'),
      packItem({ key: 'a', revision: 1 }),
      packItem({ key: 'a', revision: 1, deflated: bomb }),
      packItem({ key: 'a', revision: 1, deflated: Buffer.from('x') }),
    ];
    const codec = createPeerCodec();
    bodies.forEach((body) => expect(() => codec.readPeerUpdates(body)).to.throw());
  });

  it('is compatible with instances of the previous version in both directions', () => {
    // Guards against crashes in a rolling upgrade: an instance of the previous version that has lost the store queries
    // a new one, and reads its answer, which has another shape, as changes without validation.
    const codec = createPeerCodec();
    const plain = packPeerNews(codec, { changes: CHANGES, age: 400 }, AnswerForm.Plain);
    expect(unpack(plain)).to.deep.include(FORMER_CHANGES);
    expect(codec.readPeerUpdates(pack(FORMER_CHANGES))).to.deep.equal({
      changes: CHANGES,
      age: null,
    });
    const told = { changes: CHANGES, others: NO_WORK };
    const news = codec.packUpdates({ ...told, age: 400, held: 300 }, AnswerForm.Plain);
    expect(unpack(news)).to.deep.include(told);
    const received = codec.readUpdates(
      pack({ kind: 'news', changes: FORMER_CHANGES, others: NO_WORK }),
    );
    expect(received).to.deep.equal({ ...told, age: 0, held: 0 });
  });
});
