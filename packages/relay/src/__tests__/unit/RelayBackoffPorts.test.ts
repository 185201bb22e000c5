import { expect } from 'chai';
import { pino } from 'pino';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { ServiceCall } from '@skylarksail/requests/RequestPorts';
import type { BackendPorts } from '../../RelayPorts.js';
import { createBackoffPorts } from '../../RelayBackoffPorts.js';
import { createRelayBackoffs } from '../../RelayBackoffs.js';
import { createBackend } from './RelayFixtures.js';

function createBed() {
  const sent: string[] = [];
  const timers = createVirtualTimers(1000);
  const backoffs = createRelayBackoffs({
    timers,
    random: { nextFloat: () => 0 },
    logger: pino({ level: 'silent' }),
    onRequested: () => undefined,
  });
  const own: BackendPorts = {
    openEngineCall: () => () => undefined,
    openServiceCall: ({ server }, listener) => {
      sent.push(`call ${server}`);
      listener.onAnswer({ status: 503, headers: { 'retry-after': '2' }, body: Buffer.alloc(0) });
      return () => undefined;
    },
    orders: {
      readStatus: ({ id }) => {
        sent.push(`status ${id}`);
        return Promise.resolve(null);
      },
      order: ({ id }) => {
        sent.push(`order ${id}`);
        return Promise.resolve('accepted');
      },
    },
    readHealth: ({ id }) => {
      sent.push(`health ${id}`);
      return Promise.resolve({ kind: 'well', id });
    },
    checkConnection: () => Promise.resolve(true),
  };
  return { sent, timers, backoffs, ports: createBackoffPorts(own, backoffs) };
}

describe('RelayBackoffPorts', () => {
  it('sends no health check, question or order to a server in its rest', async () => {
    // Guards against ways to a server besides its callers' requests, each of which it takes for one.
    const { sent, ports, backoffs, timers } = createBed();
    const [a, b] = [createBackend('a'), createBackend('b')];
    backoffs.noteRequested('a', 1000);
    const range = { first: 0, end: 1 };
    expect(await ports.readHealth(a, 100)).to.deep.equal({ kind: 'backed-off' });
    expect(await ports.orders.readStatus(a, 100)).to.equal(null);
    expect(await ports.orders.order(a, range, 0, 100)).to.equal('refused');
    expect(sent).to.deep.equal([]);
    await ports.readHealth(b, 100);
    timers.advanceTo(2000);
    await ports.orders.order(a, range, 0, 100);
    expect(sent).to.deep.equal(['health b', 'order a']);
  });

  it('keeps the rest that an answer asks for which goes to its caller', () => {
    // Guards against a 503 that does not say whether the request ran: it is the caller's answer, and asks for rest all the same.
    const { ports, backoffs } = createBed();
    const call = { server: 'a' } as ServiceCall;
    ports.openServiceCall(call, { onAnswer: () => undefined, onFailure: () => undefined });
    expect(backoffs.getTimeLeft('a')).to.equal(2000);
  });
});
