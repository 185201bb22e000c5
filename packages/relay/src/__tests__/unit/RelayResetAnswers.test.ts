import { expect } from 'chai';
import type { FakeAnswerServer } from '@skylarksail/connections/FakeAnswerServer';
import { startFakeAnswerServer } from '@skylarksail/connections/FakeAnswerServer';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createPeerHttp } from '../../RelayPeerHttp.js';
import type { PeerHttp } from '../../RelayPeerHttp.js';
import type { InstanceEntry } from '../../RelayTypes.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

describe('Answers of peers that are reset', () => {
  let server: FakeAnswerServer;
  let peers: PeerHttp;
  let peer: InstanceEntry;

  beforeEach(async () => {
    server = await startFakeAnswerServer((socket) => {
      socket.write(`${HEAD}1`, () => socket.resetAndDestroy());
    });
    peer = { id: 'p', domain: 'd', address: server.address };
    peers = createPeerHttp(createVirtualTimers());
  });

  afterEach(async () => {
    await peers.close();
    await server.close();
  });

  it('grant nothing, and confirm nothing', async () => {
    // Guards against a number of which only the first digits came, and against reports that nobody has taken.
    const digest = { items: [] } as unknown as Parameters<PeerHttp['sendCrashReports']>[1];
    expect(await peers.askGrant(peer, 'letters', 20, 1000)).to.equal(0);
    expect(await peers.askForTrial(peer, 'f', 1000)).to.equal(null);
    expect(await peers.sendCrashReports(peer, digest, 1000)).to.equal(false);
    expect(server.countRequests()).to.equal(3);
  });
});
