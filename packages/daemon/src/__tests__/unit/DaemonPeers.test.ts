import { expect } from 'chai';
import { startPeerLink } from '../../DaemonPeers.js';

describe('DaemonPeers', () => {
  it('sends messages queued during connection setup in order and without a listener leak', async () => {
    // With a listener per queued message, sending many messages before the connection is open causes a
    // MaxListenersExceededWarning, and memory grows while the peer is unreachable.
    const received: number[] = [];
    const warnings: string[] = [];
    const onWarning = (warning: Error): number => warnings.push(warning.name);
    process.on('warning', onWarning);
    const start = (self: string, port: number) =>
      startPeerLink({
        self,
        secret: 'secret',
        listen: { host: '127.0.0.1', port },
        wallNow: () => Date.now(),
        onMessage: (bytes) => received.push(bytes[0] ?? -1),
        onLost: () => undefined,
      });
    const [one, two] = await Promise.all([start('one', 0), start('two', 0)]);
    const sent = Array.from({ length: 40 }, (_, i) => i);
    sent.forEach((i) => one.send({ host: '127.0.0.1', port: two.port }, new Uint8Array([i])));
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
});
