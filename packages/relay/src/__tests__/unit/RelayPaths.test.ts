import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createRelayPaths } from '../../RelayPaths.js';

/** Watches one silent call at a server that this instance can't connect to and a peer can; returns what became of it. */
async function watchSilentCall(connectTime: Millis): Promise<readonly string[]> {
  const timers = createVirtualTimers();
  const seen: string[] = [];
  const paths = createRelayPaths({
    timers,
    checkOwnLink: () =>
      new Promise((resolve) => {
        timers.registerTimeout(connectTime, () => resolve(false));
      }),
    checkThroughPeers: () => Promise.resolve(true),
    isKnown: () => true,
    isServingPeers: () => false,
    onCut: () => seen.push('cut'),
    onRestored: () => seen.push('restored'),
  });
  paths.watch('e', () => seen.push('call ended'));
  const cancel = timers.registerInterval(100, paths.sweep);
  await timers.advanceToAsync(2000);
  cancel();
  paths.stop();
  return seen;
}

describe('RelayPaths', () => {
  it('ends silent calls where connections hang, and not where a busy server refuses them', async () => {
    // Guards against answers that are broken off at a server with a long queue, which refuses new connections.
    expect(await watchSilentCall(200)).to.deep.equal(['cut', 'call ended']);
    expect(await watchSilentCall(1)).to.deep.equal(['cut']);
  });
});
