import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { decodeHead, EMPTY_HEAD, encodeHead, type SlotHead } from '@skylarksail/claims/ClaimHead';
import { createClaimSlot, stepSlot } from '@skylarksail/claims/ClaimSlot';
import {
  DEFAULT_SLOT_SETTINGS,
  SlotPhase,
  type ClaimSlotState,
  type SlotClaimRequest,
  type SlotEffect,
  type SlotEvent,
} from '@skylarksail/claims/ClaimSlotTypes';
import { simulateSpec } from './SpinTraces.js';

// Replays Spin's random simulations of claim.pml step by step against ClaimSlot. The committed traces are
// always replayed. Where Spin is installed, they are also regenerated and compared, and new ones replayed.

const SPECS = new URL('../../../specs/', import.meta.url);
const COMMITTED_SEEDS = [1, 2, 3, 4, 5, 6];
const FURTHER_SEEDS = Array.from({ length: 60 }, (_, i) => 100 + i);
/** No slot starts a call at this time, so that the trace decides when calls are made. */
const BEFORE_CALLS_ALLOWED = -1;
const CALLS_ALLOWED = 1_000_000;
const FAR_DEADLINE = 2_000_000;
const PHASES = [SlotPhase.Idle, SlotPhase.Taking, SlotPhase.Held];
const SETTINGS = {
  ...DEFAULT_SLOT_SETTINGS,
  batchInterval: 0,
  retryPause: 1,
  deferAfterLoss: 0,
};

interface Swap {
  readonly expected: number;
  readonly head: SlotHead;
}

interface Replay {
  readonly owners: Map<number, ClaimSlotState>;
  /** Swaps and reads that an owner has requested and the trace has not executed yet. */
  readonly wanted: Map<number, Swap>;
  readonly pendingReads: Set<number>;
  readonly sent: Map<number, Swap>;
  /** The heads that the platform stored, newest last. */
  readonly stored: SlotHead[];
}

function createClaimRequest(requester: number, deadline: number): SlotClaimRequest {
  return { askId: `r#${requester}/1`, keyHash: 'key', fingerprint: 'f', stamp: null, deadline };
}

/** Encodes the requesters of claim requests as the specification's bit set. */
function encodeRequesters(askIds: Iterable<string>): number {
  return [...askIds].reduce((set, askId) => set + 2 ** Number(askId.slice(2, 3)), 0);
}

function getOwner(replay: Replay, o: number): ClaimSlotState {
  return replay.owners.get(o) as ClaimSlotState;
}

function step(replay: Replay, o: number, event: SlotEvent, now = BEFORE_CALLS_ALLOWED): void {
  const next = stepSlot(getOwner(replay, o), event, { now, wall: 0 });
  replay.owners.set(o, next.state);
  next.effects.forEach((effect) => recordEffect(replay, o, effect));
}

function recordEffect(replay: Replay, o: number, effect: SlotEffect): void {
  if (effect.kind === 'swap-head') {
    replay.wanted.set(o, effect);
  }
  if (effect.kind === 'read-head') {
    replay.pendingReads.add(o);
  }
  if (effect.kind === 'reply' && effect.reply.kind === 'granted') {
    const claim = getOwner(replay, o).known?.head.claims[0];
    expect(claim?.askId, 'a grant names the stored claim').to.equal(effect.askId);
  }
}

function sendSwap(replay: Replay, o: number, w: number): Swap {
  if (!replay.wanted.has(o)) {
    step(replay, o, { kind: 'tick' }, CALLS_ALLOWED);
  }
  const swap = replay.wanted.get(o);
  if (!swap) {
    throw new Error('the specification writes where ClaimSlot does not');
  }
  replay.wanted.delete(o);
  replay.sent.set(o * 2 + w, swap);
  return swap;
}

function runStep(replay: Replay, name: string, [o = 0, a = 0, b = 0]: readonly number[]): void {
  const sent = replay.sent.get(o * 2 + a);
  switch (name) {
    case 'ask': {
      const isIdle = getOwner(replay, o).phase === SlotPhase.Idle;
      const event = { kind: 'ask', ask: createClaimRequest(a, FAR_DEADLINE) } as const;
      step(replay, o, event, isIdle ? CALLS_ALLOWED : BEFORE_CALLS_ALLOWED);
      break;
    }
    case 'answer':
      break;
    case 'expire':
      step(replay, o, { kind: 'ask', ask: createClaimRequest(a, BEFORE_CALLS_ALLOWED) });
      break;
    case 'release':
      step(replay, o, { kind: 'release', askId: `r#${a}/1`, keyHash: 'key' });
      break;
    case 'read': {
      if (!replay.pendingReads.has(o)) {
        step(replay, o, { kind: 'tick' }, CALLS_ALLOWED);
      }
      expect(replay.pendingReads.has(o), 'ClaimSlot reads where the specification does').to.equal(
        true,
      );
      replay.pendingReads.delete(o);
      const head = replay.stored.at(-1) ?? EMPTY_HEAD;
      const value = { revision: replay.stored.length, value: encodeHead(head) };
      step(replay, o, { kind: 'head-read', outcome: { kind: 'done', value } });
      break;
    }
    case 'take':
      sendSwap(replay, o, a);
      break;
    case 'batch': {
      // The slot serves the first waiting request of a key, so the other one is sent again to move it to the end.
      const other = 3 - b;
      const isWaiting = getOwner(replay, o).waiting.some((ask) => ask.askId === `r#${other}/1`);
      if (b !== 0 && isWaiting) {
        step(replay, o, { kind: 'ask', ask: createClaimRequest(other, FAR_DEADLINE) });
      }
      const { head } = sendSwap(replay, o, a);
      expect(encodeRequesters(head.claims.map((claim) => claim.askId))).to.equal(
        b === 0 ? 0 : 2 ** b,
      );
      break;
    }
    case 'apply': {
      const swap = replay.sent.get(o) as Swap;
      expect(swap.expected).to.equal(replay.stored.length);
      replay.stored.push(swap.head);
      break;
    }
    case 'done':
      step(replay, o, {
        kind: 'head-swapped',
        outcome: { kind: 'done', value: (sent as Swap).expected + 1 },
      });
      break;
    case 'conflict': {
      const reason = { kind: 'conflict', revision: replay.stored.length } as const;
      step(replay, o, { kind: 'head-swapped', outcome: { kind: 'refused', reason } }, 0);
      break;
    }
    case 'unknown':
      step(replay, o, { kind: 'head-swapped', outcome: { kind: 'unknown' } });
      break;
    default:
      throw new Error(`no such step: ${name}`);
  }
}

/** Compares an owner's state with the STATE line that the specification printed after the step. */
function checkState(replay: Replay, line: readonly number[], where: string): void {
  const [o = 0, phase = 0, isKnown = 0, revision, epoch, claim = 0, waiting = 0, released] = line;
  const state = getOwner(replay, o);
  const claims = state.known?.head.claims.map((held) => held.askId) ?? [];
  expect(
    {
      phase: state.phase,
      isKnown: Number(state.known !== null),
      revision: state.known?.revision ?? 0,
      epoch: state.known?.head.epoch ?? 0,
      claim: encodeRequesters(claims),
      released: encodeRequesters(state.released.keys()),
    },
    where,
  ).to.deep.equal({
    phase: PHASES[phase],
    isKnown,
    revision,
    epoch,
    claim: claim === 0 ? 0 : 2 ** claim,
    released,
  });
  const isAnswerable = state.phase === SlotPhase.Held && claims.length > 0 && released === 0;
  if (isAnswerable) {
    // ClaimSlot replies at once, while the specification replies in a separate step.
    expect(state.waiting, where).to.deep.equal([]);
    return;
  }
  for (const requester of [1, 2]) {
    const isMissing = !state.waiting.some((ask) => ask.askId === `r#${requester}/1`);
    if (Math.floor(waiting / 2 ** requester) % 2 === 1 && isMissing) {
      step(replay, o, { kind: 'ask', ask: createClaimRequest(requester, FAR_DEADLINE) });
    }
  }
  const waitingIds = getOwner(replay, o).waiting.map((ask) => ask.askId);
  expect(encodeRequesters(waitingIds), `waiting ${where}`).to.equal(waiting);
}

function replayTrace(trace: string): number {
  const replay: Replay = {
    owners: new Map([0, 1].map((o) => [o, createClaimSlot(0, `o${o}#1`, SETTINGS)])),
    wanted: new Map(),
    pendingReads: new Set(),
    sent: new Map(),
    stored: [],
  };
  const lines = trace.split('\n').map((line) => line.trim().split(/\s+/));
  let steps = 0;
  lines.forEach(([kind, ...fields], number) => {
    if (kind === 'STEP') {
      runStep(replay, fields[0] as string, fields.slice(1).map(Number));
      steps += 1;
    } else if (kind === 'STATE') {
      checkState(replay, fields.map(Number), `line ${number + 1} of the trace`);
    }
  });
  // A stored head decodes to the head that was written.
  const last = replay.stored.at(-1) ?? EMPTY_HEAD;
  expect(decodeHead(encodeHead(last))).to.deep.equal(last);
  return steps;
}

function simulate(seed: number): string | null {
  const options = [`-n${seed}`, '-u1500', '-T', '-DMAX_REVISION=40', '-DMAX_UNANSWERED=30'];
  return simulateSpec(options, new URL('claim.pml', SPECS));
}

function readCommittedTrace(seed: number): string {
  return readFileSync(new URL(`traces/claim-${seed}.txt`, SPECS), 'utf8');
}

describe('the specification claim.pml and ClaimSlot', () => {
  it('agree on every step of the committed traces', () => {
    const steps = COMMITTED_SEEDS.map((seed) => replayTrace(readCommittedTrace(seed)));
    expect(steps.reduce((sum, count) => sum + count, 0)).to.be.above(500);
  });

  it('agree on new traces, and the committed traces match the specification', function test() {
    if (simulate(1) === null) {
      // Traces cannot be regenerated without Spin; the model check reports this too.
      this.skip();
    }
    COMMITTED_SEEDS.forEach((seed) => expect(simulate(seed)).to.equal(readCommittedTrace(seed)));
    FURTHER_SEEDS.forEach((seed) => {
      const trace = simulate(seed);
      expect(trace, `trace ${seed}`).to.match(/STEP/);
      replayTrace(trace ?? '');
    });
  });
});
