import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { expect } from 'chai';
import type { PeerCalls } from '../../MembershipCalls.js';
import { createCallTopic, createPeerCalls } from '../../MembershipCalls.js';
import { decodeEnvelope, EnvelopeKind } from '../../MembershipEnvelope.js';

const DOUBLE = createCallTopic<{ value: number }, { doubled: number }>('test/double');

/** Two instances whose envelopes are held until `flush`. */
function createPair() {
  const timers = createVirtualTimers();
  const held: { to: string; bytes: Uint8Array }[] = [];
  const calls = new Map<string, PeerCalls>();
  for (const self of ['a', 'b']) {
    const send = (to: string, bytes: Uint8Array) => {
      held.push({ to, bytes });
      return to !== 'nowhere';
    };
    calls.set(self, createPeerCalls({ self, timers, send, maxInFlight: 2, session: self }));
  }
  const [a, b] = [calls.get('a') as PeerCalls, calls.get('b') as PeerCalls];
  b.registerHandler(DOUBLE, ({ value }) => ({ doubled: 2 * value }));
  const flush = () =>
    held.splice(0).forEach(({ to, bytes }) => calls.get(to)?.receive(decodeEnvelope(bytes)));
  return { timers, a, b, held, flush };
}

describe('MembershipCalls', () => {
  it('matches each call with its own reply when replies arrive out of order', async () => {
    const { timers, a, held, flush } = createPair();
    const first = a.call('b', DOUBLE, { value: 1 }, 100);
    const second = a.call('b', DOUBLE, { value: 2 }, 100);
    flush();
    await timers.advanceToAsync(1);
    held.reverse();
    flush();
    expect(await first).to.deep.equal({ ok: true, value: { doubled: 2 } });
    expect(await second).to.deep.equal({ ok: true, value: { doubled: 4 } });
  });

  it('drops a late reply and completes the next call', async () => {
    // Guards against matching replies by order, where a late reply would answer the next call.
    const { timers, a, flush } = createPair();
    const first = a.call('b', DOUBLE, { value: 1 }, 100);
    flush();
    await timers.advanceToAsync(200);
    flush();
    expect(await first).to.deep.equal({ ok: false, error: { kind: 'timeout' } });
    expect(a.getCounters().late).to.equal(1);
    const second = a.call('b', DOUBLE, { value: 5 }, 100);
    flush();
    await timers.advanceToAsync(201);
    flush();
    expect(await second).to.deep.equal({ ok: true, value: { doubled: 10 } });
  });

  it('rejects calls above the limit, and reports when nothing was sent', async () => {
    const { a } = createPair();
    const openCalls = [1, 2].map((value) => a.call('b', DOUBLE, { value }, 100));
    expect(await a.call('b', DOUBLE, { value: 3 }, 100)).to.deep.equal({
      ok: false,
      error: { kind: 'busy' },
    });
    expect(await a.call('nowhere', DOUBLE, { value: 3 }, 100)).to.deep.equal({
      ok: false,
      error: { kind: 'unsent' },
    });
    expect(openCalls).to.have.length(2);
  });

  it('drops invalid messages and a reply from an instance that was not called', async () => {
    const { timers, a, flush } = createPair();
    const call = a.call('b', DOUBLE, { value: 1 }, 100);
    a.receive({ from: 'c', kind: EnvelopeKind.Reply, payload: ['a', 1, true, { doubled: 99 }] });
    a.receive({ from: 'b', kind: EnvelopeKind.Reply, payload: ['a', -1, true, 0] });
    a.receive({ from: 'b', kind: EnvelopeKind.Call, payload: 'nothing' });
    expect(a.getCounters()).to.deep.equal({ late: 1, garbage: 2, unhandled: 0 });
    flush();
    await timers.advanceToAsync(1);
    flush();
    expect(await call).to.deep.equal({ ok: true, value: { doubled: 2 } });
  });
});
