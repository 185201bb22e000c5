/** Instances of which some lose their links to all backend servers for a while, in virtual time. */
import type { DomainId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  FailurePlaceName,
  OpenEngineCall,
  OpenServiceCall,
  ServiceCallListener,
} from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { CONNECT_TIMEOUT } from '../../RelayPorts.js';
import type { PartsBed } from './RelayPartsBed.js';
import { createPartsBed } from './RelayPartsBed.js';

/** How links are cut: new connections hang and open ones fall silent, or both are reset. */
export type CutMode = 'hang' | 'reset';

/** A call that an instance has open at a server. */
interface OpenCall {
  readonly instance: string;
  readonly fail: (place: FailurePlaceName) => void;
}

/** A run that a server received. */
export interface ServedRun {
  readonly by: string;
  readonly server: string;
  readonly request: string;
  readonly at: Millis;
}

const DOMAINS: readonly DomainId[] = ['d1', 'd2', 'd3'];
const COPIES = 2;
const RANGES = [0, 2, 4, 6].map((first) => ({ first, end: first + 2 }));
const SERVERS = 3;
const WORK_TIME: Millis = 25;
const TOKEN_GAP: Millis = 40;
const TOKENS = 10;

export function createCutBed(size: number) {
  const open = new Set<OpenCall>();
  const served: ServedRun[] = [];
  const down = new Set<string>();
  let cut: ReadonlySet<string> = new Set();
  let mode: CutMode = 'hang';
  let started: PartsBed | null = null;

  function createFailure(place: FailurePlaceName, server: string): AttemptFailure {
    const provenNotRun = place === FailurePlace.Connect;
    return { place, engine: server, status: null, retryAfter: null, provenNotRun };
  }

  /** Runs a call at a server; `run` delivers its events, and stops for good while the link is cut. */
  function connect(
    instance: string,
    server: string,
    request: string,
    { onConnection, onFailure }: Pick<ServiceCallListener, 'onConnection' | 'onFailure'>,
    run: (after: (delay: Millis, step: () => void) => void, end: () => void) => void,
  ): Unregister {
    const { timers } = started as PartsBed;
    const isCut = cut.has(instance);
    onConnection?.(false);
    if (isCut || down.has(server)) {
      return timers.registerTimeout(mode === 'reset' && isCut ? 1 : CONNECT_TIMEOUT, () =>
        onFailure(createFailure(FailurePlace.Connect, server)),
      );
    }
    let isOver = false;
    const call: OpenCall = {
      instance,
      fail: (place) => {
        stop();
        onFailure(createFailure(place, server));
      },
    };
    function stop(): void {
      isOver = true;
      open.delete(call);
    }
    open.add(call);
    onConnection?.(true);
    served.push({ by: instance, server, request, at: timers.now() });
    run((delay, step) => {
      timers.registerTimeout(delay, () => {
        if (!isOver && !cut.has(instance)) {
          step();
        }
      });
    }, stop);
    return stop;
  }

  const openServiceCallOf =
    (instance: string): OpenServiceCall =>
    (call, listener) =>
      connect(instance, call.server, call.request, listener, (after, end) =>
        after(WORK_TIME, () => {
          end();
          listener.onAnswer({ status: 200, headers: {}, body: Buffer.from('w') });
        }),
      );

  const openCallOf =
    (instance: string): OpenEngineCall =>
    (call, listener) => {
      const { onAcknowledged, onToken, onEnd } = listener;
      const { stages, variant } = call.chain;
      const [first] = stages;
      return connect(instance, first?.engine ?? '', call.request, listener, (after, end) => {
        const sendFrom = (index: number): void => {
          if (index === TOKENS) {
            end();
            onEnd('stop', TOKENS);
          } else {
            onToken(index, 'w');
            after(TOKEN_GAP, () => sendFrom(index + 1));
          }
        };
        after(1, () => {
          onAcknowledged({ variant, stages });
          after(TOKEN_GAP, () => sendFrom(call.resumeTokens.length));
        });
      });
    };

  const bed = createPartsBed(openCallOf, DOMAINS, openServiceCallOf, (instance) =>
    cut.has(instance),
  );
  started = bed;
  DOMAINS.forEach((domain) => {
    RANGES.forEach((range, stage) =>
      Array.from({ length: COPIES }, (_, i) =>
        bed.addEngine(`${domain}-c${i}-${stage}`, range, domain),
      ),
    );
  });
  Array.from({ length: SERVERS }, (_, i) => bed.addServer(`p${i}`, DOMAINS[i % DOMAINS.length]));
  const ids = Array.from({ length: size }, (_, i) => `i${i}`);
  ids.forEach((id, i) => bed.start(id, bed.store, DOMAINS[i % DOMAINS.length]));

  return {
    bed,
    ids,
    served,
    /** Servers that no instance reaches. */
    down,
    /** Cuts instances off from all servers. */
    cutOff(instances: readonly string[], how: CutMode): void {
      cut = new Set(instances);
      mode = how;
      if (how === 'reset') {
        [...open].filter((call) => cut.has(call.instance)).forEach(({ fail }) => fail('stream'));
      }
    },
    heal(): void {
      cut = new Set();
    },
  };
}
