import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createBackend } from './RelayFixtures.js';
import { BACKENDS, createPartsBed } from './RelayPartsBed.js';
import type { PartsBed } from './RelayPartsBed.js';

const SETTLE_TIME: Millis = 5000;
const TIME_LEFT: Millis = 5000;
const PERIOD: Millis = 50;
const WORK_TIME: Millis = 25;

/** An instance before two plain servers and two engines for the first layers, of which `p1` and `e0` say that they leave. */
async function createLeavingBed() {
  const reached: string[] = [];
  let started: PartsBed | null = null;
  const serve = (server: string, noteSaidLeaving: (id: string) => void, end: () => void) => {
    reached.push(server);
    return (started as PartsBed).timers.registerTimeout(WORK_TIME, () => {
      if (server === 'p1' || server === 'e0') {
        noteSaidLeaving(server);
      }
      end();
    });
  };
  const bed = createPartsBed(
    (_by, view) => (call, listener) => {
      const { stages, variant } = call.chain;
      return serve(stages[0]?.engine ?? '', view.noteSaidLeaving, () => {
        listener.onAcknowledged({ variant, stages });
        listener.onToken(0, 'w');
        listener.onEnd('stop', 1);
      });
    },
    ['d1'],
    (_by, view) => (call, listener) =>
      serve(call.server, view.noteSaidLeaving, () =>
        listener.onAnswer({ status: 200, headers: {}, body: Buffer.from('w') }),
      ),
  );
  started = bed;
  bed.addServer('p1');
  bed.addServer('p2');
  bed.addEngine('f0', { first: 0, end: 2 });
  bed.start('i1');
  await bed.timers.advanceToAsync(SETTLE_TIME);

  /** Sends a request every period; returns how many were served, and the servers that they reached. */
  async function send(count: number) {
    const from = reached.length;
    const calls = [];
    for (let i = 0; i < count; i += 1) {
      calls.push(bed.submit('i1', i % 2 === 0 ? '/statements/' : '/letters/', TIME_LEFT));
      await bed.timers.advanceToAsync(bed.timers.now() + PERIOD);
    }
    await bed.timers.advanceToAsync(bed.timers.now() + WORK_TIME);
    const served = calls.filter(({ ends }) => ends.length === 1).length;
    return {
      served,
      leaving: reached.slice(from).filter((id) => id === 'p1' || id === 'e0').length,
    };
  }

  return { bed, send };
}

describe('Servers that say in an answer that they leave', () => {
  it('get nothing new, though they stay registered as ready, and others serve all callers', async () => {
    // Guards against servers that never register that they leave, and end under the requests that they still get.
    const { bed, send } = await createLeavingBed();
    await send(40);
    expect(await send(40)).to.deep.equal({ served: 40, leaving: 0 });
    bed.store.put(
      `${BACKENDS}p1`,
      JSON.stringify(createBackend('p1', { service: 'accounts', accelerator: null })),
    );
    await bed.timers.advanceToAsync(bed.timers.now() + 500);
    expect(await send(40), 'after an entry that says ready').to.deep.equal({
      served: 40,
      leaving: 0,
    });
  });

  it('get nothing new while the store is lost, nor when their entry is gone for a while', async () => {
    // Guards against news that are older than the server's own word, and undo it.
    const { bed, send } = await createLeavingBed();
    await send(40);
    bed.store.remove(`${BACKENDS}p1`);
    await bed.timers.advanceToAsync(bed.timers.now() + 3000);
    bed.addServer('p1');
    await bed.timers.advanceToAsync(bed.timers.now() + 500);
    expect(await send(40)).to.deep.equal({ served: 40, leaving: 0 });
  });

  it('leave their next incarnation free to serve', async () => {
    const { bed, send } = await createLeavingBed();
    await send(40);
    bed.store.remove(`${BACKENDS}p2`);
    bed.store.put(
      `${BACKENDS}p1`,
      JSON.stringify(
        createBackend('p1@2', { server: 'p1', born: 2, service: 'accounts', accelerator: null }),
      ),
    );
    await bed.timers.advanceToAsync(bed.timers.now() + 500);
    const call = bed.submit('i1', '/statements/', TIME_LEFT);
    await bed.timers.advanceToAsync(bed.timers.now() + 200);
    expect(call.ends.length).to.equal(1);
  });
});
