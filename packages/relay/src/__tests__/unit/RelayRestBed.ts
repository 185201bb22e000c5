/** Instances before servers and engines that turn requests away and ask for rest, in virtual time. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { AttemptFailure } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { createUnreachedFailure } from '@skylarksail/requests/RequestFailures';
import type { BackendView } from '../../RelayPorts.js';
import { CONNECT_TIMEOUT } from '../../RelayPorts.js';
import type { PartsBed } from './RelayPartsBed.js';
import { createPartsBed } from './RelayPartsBed.js';

/** Time for which a server asks. */
export const REST: Millis = 3000;
/** Time after its answer from which nothing may reach it. */
export const ASKED_TIME: Millis = 500;
const TURN_AWAY_TIME: Millis = 4;
const WORK_TIME: Millis = 25;
const SETTLE_TIME: Millis = 5000;

/** A request that reached a server. */
export interface Reached {
  readonly by: string;
  readonly server: EngineId;
  readonly at: Millis;
}

/** `turnsAway` holds the servers that turn requests away; `cut` the instances that reach no server. */
export async function createRestBed(
  instances: readonly string[],
  settleTime: Millis = SETTLE_TIME,
) {
  const turnsAway = new Set<EngineId>();
  const cut = new Set<string>();
  const reached: Reached[] = [];
  /** Times at which a server asked an instance for rest. */
  const asked: Reached[] = [];
  let started: PartsBed | null = null;

  function answer(
    by: string,
    view: BackendView,
    server: EngineId,
    fail: (failure: AttemptFailure) => void,
    serve: () => void,
  ): () => void {
    const { timers } = started as PartsBed;
    if (cut.has(by)) {
      return timers.registerTimeout(CONNECT_TIMEOUT, () => fail(createUnreachedFailure(server)));
    }
    reached.push({ by, server, at: timers.now() });
    if (!turnsAway.has(server)) {
      return timers.registerTimeout(WORK_TIME, serve);
    }
    return timers.registerTimeout(TURN_AWAY_TIME, () => {
      asked.push({ by, server, at: timers.now() });
      view.noteBackoffRequested(server, REST);
      fail({
        place: FailurePlace.Refused,
        engine: server,
        status: 503,
        retryAfter: REST,
        provenNotRun: true,
      });
    });
  }

  const bed = createPartsBed(
    (by, view) => (call, listener) => {
      const { stages, variant } = call.chain;
      return answer(by, view, stages[0]?.engine ?? '', listener.onFailure, () => {
        listener.onAcknowledged({ variant, stages });
        listener.onToken(0, 'w');
        listener.onEnd('stop', 1);
      });
    },
    ['d1'],
    (by, view) => (call, listener) =>
      answer(by, view, call.server, listener.onFailure, () =>
        listener.onAnswer({ status: 200, headers: {}, body: Buffer.from('w') }),
      ),
    (by) => cut.has(by),
  );
  started = bed;
  bed.addServer('p1');
  bed.addServer('p2');
  instances.forEach((id) => bed.start(id));
  await bed.timers.advanceToAsync(settleTime);

  /** Requests that reached a server while it rested from their instance, with those of `others`, which ask for it. */
  function listInRest(others: readonly Reached[] = []): readonly Reached[] {
    return [...reached, ...others].filter(({ by, server, at }) =>
      asked.some(
        (rest) =>
          rest.by === by &&
          rest.server === server &&
          at >= rest.at + ASKED_TIME &&
          at <= rest.at + REST,
      ),
    );
  }

  return { bed, turnsAway, cut, reached, asked, listInRest };
}
