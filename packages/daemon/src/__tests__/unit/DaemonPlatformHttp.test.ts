import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { LARGE_RESPONSE_LIMITS } from '@skylarksail/core/CoreResponseTimeout';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createPlatformHttp } from '../../DaemonPlatformHttp.js';

const TIMEOUT = 300;

describe('DaemonPlatformHttp on a slow link', () => {
  it('waits for a large value while data arrives, and gives up once it stalls', async () => {
    // If the call timeout covered the whole transfer, a change with a large chunk would never come into force on a
    // slow link.
    const timers = createVirtualTimers();
    const text = JSON.stringify({ revision: 6, value: 'x'.repeat(1000) });
    const responses: ServerResponse[] = [];
    const server = createServer((_req, res) => {
      responses.push(res);
      res.write(text.slice(0, 500));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const platform = createPlatformHttp({ host: '127.0.0.1', port }, timers);
    const get = () => platform.get('chunk', { timeout: TIMEOUT });
    // After the response has begun, two timers run: one for gaps and one for the total time.
    const waitUntilBegun = async (): Promise<void> => {
      while (timers.countPending() < 2) {
        await new Promise(setImmediate);
      }
    };

    const slow = get();
    await waitUntilBegun();
    timers.advanceTo(timers.now() + 3 * TIMEOUT);
    responses[0]?.end(text.slice(500));
    expect(await slow).to.have.nested.property('value.revision', 6);

    const broken = get();
    await waitUntilBegun();
    timers.advanceTo(timers.now() + 2 * LARGE_RESPONSE_LIMITS.gap);
    expect(await broken).to.deep.equal({ kind: 'unknown' });
    await platform.close();
    server.closeAllConnections();
    server.close();
  });
});
