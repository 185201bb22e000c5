import { expect } from 'chai';
import { EMPTY_HEAD, encodeHead, type SlotHead } from '../../ClaimHead.js';
import { createClaimSlot, stepSlot } from '../../ClaimSlot.js';
import {
  DEFAULT_SLOT_SETTINGS,
  type ClaimSlotState,
  type SlotEffect,
  type SlotEvent,
} from '../../ClaimSlotTypes.js';

const KEY = { keyHash: 'k', fingerprint: 'f', stamp: null };

describe('ClaimSlot', () => {
  it('keeps a claim found while acquiring the slot, even if the same request times out here', () => {
    // Failure: a key runs twice. The old owner grants the key to request A, which runs; a late copy of A's
    // claim request reaches the next owner and times out there while that owner acquires the slot. The swap
    // that acquires the slot also contains A's claim; if it is mistaken for a claim that this owner added,
    // it is removed.
    const stored: SlotHead = {
      ...EMPTY_HEAD,
      epoch: 1,
      owner: 'old#1',
      claims: [{ ...KEY, askId: 'a#1/1', outcome: null }],
    };
    let state: ClaimSlotState = createClaimSlot(0, 'new#1', DEFAULT_SLOT_SETTINGS);
    const effects: SlotEffect[] = [];
    const step = (event: SlotEvent, now: number): void => {
      const next = stepSlot(state, event, { now, wall: 0 });
      state = next.state;
      effects.push(...next.effects);
    };
    step({ kind: 'ask', ask: { ...KEY, askId: 'a#1/1', deadline: 100 } }, 0);
    const value = encodeHead(stored);
    step({ kind: 'head-read', outcome: { kind: 'done', value: { revision: 7, value } } }, 10);
    step({ kind: 'tick' }, 100);
    step({ kind: 'head-swapped', outcome: { kind: 'done', value: 8 } }, 110);
    step({ kind: 'ask', ask: { ...KEY, askId: 'b#1/1', deadline: 5000 } }, 120);
    expect(effects.filter((effect) => effect.kind === 'reply')).to.deep.equal([
      { kind: 'reply', askId: 'a#1/1', reply: { kind: 'unavailable', retryAfter: 1000 } },
      { kind: 'reply', askId: 'b#1/1', reply: { kind: 'taken', askId: 'a#1/1', outcome: null } },
    ]);
  });
});
