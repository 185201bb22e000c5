import { expect } from 'chai';
import type { CacheEvent } from '../../MembershipCache.js';
import {
  applyCacheEvent,
  createCacheSketch,
  createCacheGossip,
  encodeSketch,
  getSketchConfidence,
} from '../../MembershipCache.js';

const RETENTION = 10 * 60_000;

function createStored(number: number, prefix: string): CacheEvent {
  return { number, kind: 'stored', prefix };
}

describe('MembershipCache', () => {
  it('lowers the confidence of a sketch after a gap and restores it with consecutive events', () => {
    // Guards against full confidence in the sketch of an engine's cache although an event was lost.
    let sketch = applyCacheEvent(createCacheSketch(), createStored(1, 'p'), 0);
    expect(getSketchConfidence(encodeSketch(sketch), 'p')).to.equal(1);
    sketch = applyCacheEvent(sketch, createStored(5, 'q'), 1);
    expect(getSketchConfidence(encodeSketch(sketch), 'p')).to.be.closeTo(0.5, 0.01);
    expect(applyCacheEvent(sketch, createStored(4, 'late'), 2)).to.equal(sketch);
    for (let number = 6; number < 16; number++) {
      sketch = applyCacheEvent(sketch, createStored(number, 'q'), number);
    }
    expect(getSketchConfidence(encodeSketch(sketch), 'p')).to.be.above(0.95);
    sketch = applyCacheEvent(sketch, { number: 16, kind: 'cleared', prefix: '' }, 20);
    expect(getSketchConfidence(encodeSketch(sketch), 'q')).to.equal(0);
  });

  it('encodes the most used prefixes in 17 bytes', () => {
    let sketch = createCacheSketch();
    for (let number = 1; number <= 1000; number++) {
      const prefix = number % 3 === 0 ? 'hot' : `cold-${number}`;
      sketch = applyCacheEvent(sketch, createStored(number, prefix), number);
    }
    expect(encodeSketch(sketch)).to.have.length(17);
    expect(getSketchConfidence(encodeSketch(sketch), 'hot')).to.equal(1);
    expect(sketch.prefixes.size).to.be.at.most(512);
  });

  it('prefers what answers report over an older digest, and lets digests decay with age', () => {
    const owner = createCacheGossip();
    const other = createCacheGossip();
    owner.recordEvent('e1', createStored(1, 'p'), 0);
    owner.publishSketch('e1', 0);
    other.topic.merge(owner.topic.collect(100, 'other', 0) ?? new Uint8Array(0), 'owner', 0);
    expect(other.getHitProbability('e1', 'p', 0)).to.equal(1);
    expect(other.getHitProbability('e1', 'p', 90_000)).to.be.closeTo(0.5, 0.01);
    other.recordSample('e1', 'p', false, 10_000);
    expect(other.getHitProbability('e1', 'p', 10_000)).to.equal(0);
    owner.recordEvent('e1', createStored(2, 'p'), 60_000);
    owner.publishSketch('e1', 60_000);
    other.topic.merge(
      owner.topic.collect(100, 'other', 60_000) ?? new Uint8Array(0),
      'owner',
      60_000,
    );
    expect(other.getHitProbability('e1', 'p', 60_000)).to.be.closeTo(0.9, 0.01);
    other.recordSample('e1', 'unheard', true, 60_000);
    expect(other.getHitProbability('e1', 'unheard', 60_000)).to.equal(1);
  });

  it('gives a prefix no probability once the digest that contains it has expired', () => {
    // Guards against routing by a digest that is older than the retention.
    const owner = createCacheGossip();
    owner.recordEvent('e1', createStored(1, 'p'), 0);
    owner.publishSketch('e1', 0);
    expect(owner.getHitProbability('e1', 'p', RETENTION - 1)).to.be.greaterThan(0);
    expect(owner.getHitProbability('e1', 'p', RETENTION)).to.equal(0);
  });
});
