import { LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineLoad } from '@skylarksail/core/CoreEngine';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { expect } from 'chai';
import { decodeAge, encodeAge, mergeDigest, collectDigest } from '../../MembershipGossipTable.js';
import {
  createLoadGossip,
  createLoadTable,
  decodeLoad,
  encodeLoad,
  getLoad,
  LOAD_TABLE_CONFIG,
  recordLoad,
} from '../../MembershipLoad.js';
import { WireError } from '../../MembershipWire.js';
import { createDigestGossip } from '../../MembershipDigests.js';
import type { DigestGossip } from '../../MembershipDigests.js';
import { createTopicTable, TopicNumber } from '../../MembershipTopics.js';
import { createVirtualFleet } from '../../VirtualFleet.js';

function createLoad(change: Partial<EngineLoad>): EngineLoad {
  return {
    engine: 'e1',
    bootId: 'b',
    state: LifeState.Live,
    holding: null,
    running: 3,
    queued: 0,
    kvUsed: 0.5,
    orderNumber: 1,
    ...change,
  };
}

describe('MembershipLoad', () => {
  it('encodes counts to about a tenth of their value, and small counts exactly', () => {
    for (let running = 0; running < 200; running++) {
      const got = decodeLoad(encodeLoad(createLoad({ running, queued: running })));
      expect(Math.abs(got.running - running)).to.be.at.most(Math.max(0, 0.06 * running + 0.5));
      expect(Math.abs(got.queued - running)).to.be.at.most(Math.max(0, 0.11 * running + 0.6));
    }
    expect(decodeLoad(encodeLoad(createLoad({ state: LifeState.Leaving }))).state).to.equal(
      'leaving',
    );
  });

  it('never makes a load appear younger than it is over many hops', () => {
    // Guards against ages that are rounded down at each hop, so that a stale load looks fresh.
    const random = createRandom(1);
    for (let age = 0; age < 700_000; age += 37) {
      const back = decodeAge(encodeAge(age));
      expect(back >= Math.min(age, 650_000)).to.equal(true);
      expect(back - age).to.be.at.most(age < 12_700 ? 100 : 5000);
    }
    let now = 1000;
    let table = createLoadTable();
    recordLoad(table, createLoad({}), now);
    for (let hop = 0; hop < 8; hop++) {
      now += random.nextInt(400);
      const next = createLoadTable();
      mergeDigest(next, collectDigest(table, 100, 'next', now), 'last', now);
      table = next;
    }
    expect(getLoad(table, 'e1', now)?.seenAt).to.be.at.most(1000);
    expect(getLoad(table, 'e1', now)?.seenAt).to.be.at.least(1000 - 8 * 100);
  });

  it('keeps the later observation of two owners whichever arrives first', () => {
    const older = createLoadTable();
    const newer = createLoadTable();
    recordLoad(older, createLoad({ running: 1 }), 1000);
    recordLoad(newer, createLoad({ running: 9 }), 5000);
    const [first, second] = [older, newer].map((table) => collectDigest(table, 100, 'x', 6000));
    for (const digests of [
      [first, second],
      [second, first],
    ]) {
      const table = createLoadTable();
      digests.forEach((bytes) => mergeDigest(table, bytes as Uint8Array, 'from', 6000));
      expect(getLoad(table, 'e1', 6000)?.running).to.equal(9);
    }
  });

  it('stays within its bytes per second, and drops truncated digests', () => {
    const topics = createTopicTable();
    const loads = createLoadGossip();
    topics.registerTopic(loads.topic);
    const sizes: number[] = [];
    for (let now = 0; now < 60_000; now += 50) {
      for (let i = 0; i < 20; i++) {
        loads.recordLoad(createLoad({ engine: `e${(now / 50 + i) % 400}`, running: i }), now);
      }
      sizes.push(...topics.collectPayloads('to', false, now).map(({ bytes }) => bytes.length));
    }
    const sent = sizes.reduce((sum, size) => sum + size, 0);
    expect(sent / 60).to.be.at.most(loads.topic.bytesPerSecond * 1.1);
    expect(sent / 60).to.be.at.least(loads.topic.bytesPerSecond * 0.8);
    const cutOff = [{ topic: TopicNumber.Load, bytes: Uint8Array.of(1, 2, 3, 0, 7) }];
    expect(topics.mergePayloads(cutOff, 'from', 0)).to.equal(1);
  });

  it('keeps nothing of a digest that is truncated after its first value', () => {
    // Guards against values in force from a digest that is counted as dropped.
    const sender = createLoadTable();
    recordLoad(sender, createLoad({ engine: 'e1' }), 0);
    recordLoad(sender, createLoad({ engine: 'e2' }), 0);
    const digest = collectDigest(sender, 100, 'to', 0);
    for (let length = 1; length < digest.length; length++) {
      const table = createLoadTable();
      const isWhole = length === digest.length / 2;
      const merge = () => mergeDigest(table, digest.subarray(0, length), 'from', 0);
      if (isWhole) {
        merge();
      } else {
        expect(merge).to.throw(WireError);
      }
      expect(table.entries.size, `${length} bytes`).to.equal(isWhole ? 1 : 0);
    }
  });

  it('neither returns nor sends a load that has expired', () => {
    // Guards against decisions on a load that is older than the retention, and against its spread.
    const { retention } = LOAD_TABLE_CONFIG;
    const loads = createLoadGossip();
    loads.recordLoad(createLoad({}), 0);
    const read = (now: number) => ({
      one: loads.getLoad('e1', now)?.running,
      several: loads.getLoads(['e1'], now).size,
      sent: (loads.topic.collect(100, 'to', now) ?? []).length,
    });
    expect(read(retention - 1)).to.deep.equal({ one: 3, several: 1, sent: 6 });
    expect(read(retention)).to.deep.equal({ one: undefined, several: 0, sent: 0 });
  });
});

describe('MembershipDigests', () => {
  it('replicates a small value to all instances of all domains, and expires it', () => {
    // Guards against instances that never get a value, since the others have sent it as often as they may.
    for (let seed = 1; seed <= 6; seed++) {
      const { spread, left } = spreadValue(seed);
      expect(spread, `seed ${seed}`).to.deep.equal(new Set([2]));
      expect(left, `seed ${seed}`).to.deep.equal(new Set([undefined]));
    }
  });
});

/** Records a value and a newer one, and returns what all instances have 15 s later and after the retention. */
function spreadValue(seed: number) {
  const digestsById = new Map<string, DigestGossip<{ crashes: number }>>();
  const fleet = createVirtualFleet({
    seed,
    domainSizes: [8, 8, 8],
    loss: 0.1,
    onStart({ listed, membership }) {
      const digests = createDigestGossip<{ crashes: number }>({
        topic: TopicNumber.Poison,
        bytesPerSecond: 100,
        bytesPerMessage: 100,
        crossesDomains: true,
        retention: 60_000,
      });
      membership.registerTopic(digests.topic);
      digestsById.set(listed.id, digests);
    },
  });
  const read = () =>
    new Set(
      [...digestsById.values()].map(
        (one) => one.get('fingerprint', fleet.timers.now())?.value.crashes,
      ),
    );
  fleet.advance(15_000);
  digestsById.get('d1-i3')?.record('fingerprint', { crashes: 1 }, fleet.timers.now());
  fleet.advance(5000);
  digestsById.get('d2-i1')?.record('fingerprint', { crashes: 2 }, fleet.timers.now());
  fleet.advance(15_000);
  const spread = read();
  fleet.advance(60_000);
  return { spread, left: read() };
}
