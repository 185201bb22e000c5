import { pack } from 'msgpackr';
import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { UNCONFIRMED_FACTOR } from '@skylarksail/routing/RoutingSlowness';
import { readUpdateQuery } from '../../RelayPeerMessages.js';
import { mergeSlow } from '../../RelaySlow.js';
import type { SlowEngine, WorkReport } from '../../RelayWork.js';
import { createRelayWork, MAX_REPORTED } from '../../RelayWork.js';

function slow(factor: number, engine = 'e'): SlowEngine {
  return { engine, factor };
}

function merge(factors: readonly number[]): number | null {
  return (
    mergeSlow(
      factors.map((factor) => [slow(factor)]),
      MAX_REPORTED,
    )[0]?.factor ?? null
  );
}

function createReport(...reported: readonly SlowEngine[]): WorkReport {
  return { running: [], lost: [], slow: reported };
}

function createBed(own: WorkReport = createReport()) {
  const timers = createVirtualTimers();
  const create = (self: string, isAggregator: boolean) =>
    createRelayWork({
      timers,
      self,
      readOwnWork: () => (isAggregator ? own : createReport()),
      isAggregator: () => isAggregator,
      onPeerWork: () => undefined,
      onLost: () => undefined,
    });
  return { timers, aggregator: create('a', true), subscriber: create('s', false) };
}

describe('RelaySlow', () => {
  it('believes a factor that most reports agree on', () => {
    expect(merge([6, 5, 6, 7, 1])).to.equal(6);
    expect(merge([6, 1, 1, 1, 5])).to.equal(1);
    expect(merge([6, 4])).to.equal(4);
    expect(merge([1, 1])).to.equal(null);
  });

  it('lowers the share of an engine only a little by the report of one instance', () => {
    // Guards against one instance with a wrong clock or a fault that empties healthy engines for its whole domain.
    expect(merge([1e9])).to.equal(UNCONFIRMED_FACTOR);
    const forged = Array.from({ length: 28 }, (_, i) => slow(8, `e${i}`));
    const genuine = forged.map(({ engine }) => slow(1, engine));
    const merged = mergeSlow([forged, genuine, genuine], MAX_REPORTED);
    expect(new Set(merged.map(({ factor }) => factor))).to.deep.equal(new Set([1]));
    const repeated = Array.from({ length: 9 }, () => slow(8));
    expect(mergeSlow([repeated], MAX_REPORTED)).to.deep.equal([slow(UNCONFIRMED_FACTOR)]);
  });

  it('limits reports to the slowest engines, and reads no more of a longer one', () => {
    const many = Array.from({ length: 100 }, (_, i) => slow(8 - i / 50, `e${i}`));
    const merged = mergeSlow([many, many], MAX_REPORTED);
    expect(merged.map(({ engine }) => engine)).to.deep.equal(
      many.slice(0, MAX_REPORTED).map(({ engine }) => engine),
    );
  });

  it('passes what several instances report to all, and forgets it after three seconds', () => {
    const { timers, aggregator, subscriber } = createBed(createReport(slow(5)));
    expect([aggregator.getSlowEngines(), subscriber.getSlowEngines()]).to.deep.equal([null, null]);
    aggregator.recordReport('one', createReport(slow(6)));
    timers.advanceTo(200);
    subscriber.recordSummary(aggregator.summarizeFor('s'));
    expect([...(subscriber.getSlowEngines() ?? [])]).to.deep.equal([['e', 5]]);
    expect([...(aggregator.getSlowEngines() ?? [])]).to.deep.equal([['e', 5]]);
    timers.advanceTo(3300);
    expect([aggregator.getSlowEngines(), subscriber.getSlowEngines()]).to.deep.equal([null, null]);
  });

  it('replaces what an instance reported before, and takes a report without the field as one of no slow engine', () => {
    const { timers, aggregator } = createBed();
    aggregator.recordReport('one', createReport(slow(6)));
    aggregator.recordReport('two', createReport(slow(6)));
    expect(aggregator.getSlowEngines()?.get('e')).to.equal(6);
    timers.advanceTo(200);
    aggregator.recordReport('one', createReport(slow(1)));
    aggregator.recordReport('two', { running: [], lost: [] });
    expect(aggregator.getSlowEngines()?.size).to.equal(0);
    expect(aggregator.summarizeFor('one')).to.deep.equal({ running: [], lost: [] });
  });

  it('reads queries with malformed factors without any of them', () => {
    // Guards against an instance that gets no change of the store because a part of its report is malformed.
    const query = { since: 1, hold: 600, level: 2, from: 'i', takesWhole: true };
    const read = (reported: unknown) =>
      readUpdateQuery(pack({ ...query, work: { running: [], lost: [], slow: reported } }));
    expect(read([slow(3)])?.work.slow).to.deep.equal([slow(3)]);
    [[slow(NaN)], [slow(-1)], [slow(Infinity)], [{ engine: 'e' }], [{ factor: 2 }], 'e'].forEach(
      (wrong) => {
        const message = read(wrong);
        expect(message).to.not.equal(null);
        expect(message?.work.slow).to.equal(undefined);
      },
    );
  });
});
