/**
 * Duties shared over the live instances of a domain by rendezvous hashing. A duty is a hint and no lock:
 * while views differ two instances may hold one, or none, so only work that stands being done twice or
 * late may hang on it.
 */
import { hash32 } from '@skylarksail/core/CoreHash';
import type { InstanceId, Unregister } from '@skylarksail/core/CoreTypes';
import type { Membership } from './MembershipService.js';
import { getDomainView } from './MembershipViews.js';

interface Holder {
  readonly owner: InstanceId;
  readonly weight: number;
}

export interface DutyState {
  readonly self: InstanceId;
  readonly live: ReadonlySet<InstanceId>;
  readonly holders: ReadonlyMap<string, Holder | null>;
}

/** Duties that came to us, and those that went. */
export interface DutyChange {
  readonly gained: readonly string[];
  readonly lost: readonly string[];
}

export interface DutyStep {
  readonly state: DutyState;
  readonly change: DutyChange;
}

export function createDutyState(self: InstanceId): DutyState {
  return { self, live: new Set(), holders: new Map() };
}

/** Takes in who is live. Only duties that an instance gained or lost are weighed anew. */
export function applyLive(state: DutyState, live: readonly InstanceId[]): DutyStep {
  const next = new Set(live);
  const joined = live.filter((id) => !state.live.has(id));
  if (joined.length === 0 && next.size === state.live.size) {
    return { state, change: { gained: [], lost: [] } };
  }
  const holders = new Map<string, Holder | null>();
  for (const [duty, holder] of state.holders) {
    const isOrphan = holder === null || !next.has(holder.owner);
    holders.set(
      duty,
      isOrphan ? chooseHolder(duty, null, live) : chooseHolder(duty, holder, joined),
    );
  }
  return finishStep(state, { ...state, live: next, holders });
}

/** Takes in which duties there are. */
export function applyDuties(state: DutyState, duties: readonly string[]): DutyStep {
  const live = [...state.live];
  const holders = new Map<string, Holder | null>();
  for (const duty of duties) {
    const known = state.holders.get(duty);
    holders.set(duty, known === undefined ? chooseHolder(duty, null, live) : known);
  }
  return finishStep(state, { ...state, holders });
}

/** Who holds a duty in our view, or null if nobody can. */
export function getDutyOwner(state: DutyState, duty: string): InstanceId | null {
  return state.holders.get(duty)?.owner ?? null;
}

/** The duties that are ours in our view. */
export function getOwnDuties(state: DutyState): readonly string[] {
  const own: string[] = [];
  for (const [duty, holder] of state.holders) {
    if (holder?.owner === state.self) {
      own.push(duty);
    }
  }
  return own;
}

function chooseHolder(
  duty: string,
  best: Holder | null,
  candidates: readonly InstanceId[],
): Holder | null {
  let chosen = best;
  for (const owner of candidates) {
    const weight = hash32(`${duty}\u0000${owner}`);
    const isBetter =
      chosen === null ||
      weight > chosen.weight ||
      (weight === chosen.weight && owner < chosen.owner);
    if (isBetter) {
      chosen = { owner, weight };
    }
  }
  return chosen;
}

function finishStep(before: DutyState, after: DutyState): DutyStep {
  const had = new Set(getOwnDuties(before));
  const has = getOwnDuties(after);
  const hasNow = new Set(has);
  return {
    state: after,
    change: {
      gained: has.filter((duty) => !had.has(duty)),
      lost: [...had].filter((duty) => !hasNow.has(duty)),
    },
  };
}

/** Duties as the daemon uses them: they follow membership. */
export interface Duties {
  setDuties(duties: readonly string[]): void;
  getOwner(duty: string): InstanceId | null;
  isOwn(duty: string): boolean;
  getOwn(): readonly string[];
  registerListener(listener: (change: DutyChange) => void): Unregister;
  stop(): void;
}

/** Creates the duties of our own domain, shared over its live instances. */
export function createDuties(
  self: { id: InstanceId; domain: string },
  membership: Membership,
): Duties {
  const listeners = new Set<(change: DutyChange) => void>();
  let state = createDutyState(self.id);

  function take(step: DutyStep): void {
    state = step.state;
    if (step.change.gained.length + step.change.lost.length > 0) {
      listeners.forEach((listener) => listener(step.change));
    }
  }

  function readLive(): void {
    take(applyLive(state, getDomainView(membership.getState().members, self.domain).live));
  }

  const stop = membership.registerListener((event) => {
    if (event.kind === 'member' && event.change.domain === self.domain) {
      readLive();
    }
  });
  readLive();

  return {
    setDuties: (duties) => take(applyDuties(state, duties)),
    getOwner: (duty) => getDutyOwner(state, duty),
    isOwn: (duty) => getDutyOwner(state, duty) === self.id,
    getOwn: () => getOwnDuties(state),
    registerListener(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    stop,
  };
}
