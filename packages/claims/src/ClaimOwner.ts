/**
 * Runs the claim slots of one instance: passes claim requests, store results and timer ticks to their
 * state machines and executes the resulting effects. A slot is acquired on the first request for it.
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
  /** Name of this process; differs for each start of the instance. */
  readonly processName: string;
  readonly platform: StorePort;
  /** Store port for removing segments that are no longer referenced. */
  readonly housekeeping: StorePort;
  readonly timers: TimerService;
  /** Milliseconds since 1970; used for retention only. */
  readonly wallClock: () => number;
  /** Number of slots in the fleet; must be the same on every instance and never change. */
  readonly slots: number;
  readonly settings?: ClaimSlotSettings;
}

export interface ClaimOwner {
  ask(slot: number, ask: SlotClaimRequest): Promise<SlotReply>;
  release(slot: number, askId: string, keyHash: string): void;
  settle(slot: number, askId: string, outcome: RunStateName): void;
  /**
   * Share of all slots that this instance owns or is acquiring. It determines the instance's share of the
   * budget for store calls.
   */
  getSlotShare(): number;
  /** State of a slot for metrics and tests; undefined if this instance has never used the slot. */
  getSlot(slot: number): ClaimSlotState | undefined;
  /** Stops all work. Waiting requests are answered with `not-owner`. */
  stop(): void;
}

const CALL_TIMEOUT_MS = 1000;
/** Delay from acquiring a slot to the removal of its orphaned segments. */
const ORPHAN_CLEANUP_DELAY_MS = 30_000;

interface RunningSlot {
  state: ClaimSlotState;
  readonly replies: Map<string, ((reply: SlotReply) => void)[]>;
  cancelTick: Unregister;
  cancelCleanup: Unregister;
}

/** Creates a claim owner that does not own any slot yet. */
export function createClaimOwner(options: ClaimOwnerOptions): ClaimOwner {
  const { processName, platform, housekeeping, timers, wallClock, slots } = options;
  const settings = options.settings ?? DEFAULT_SLOT_SETTINGS;
  const running = new Map<number, RunningSlot>();
  const callOptions = { timeout: CALL_TIMEOUT_MS };
  let stopped = false;

  function getOrCreateSlot(slot: number): RunningSlot {
    const known = running.get(slot);
    if (known) {
      return known;
    }
    const created: RunningSlot = {
      state: createClaimSlot(slot, processName, settings),
      replies: new Map(),
      cancelTick: () => undefined,
      cancelCleanup: () => undefined,
    };
    running.set(slot, created);
    return created;
  }

  function dispatch(slot: number, event: SlotEvent): void {
    if (stopped) {
      return;
    }
    const target = getOrCreateSlot(slot);
    const wasHeld = target.state.phase === SlotPhase.Held;
    const step = stepSlot(target.state, event, { now: timers.now(), wall: wallClock() });
    target.state = step.state;
    if (!wasHeld && step.state.phase === SlotPhase.Held) {
      target.cancelCleanup();
      target.cancelCleanup = timers.registerTimeout(ORPHAN_CLEANUP_DELAY_MS, () => {
        void removeOrphans(target);
      });
    }
    step.effects.forEach((effect) => runEffect(target, effect));
    target.cancelTick();
    const tickAt = getNextTickTime(target.state);
    if (tickAt !== null) {
      const delay = Math.max(0, tickAt - timers.now());
      target.cancelTick = timers.registerTimeout(delay, () => dispatch(slot, { kind: 'tick' }));
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
        sendReply(target, effect.askId, effect.reply);
    }
  }

  /**
   * Removes a segment that no head refers to any more. A failed removal only wastes storage. The revision
   * is read first because stores number revisions differently: if a store counts them across all keys, a
   * guessed revision always conflicts and the segment is never removed.
   */
  async function removeSegment(segmentKey: string): Promise<void> {
    const found = await housekeeping.get(segmentKey, callOptions);
    if (found.kind === 'done' && found.value.revision > 0) {
      await housekeeping.remove(segmentKey, found.value.revision, callOptions);
    }
  }

  /** Removes orphaned segments once after the slot was acquired. If this fails, the next owner does it. */
  async function removeOrphans(target: RunningSlot): Promise<void> {
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

  function sendReply(target: RunningSlot, askId: string, reply: SlotReply): void {
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
        const { replies } = getOrCreateSlot(slot);
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
        target.cancelTick();
        target.cancelCleanup();
        [...target.replies.keys()].forEach((askId) =>
          sendReply(target, askId, { kind: 'not-owner', owner: '' }),
        );
      }
    },
  };
}

/**
 * Returns the store key of a value of a slot. The key includes the number of slots, so that a different
 * number uses a separate set of slots.
 */
export function getSlotKey(slots: number, slot: number, name: string): string {
  return `claims/${slots}/${slot}/${name}`;
}
