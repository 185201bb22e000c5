/**
 * Runs the slots of one instance: feeds their state machines with asks, answers of the platform's
 * service and time, and carries out what they want. A slot is taken when the first ask for it comes.
 */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Unregister } from '@skylarksail/core/CoreTypes';
import type { StorePort } from '@skylarksail/store/StorePort';
import { findOrphans } from './ClaimCollector.js';
import { encodeClaims, encodeHead } from './ClaimHead.js';
import { createClaimSlot, stepSlot } from './ClaimSlot.js';
import { getNextTickTime } from './ClaimSlotCalls.js';
import {
  DEFAULT_SLOT_SETTINGS,
  SlotPhase,
  type ClaimSlotSettings,
  type ClaimSlotState,
  type SlotClaimRequest,
  type SlotEffect,
  type SlotEvent,
  type SlotReply,
} from './ClaimSlotTypes.js';

export interface ClaimOwnerOptions {
  /** Name of this process, unique to one start of it. */
  readonly processName: string;
  readonly platform: StorePort;
  /** The port for removing segments that nothing names any more. */
  readonly housekeeping: StorePort;
  readonly timers: TimerService;
  /** Milliseconds since 1970; only retention looks at it. */
  readonly wallClock: () => number;
  /** Slots of the whole fleet; the same for every instance, for good. */
  readonly slots: number;
  readonly settings?: ClaimSlotSettings;
}

export interface ClaimOwner {
  ask(slot: number, ask: SlotClaimRequest): Promise<SlotReply>;
  release(slot: number, askId: string, keyHash: string): void;
  settle(slot: number, askId: string, outcome: RunStateName): void;
  /** Part of all slots that this instance owns or is taking, for its part of the budget. */
  getSlotShare(): number;
  /** State of a slot, for metrics and tests. */
  getSlot(slot: number): ClaimSlotState | undefined;
  /** Stops all work; asks that wait are told that the slot is not ours. */
  stop(): void;
}

const CALL_TIMEOUT_MS = 1000;
/** A slot that was taken is looked through for left-over segments after this time. */
const COLLECT_AFTER_MS = 30_000;

interface RunningSlot {
  state: ClaimSlotState;
  readonly replies: Map<string, ((reply: SlotReply) => void)[]>;
  cancelWake: Unregister;
  cancelCollect: Unregister;
}

/** Creates the owner of no slots. */
export function createClaimOwner(options: ClaimOwnerOptions): ClaimOwner {
  const { processName, platform, housekeeping, timers, wallClock, slots } = options;
  const settings = options.settings ?? DEFAULT_SLOT_SETTINGS;
  const running = new Map<number, RunningSlot>();
  const callOptions = { timeout: CALL_TIMEOUT_MS };
  let stopped = false;

  function openSlot(slot: number): RunningSlot {
    const known = running.get(slot);
    if (known) {
      return known;
    }
    const created: RunningSlot = {
      state: createClaimSlot(slot, processName, settings),
      replies: new Map(),
      cancelWake: () => undefined,
      cancelCollect: () => undefined,
    };
    running.set(slot, created);
    return created;
  }

  function dispatch(slot: number, event: SlotEvent): void {
    if (stopped) {
      return;
    }
    const target = openSlot(slot);
    const wasHeld = target.state.phase === SlotPhase.Held;
    const step = stepSlot(target.state, event, { now: timers.now(), wall: wallClock() });
    target.state = step.state;
    if (!wasHeld && step.state.phase === SlotPhase.Held) {
      target.cancelCollect();
      target.cancelCollect = timers.registerTimeout(COLLECT_AFTER_MS, () => {
        void collect(target);
      });
    }
    step.effects.forEach((effect) => runEffect(target, effect));
    target.cancelWake();
    const wakeAt = getNextTickTime(target.state);
    if (wakeAt !== null) {
      const delay = Math.max(0, wakeAt - timers.now());
      target.cancelWake = timers.registerTimeout(delay, () => dispatch(slot, { kind: 'tick' }));
    }
  }

  function runEffect(target: RunningSlot, effect: SlotEffect): void {
    const { slot } = target.state;
    const key = (name: string): string => getSlotKey(slots, slot, name);
    switch (effect.kind) {
      case 'read-head':
        void platform
          .get(key('head'), callOptions)
          .then((outcome) => dispatch(slot, { kind: 'head-read', outcome }));
        break;
      case 'swap-head':
        void platform
          .swap(key('head'), effect.expected, encodeHead(effect.head), callOptions)
          .then((outcome) => dispatch(slot, { kind: 'head-swapped', outcome }));
        break;
      case 'read-segment':
        void platform
          .get(key(effect.name), callOptions)
          .then((outcome) => dispatch(slot, { kind: 'segment-read', name: effect.name, outcome }));
        break;
      case 'write-segment':
        void platform
          .swap(key(effect.name), 0, encodeClaims(effect.claims), callOptions)
          .then((outcome) =>
            dispatch(slot, { kind: 'segment-written', name: effect.name, outcome }),
          );
        break;
      case 'remove-segment':
        void removeSegment(key(effect.name));
        break;
      default:
        answer(target, effect.askId, effect.reply);
    }
  }

  /**
   * Removes a segment that no head names any more; if this fails the value only takes room. Services
   * differ in how they count revisions, so it is read first: with a guessed one each removal met a
   * conflict at a service that counts over all its keys, and segments stayed for ever.
   */
  async function removeSegment(segmentKey: string): Promise<void> {
    const found = await housekeeping.get(segmentKey, callOptions);
    if (found.kind === 'done' && found.value.revision > 0) {
      await housekeeping.remove(segmentKey, found.value.revision, callOptions);
    }
  }

  /** Removes left-over segments once after the slot was taken; what fails is left to the next owner. */
  async function collect(target: RunningSlot): Promise<void> {
    const { slot } = target.state;
    const prefix = getSlotKey(slots, slot, '');
    const listed = await housekeeping.list(prefix, callOptions);
    const head = target.state.known?.head;
    if (stopped || listed.kind !== 'done' || !head || target.state.phase !== SlotPhase.Held) {
      return;
    }
    const names = listed.value.map((key) => key.slice(prefix.length));
    for (const name of findOrphans(names, head)) {
      await removeSegment(getSlotKey(slots, slot, name));
    }
  }

  function answer(target: RunningSlot, askId: string, reply: SlotReply): void {
    const listeners = target.replies.get(askId) ?? [];
    target.replies.delete(askId);
    listeners.forEach((listener) => listener(reply));
  }

  return {
    ask(slot, ask) {
      return new Promise((resolve) => {
        if (stopped) {
          resolve({ kind: 'not-owner', owner: '' });
          return;
        }
        const { replies } = openSlot(slot);
        replies.set(ask.askId, [...(replies.get(ask.askId) ?? []), resolve]);
        dispatch(slot, { kind: 'ask', ask });
      });
    },
    release: (slot, askId, keyHash) => dispatch(slot, { kind: 'release', askId, keyHash }),
    settle: (slot, askId, outcome) => dispatch(slot, { kind: 'settle', askId, outcome }),
    getSlotShare() {
      const owned = [...running.values()].filter(({ state }) => state.phase !== SlotPhase.Idle);
      return owned.length / slots;
    },
    getSlot: (slot) => running.get(slot)?.state,
    stop() {
      stopped = true;
      for (const target of running.values()) {
        target.cancelWake();
        target.cancelCollect();
        [...target.replies.keys()].forEach((askId) =>
          answer(target, askId, { kind: 'not-owner', owner: '' }),
        );
      }
    },
  };
}

/** Key of a slot's value. The number of slots is part of it: another number is another set. */
export function getSlotKey(slots: number, slot: number, name: string): string {
  return `claims/${slots}/${slot}/${name}`;
}
