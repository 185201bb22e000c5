import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createEventStream } from '../../DaemonEventStream.js';

/** A response that accepts `room` characters until it is read. */
class FakeResponse extends EventEmitter {
  readonly writes: string[] = [];

  ended: string | null = null;

  destroyed = false;

  constructor(private room: number) {
    super();
  }

  write(text: string): boolean {
    this.writes.push(text);
    this.room -= text.length;
    return this.room > 0;
  }

  end(text: string): void {
    this.ended = text;
  }

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }

  /** The caller reads everything that was written; then there is `room` for more. */
  read(room: number): void {
    this.room = room;
    this.emit('drain');
  }
}

const LARGE_EVENT = 'x'.repeat(1000);
const EVENT_COUNT = 200;
/** Size limit of one write, and the event that exceeds it. */
const MAX_RENDERED = 16 * 1024 + LARGE_EVENT.length;

function setUp(room: number) {
  const res = new FakeResponse(room);
  const timers = createVirtualTimers();
  const stream = createEventStream(res as unknown as ServerResponse, timers);
  let rendered = 0;
  const writeLarge = (): void =>
    stream.write(() => {
      rendered += LARGE_EVENT.length;
      return LARGE_EVENT;
    });
  return { res, timers, stream, writeLarge, countRendered: () => rendered };
}

async function settle(): Promise<void> {
  await Promise.resolve();
}

describe('DaemonEventStream', () => {
  it('writes the events of one turn together, and flushes queued events before the end', async () => {
    const { res, stream } = setUp(Infinity);
    ['a', 'b', ''].forEach((text) => stream.write(() => text));
    expect(res.writes).to.deep.equal([]);
    await settle();
    stream.write(() => 'c');
    stream.end(() => 'end');
    await settle();
    expect(res.writes).to.deep.equal(['ab', 'c']);
    expect(res.ended).to.equal('end');
  });

  it('stops rendering while the caller does not read, and renders the rest when it does', async () => {
    // Guards against memory that grows with the answers of slow callers: a caller stops reading
    // while its engine continues, and rendered events, many times the size of their tokens,
    // accumulate in the response.
    const { res, stream, writeLarge, countRendered } = setUp(1);
    for (let i = 0; i < EVENT_COUNT; i++) {
      writeLarge();
      await settle();
    }
    stream.end(() => 'end');
    expect(countRendered()).to.be.at.most(MAX_RENDERED);
    expect(res.ended).to.equal(null);
    const before = countRendered();
    res.read(1);
    expect(countRendered() - before).to.be.within(1, MAX_RENDERED);
    res.read(Infinity);
    expect(res.writes.join('')).to.equal(LARGE_EVENT.repeat(EVENT_COUNT));
    expect(res.ended).to.equal('end');
  });

  it('disconnects a caller that reads nothing for 30 s, but not one that reads slowly', async () => {
    // Guards against answers that stay in memory forever: if the caller's host disappears without
    // closing the connection, the response never drains, and only a limit on the time between two
    // reads ends the stream.
    const { res, timers, writeLarge } = setUp(1);
    for (let i = 0; i < 5; i++) {
      writeLarge();
      await settle();
      timers.advanceTo(timers.now() + 29_999);
      expect(res.destroyed).to.equal(false);
      res.read(1);
    }
    writeLarge();
    await settle();
    timers.advanceTo(timers.now() + 30_000);
    expect(res.destroyed).to.equal(true);
    expect(timers.countPending()).to.equal(0);
  });

  it('clears its timer and writes nothing after the caller has disconnected', async () => {
    const { res, timers, stream, writeLarge } = setUp(1);
    writeLarge();
    await settle();
    writeLarge();
    res.destroy();
    writeLarge();
    stream.end(() => 'end');
    await settle();
    expect(res.writes).to.deep.equal([LARGE_EVENT]);
    expect(res.ended).to.equal(null);
    expect(timers.countPending()).to.equal(0);
  });
});
