/**
 * Grants trials: runs of requests that were at several crashes. Each such request has one granter, which all instances
 * compute alike, and which lets one copy begin at a time. Unlike the reports of crashes, a grant is known before the run
 * begins, so copies at several instances cannot all begin before the first has crashed its engine.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Fingerprint } from '@skylarksail/requests/RequestPoison';
import { isRefused, PoisonVerdict } from '@skylarksail/requests/RequestPoisonVerdict';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { InstanceEntry } from './RelayTypes.js';

/** Requests a trial from a peer; null if it does not answer. */
export type AskForTrial = (
  granter: InstanceEntry,
  fingerprint: Fingerprint,
  timeout: Millis,
) => Promise<boolean | null>;

export interface RelayTrialsOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  readonly listInstances: () => readonly InstanceEntry[];
  readonly tallyCrashes: RequestRouter['tallyCrashes'];
  readonly askForTrial: AskForTrial;
}

export interface RelayTrials {
  /** Requests a trial of a request; `done` receives whether it is granted. */
  request(fingerprint: Fingerprint, done: (isGranted: boolean) => void): void;
  /** Grants a trial, as the granter, if no other may be under way. */
  grant(fingerprint: Fingerprint): boolean;
  /** Number of requests of which a trial is kept. */
  countTrials(): number;
}

/** Granters that are tried: if the first is gone, a harmless request must not wait for its entry to lapse. */
const GRANTER_COUNT = 2;
const ASK_TIMEOUT: Millis = 150;
/** Time after which a run that has crashed nothing makes room for the next one. */
const TRIAL_TIME: Millis = 1000;
const HASH_PREFIX = 'trial';

/** The last trial of a request. */
interface Trial {
  readonly at: Millis;
  /** Crashes of the request that were known. */
  readonly known: number;
}

export function createRelayTrials(options: RelayTrialsOptions): RelayTrials {
  const { timers, self } = options;
  const trials = new Map<Fingerprint, Trial>();

  function listGranters(fingerprint: Fingerprint): readonly InstanceEntry[] {
    const reachable = options
      .listInstances()
      .filter(({ id, address }) => address !== null || id === self.id);
    const ids = reachable.map(({ id }) => id);
    const granters = selectOwners(`${HASH_PREFIX}\u0000${fingerprint}`, ids, GRANTER_COUNT);
    return granters.flatMap((granter) => reachable.find(({ id }) => id === granter) ?? []);
  }

  function dropOld(): void {
    const now = timers.now();
    [...trials]
      .filter(([, { at }]) => now - at >= TRIAL_TIME)
      .forEach(([fingerprint]) => trials.delete(fingerprint));
  }

  function grant(fingerprint: Fingerprint): boolean {
    const { verdict, known } = options.tallyCrashes(fingerprint);
    dropOld();
    const last = trials.get(fingerprint);
    const isUnderWay = last !== undefined && known <= last.known;
    if (isUnderWay || isRefused(verdict) || verdict === PoisonVerdict.Doubted) {
      return false;
    }
    trials.set(fingerprint, { at: timers.now(), known });
    return true;
  }

  async function ask(fingerprint: Fingerprint): Promise<boolean> {
    for (const granter of listGranters(fingerprint)) {
      const answer =
        granter.id === self.id
          ? grant(fingerprint)
          : await options.askForTrial(granter, fingerprint, ASK_TIMEOUT);
      if (answer !== null) {
        return answer;
      }
    }
    return false;
  }

  return {
    request: (fingerprint, done) => {
      void ask(fingerprint).then(done);
    },
    grant,
    countTrials: () => trials.size,
  };
}
