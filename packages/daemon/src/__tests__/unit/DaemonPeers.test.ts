import { expect } from 'chai';
import { startPeerLink } from '../../DaemonPeers.js';

describe('DaemonPeers', () => {
  it('sends all that came while a connection was being made, in order and without a leak', async () => {
    // Symptom: MaxListenersExceededWarning, and memory that grows while a peer cannot be reached.
    // Sequence: many messages are sent before the connection to their peer is open.
    // Cause: each of them waited by a listener of its own.
    const heard: number[] = [];
    const warnings: string[] = [];
    const onWarning = (warning: Error): number => warnings.push(warning.name);
    process.on('warning', onWarning);
    const start = (self: string, port: number) =>
      startPeerLink({
        self,
        secret: 'secret',
        listen: { host: '127.0.0.1', port },
        wallNow: () => Date.now(),
        onMessage: (bytes) => heard.push(bytes[0] ?? -1),
        onLost: () => undefined,
      });
    const [one, two] = await Promise.all([start('one', 0), start('two', 0)]);
    const sent = Array.from({ length: 40 }, (_, i) => i);
    sent.forEach((i) => one.send({ host: '127.0.0.1', port: two.port }, new Uint8Array([i])));
    const until = Date.now() + 3000;
    while (heard.length < sent.length && Date.now() < until) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    process.off('warning', onWarning);
    await Promise.all([one.close(), two.close()]);
    expect(heard).to.deep.equal(sent);
    expect(warnings).to.deep.equal([]);
  });
});
