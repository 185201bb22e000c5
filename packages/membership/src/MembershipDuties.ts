/**
 * Assigns duties to the live instances of a domain by rendezvous hashing. A duty is a hint, not a lock:
 * while membership views differ, two instances may hold a duty, or none. Only work that may safely run
 * twice or late may depend on one.
 */
import { hash32 } from '@skylarksail/core/CoreHash';
import type { InstanceId, Unregister } from '@skylarksail/core/CoreTypes';
import type { Membership } from './MembershipService.js';
import { getDomainView } from './MembershipViews.js';

/** The owner of a duty, with its rendezvous hashing weight. */
interface Holder {
  readonly owner: InstanceId;
  readonly weight: number;
}

export interface DutyState {
  readonly self: InstanceId;
  readonly live: ReadonlySet<InstanceId>;
  readonly holders: ReadonlyMap<string, Holder | null>;
}

/** Duties that this instance gained and lost. */
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

/**
 * Applies the set of live instances. For a duty whose owner is gone, all of them are candidates; for any
 * other duty, only its owner and the instances that joined.
 */
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
  return createDutyStep(state, { ...state, live: next, holders });
}

/** Applies the set of duties. Those already known keep their owner. */
export function applyDuties(state: DutyState, duties: readonly string[]): DutyStep {
  const live = [...state.live];
  const holders = new Map<string, Holder | null>();
  for (const duty of duties) {
    const known = state.holders.get(duty);
    holders.set(duty, known === undefined ? chooseHolder(duty, null, live) : known);
  }
  return createDutyStep(state, { ...state, holders });
}

/** Returns the owner of a duty in this instance's view; null if it is unknown or no instance is live. */
export function getDutyOwner(state: DutyState, duty: string): InstanceId | null {
  return state.holders.get(duty)?.owner ?? null;
}

/** Returns the duties that this instance owns in its view. */
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

function createDutyStep(before: DutyState, after: DutyState): DutyStep {
  const ownBefore = new Set(getOwnDuties(before));
  const ownAfter = getOwnDuties(after);
  const ownAfterSet = new Set(ownAfter);
  return {
    state: after,
    change: {
      gained: ownAfter.filter((duty) => !ownBefore.has(duty)),
      lost: [...ownBefore].filter((duty) => !ownAfterSet.has(duty)),
    },
  };
}

/** The duties of a domain, reassigned as its membership changes. */
export interface Duties {
  setDuties(duties: readonly string[]): void;
  getOwner(duty: string): InstanceId | null;
  isOwn(duty: string): boolean;
  getOwn(): readonly string[];
  registerListener(listener: (change: DutyChange) => void): Unregister;
  stop(): void;
}

/** Creates the duties of the instance's own domain and keeps them up to date with membership. */
export function createDuties(
  self: { id: InstanceId; domain: string },
  membership: Membership,
): Duties {
  const listeners = new Set<(change: DutyChange) => void>();
  let state = createDutyState(self.id);

  function applyStep(step: DutyStep): void {
    state = step.state;
    if (step.change.gained.length + step.change.lost.length > 0) {
      listeners.forEach((listener) => listener(step.change));
    }
  }

  function refreshLive(): void {
    applyStep(applyLive(state, getDomainView(membership.getState().members, self.domain).live));
  }

  const stop = membership.registerListener((event) => {
    if (event.kind === 'member' && event.change.domain === self.domain) {
      refreshLive();
    }
  });
  refreshLive();

  return {
    setDuties: (duties) => applyStep(applyDuties(state, duties)),
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
