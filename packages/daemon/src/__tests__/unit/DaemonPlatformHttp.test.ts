import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { LARGE_RESPONSE_LIMITS } from '@skylarksail/core/CoreResponseTimeout';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createPlatformHttp } from '../../DaemonPlatformHttp.js';

const TIMEOUT = 300;

describe('DaemonPlatformHttp on a slow link', () => {
  it('waits for a large value that goes on arriving, and gives it up when it stops', async () => {
    // Guards against a change that never comes into force where a part of it takes longer than a call may.
    const timers = createVirtualTimers();
    const text = JSON.stringify({ revision: 6, value: 'x'.repeat(1000) });
    const answers: ServerResponse[] = [];
    const server = createServer((_req, res) => {
      answers.push(res);
      res.write(text.slice(0, 500));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const platform = createPlatformHttp({ host: '127.0.0.1', port }, timers);
    const get = () => platform.get('chunk', { timeout: TIMEOUT });
    // Once the answer has begun, its gaps and its whole time are watched.
    const untilBegun = async (): Promise<void> => {
      while (timers.countPending() < 2) {
        await new Promise(setImmediate);
      }
    };

    const slow = get();
    await untilBegun();
    timers.advanceTo(timers.now() + 3 * TIMEOUT);
    answers[0]?.end(text.slice(500));
    expect(await slow).to.have.nested.property('value.revision', 6);

    const broken = get();
    await untilBegun();
    timers.advanceTo(timers.now() + 2 * LARGE_RESPONSE_LIMITS.gap);
    expect(await broken).to.deep.equal({ kind: 'unknown' });
    await platform.close();
    server.closeAllConnections();
    server.close();
  });
});
