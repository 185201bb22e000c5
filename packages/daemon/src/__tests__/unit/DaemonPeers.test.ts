import { expect } from 'chai';
import type { PeerLink } from '../../DaemonPeers.js';
import { startPeerLink } from '../../DaemonPeers.js';
import { findPort, waitUntil } from './DaemonHarness.js';

const HOST = '127.0.0.1';

function start(self: string, onMessage: (bytes: Uint8Array) => void): Promise<PeerLink> {
  return startPeerLink({
    self,
    secret: 'secret',
    listen: { host: HOST, port: 0 },
    wallNow: () => Date.now(),
    onMessage,
    onLost: () => undefined,
  });
}

describe('DaemonPeers', () => {
  it('sends messages queued during connection setup in order and without a listener leak', async () => {
    // With a listener per queued message, sending many messages before the connection is open causes a
    // MaxListenersExceededWarning, and memory grows while the peer is unreachable.
    const received: number[] = [];
    const warnings: string[] = [];
    const onWarning = (warning: Error): number => warnings.push(warning.name);
    process.on('warning', onWarning);
    const receive = (bytes: Uint8Array): number => received.push(bytes[0] ?? -1);
    const [one, two] = await Promise.all([start('one', receive), start('two', receive)]);
    const sent = Array.from({ length: 40 }, (_, i) => i);
    sent.forEach((i) => one.send({ host: HOST, port: two.port }, new Uint8Array([i])));
    const until = Date.now() + 3000;
    while (received.length < sent.length && Date.now() < until) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    process.off('warning', onWarning);
    await Promise.all([one.close(), two.close()]);
    expect(received).to.deep.equal(sent);
    expect(warnings).to.deep.equal([]);
  });

  it('counts a message as sent or as dropped, never as both', async () => {
    // Guards against a rate of sent bytes that includes what an unreachable peer never gets.
    const one = await start('one', () => undefined);
    const messages = 300;
    const unreachable = { host: HOST, port: await findPort() };
    const queued = Array.from({ length: messages }, () =>
      one.send(unreachable, new Uint8Array(10)),
    ).filter(Boolean).length;
    expect(queued).to.be.within(1, messages - 1);
    await waitUntil(() => one.readCounts().dropped === messages);
    const { sentBytes } = one.readCounts();
    let receivedBytes = 0;
    const two = await start('two', (bytes) => {
      receivedBytes += bytes.byteLength;
    });
    [1, 2, 3].forEach((size) => one.send({ host: HOST, port: two.port }, new Uint8Array(size)));
    await waitUntil(() => receivedBytes === 6);
    const counts = one.readCounts();
    await Promise.all([one.close(), two.close()]);
    expect(sentBytes).to.equal(0);
    expect(counts).to.include({ sentBytes: 6, dropped: messages });
  });
});
