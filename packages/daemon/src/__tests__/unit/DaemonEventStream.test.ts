import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createEventStream } from '../../DaemonEventStream.js';

/** A response that takes `room` characters and then waits to be read. */
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

  /** The caller reads all that was written, and leaves `room` for more. */
  read(room: number): void {
    this.room = room;
    this.emit('drain');
  }
}

const LARGE_EVENT = 'x'.repeat(1000);
const EVENTS = 200;
/** One write's bound and the event that crosses it. */
const MOST_RENDERED = 16 * 1024 + LARGE_EVENT.length;

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
  it('writes the events of one turn at once and in order, the last one with the end', async () => {
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

  it('renders no more for a caller that does not read, and all of it once it does', async () => {
    // Symptom: the memory of an instance grows with the answers of callers that read slowly.
    // Sequence: a caller stops reading while its engine goes on; the response takes no more.
    // Cause: rendered events, many times the size of their tokens, pile up in the response.
    const { res, stream, writeLarge, countRendered } = setUp(1);
    for (let i = 0; i < EVENTS; i++) {
      writeLarge();
      await settle();
    }
    stream.end(() => 'end');
    expect(countRendered()).to.be.at.most(MOST_RENDERED);
    expect(res.ended).to.equal(null);
    const before = countRendered();
    res.read(1);
    expect(countRendered() - before).to.be.within(1, MOST_RENDERED);
    res.read(Infinity);
    expect(res.writes.join('')).to.equal(LARGE_EVENT.repeat(EVENTS));
    expect(res.ended).to.equal('end');
  });

  it('cuts off a caller that reads nothing for 30 s, and no caller that reads slowly', async () => {
    // Symptom: answers of callers that are gone without a word stay in memory for ever.
    // Sequence: a caller's host vanishes; no packet tells us; the response never drains.
    // Cause: without a limit on the time between two reads, nothing ends the stream.
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

  it('leaves no timer and writes nothing after the caller has gone', async () => {
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
