/** Instances before the three servers of a plain service that end under some calls and come back, in virtual time. */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { FailurePlaceName, OpenServiceCall } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { RelayRefusal } from '../../RelayTypes.js';
import type { PartsBed } from './RelayPartsBed.js';
import { BACKENDS, createPartsBed } from './RelayPartsBed.js';

/** A run of a call that crashes servers. */
export interface CrashingRun {
  readonly path: string;
  readonly server: string;
  readonly at: Millis;
}

/** A call that a server runs. */
interface OpenRun {
  readonly server: string;
  readonly fail: () => void;
}

const SERVERS = 3;
/** Time from the begin of a run to the end of its server. */
export const CRASH_DELAY: Millis = 60;
const WORK_TIME: Millis = 25;
const RESTART_TIME: Millis = 1000;
/** Part of the path of a call that crashes its server. */
const CRASHING = 'crash';
/** Part of the path of a call whose connection is reset though its server goes on, and the share of its runs. */
const RESET = 'reset';
const RESET_SHARE = 0.5;
const TIME_LEFT: Millis = 600;

/** `drawReset` returns numbers from 0 to 1, by which the connections to reset are drawn. */
export function createPlainCrashBed(domains: readonly DomainId[], drawReset: () => number) {
  const runs: CrashingRun[] = [];
  const open = new Set<OpenRun>();
  let starts = 0;
  let started: PartsBed | null = null;

  function addServer(domain: DomainId): void {
    starts += 1;
    started?.addServer(`p${starts}`, domain);
  }

  /** Ends a server, which breaks all calls there and comes back under another id. */
  function endServer(server: string, domain: DomainId): void {
    const { crashed, timers, store } = started as PartsBed;
    if (crashed.has(server)) {
      return;
    }
    crashed.add(server);
    [...open].filter((run) => run.server === server).forEach(({ fail }) => fail());
    timers.registerTimeout(RESTART_TIME, () => {
      store.remove(`${BACKENDS}${server}`);
      addServer(domain);
    });
  }

  const openCall: OpenServiceCall = ({ server, path }, listener) => {
    const { timers, crashed } = started as PartsBed;
    const fail = (place: FailurePlaceName): void =>
      listener.onFailure({
        place,
        engine: server,
        status: null,
        retryAfter: null,
        provenNotRun: place === FailurePlace.Connect,
      });
    if (crashed.has(server)) {
      queueMicrotask(() => fail(FailurePlace.Connect));
      return () => undefined;
    }
    const isCrashing = path.includes(CRASHING);
    const isReset = path.includes(RESET) && drawReset() < RESET_SHARE;
    const run: OpenRun = {
      server,
      fail: () => {
        stop();
        fail(FailurePlace.Stream);
      },
    };
    const cancel = timers.registerTimeout(isCrashing ? CRASH_DELAY : WORK_TIME, () => {
      if (isCrashing) {
        endServer(server, domains[0] ?? '');
      } else if (isReset) {
        run.fail();
      } else {
        stop();
        listener.onAnswer({ status: 200, headers: {}, body: Buffer.from('w') });
      }
    });
    function stop(): void {
      cancel();
      open.delete(run);
    }
    open.add(run);
    if (isCrashing) {
      runs.push({ path, server, at: timers.now() });
    }
    return stop;
  };

  const bed = createPartsBed(null, domains, () => openCall);
  started = bed;
  Array.from({ length: SERVERS }, (_, i) => addServer(domains[i % domains.length] ?? ''));
  return {
    bed,
    runs,
    /** Sends a call with a path to an instance; returns its refusals. */
    call: (instance: string, path: string): readonly RelayRefusal[] =>
      bed.call(instance, path, TIME_LEFT),
  };
}
