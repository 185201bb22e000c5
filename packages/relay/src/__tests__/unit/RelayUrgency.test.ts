import { expect } from 'chai';
import type { EngineCall, EngineCallListener } from '@skylarksail/requests/RequestPorts';
import type { RoutedModel } from '@skylarksail/routing/RoutingTypes';
import { markYieldingCalls } from '../../RelayUrgency.js';

const LISTENER = {} as EngineCallListener;

/** Sends a call and returns it as the backend's adapter gets it, with the number of random draws. */
function send(model: Partial<RoutedModel>, change: Partial<EngineCall> = {}) {
  const passed: EngineCall[] = [];
  let draws = 0;
  const open = markYieldingCalls(
    (call) => {
      passed.push(call);
      return () => undefined;
    },
    {
      random: {
        nextFloat: () => {
          draws += 1;
          return 0.5;
        },
      },
      getModel: () => ({ id: 'm', activationBytes: 1, ...model }),
    },
  );
  const chain = { variant: { model: 'm', version: '1', adapter: null } };
  const call = { chain, attempt: 1, contextTokens: 2000, ...change } as unknown as EngineCall;
  open(call, LISTENER);
  return { call, passed: passed[0], draws };
}

describe('RelayUrgency', () => {
  it('marks calls with long prompts, and none that is sent again', () => {
    const shared = { isMemoryShared: true, usualPromptTokens: 800 };
    expect(send(shared).passed?.isYielding).to.equal(true);
    expect(send(shared, { contextTokens: 900 }).passed?.isYielding).to.equal(false);
    expect(send(shared, { attempt: 2 }).passed?.isYielding).to.equal(false);
  });

  it('passes calls of models whose memory is not shared unchanged, without a random draw', () => {
    // Guards against another order in the queues, and other random choices, where the setting is off.
    for (const model of [
      {},
      { isMemoryShared: false, usualPromptTokens: 800 },
      { isMemoryShared: true },
    ]) {
      const { call, passed, draws } = send(model);
      expect(passed).to.equal(call);
      expect(draws).to.equal(0);
    }
  });
});
