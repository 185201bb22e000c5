/**
 * Grants trials: runs of a request, or of requests with a part of their prompts, that was at several crashes. Each such
 * suspect has one granter, which all instances compute alike, and which lets one run begin at a time. Unlike the reports of crashes, a grant is known before the run
 * begins, so copies at several instances cannot all begin before the first has crashed its engine.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { isRefused, PoisonVerdict } from '@skylarksail/requests/RequestPoisonVerdict';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { InstanceEntry } from './RelayTypes.js';

/** Requests a trial from a peer; null if it does not answer. */
export type AskForTrial = (
  granter: InstanceEntry,
  suspect: string,
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
  /** Requests a trial of a suspect; `done` receives whether it is granted. */
  request(suspect: string, done: (isGranted: boolean) => void): void;
  /** Grants a trial, as the granter, if no other may be under way. */
  grant(suspect: string): boolean;
  /** Number of suspects of which a trial is kept. */
  countTrials(): number;
}

/** Granters that are tried: if the first is gone, a harmless request must not wait for its entry to lapse. */
const GRANTER_COUNT = 2;
const ASK_TIMEOUT: Millis = 150;
/** Time after which a run that has crashed nothing makes room for the next one. */
const TRIAL_TIME: Millis = 1000;
const HASH_PREFIX = 'trial';

/** The last trial of a suspect. */
interface Trial {
  readonly at: Millis;
  /** Crashes of the suspect that were known. */
  readonly known: number;
}

export function createRelayTrials(options: RelayTrialsOptions): RelayTrials {
  const { timers, self } = options;
  const trials = new Map<string, Trial>();

  function listGranters(suspect: string): readonly InstanceEntry[] {
    const reachable = options
      .listInstances()
      .filter(({ id, address }) => address !== null || id === self.id);
    const ids = reachable.map(({ id }) => id);
    const granters = selectOwners(`${HASH_PREFIX}\u0000${suspect}`, ids, GRANTER_COUNT);
    return granters.flatMap((granter) => reachable.find(({ id }) => id === granter) ?? []);
  }

  function dropOld(): void {
    const now = timers.now();
    [...trials]
      .filter(([, { at }]) => now - at >= TRIAL_TIME)
      .forEach(([suspect]) => trials.delete(suspect));
  }

  function grant(suspect: string): boolean {
    const { verdict, known } = options.tallyCrashes(suspect);
    dropOld();
    const last = trials.get(suspect);
    const isUnderWay = last !== undefined && known <= last.known;
    if (isUnderWay || isRefused(verdict) || verdict === PoisonVerdict.Doubted) {
      return false;
    }
    trials.set(suspect, { at: timers.now(), known });
    return true;
  }

  async function ask(suspect: string): Promise<boolean> {
    for (const granter of listGranters(suspect)) {
      const answer =
        granter.id === self.id
          ? grant(suspect)
          : await options.askForTrial(granter, suspect, ASK_TIMEOUT);
      if (answer !== null) {
        return answer;
      }
    }
    return false;
  }

  return {
    request: (suspect, done) => {
      void ask(suspect).then(done);
    },
    grant,
    countTrials: () => trials.size,
  };
}
