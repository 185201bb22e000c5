/** Instances that take part in the drain of one engine, connected by links that delay and lose messages. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis, Result, Unregister } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { CallFailure } from '@skylarksail/membership/MembershipCalls';
import type { PlacementMove } from '@skylarksail/placement/PlacementTypes';
import { MoveReason, OrderReadiness } from '@skylarksail/placement/PlacementTypes';
import type { DaemonDrains, DaemonDrainsOptions } from '../../DaemonDrains.js';
import { createDaemonDrains } from '../../DaemonDrains.js';

export const ENGINE = 'engine-1';
const TICK: Millis = 1000;
const REPORT_PERIOD: Millis = 2000;

type Handler = (payload: unknown) => unknown;

/** How messages between instances and reports of the engine fail. */
export interface DrainLinks {
  /** Share of the messages that are lost. */
  readonly lost: number;
  /** Maximum delay of a message. */
  readonly delay: Millis;
  /** Maximum time for which the process of the instance that requests the drain is paused between two ticks. */
  readonly pause: Millis;
}

/** A report of the engine, as an instance knows it. */
interface SeenReport {
  readonly seenAt: Millis;
  readonly status: unknown;
}

export interface DrainInstance {
  readonly id: string;
  readonly domain: string;
  readonly drains: DaemonDrains;
  /** Number of its calls through the engine. */
  countCalls(): number;
  /** Begins a call through the engine. */
  startCall(duration: Millis): void;
  /** Whether it knows a chain without the engine. */
  isDispensable: boolean;
  /** Replaces its replies. */
  reply: (() => Result<unknown, CallFailure>) | null;
  receiveReport(report: SeenReport): void;
}

/** What differs from a move to another version that is not forced. */
export type DrainedMove = Partial<Pick<PlacementMove, 'reason' | 'isForced'>>;

export interface DrainBed {
  readonly timers: VirtualTimers;
  readonly random: Random;
  readonly instances: readonly DrainInstance[];
  /** Instances that were asked, once for each call. */
  readonly asked: string[];
  /** Notices that instances got, by topic. */
  readonly notices: string[];
  /** Drains reported as late, with the instances that they wait for. */
  readonly lateDrains: string[];
  /** State of the engine, which its reports state from then on. */
  readonly engine: { running: number; orderNumber: number; holding: object | null };
  /** Stops the reports of the engine. */
  stopReports: Unregister;
  /** Asks each second whether the move is ready, and returns for how long it was not, at most `limit`. */
  measureDrain(limit: Millis, move?: DrainedMove, mayClose?: boolean): Promise<Millis>;
}

/** Creates a bed in which the first instance requests the drain. */
export function createDrainBed(
  domains: readonly string[],
  seed = 1,
  links: DrainLinks = { lost: 0, delay: 0, pause: 0 },
): DrainBed {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const engine: DrainBed['engine'] = { running: 0, orderNumber: 1, holding: {} };
  const handlers = new Map<string, Handler>();
  const asked: string[] = [];
  const notices: string[] = [];
  const lateDrains: string[] = [];
  const instances: DrainInstance[] = [];

  function wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(delay, resolve);
    });
  }

  function createReport(): SeenReport {
    return { seenAt: timers.now(), status: { facts: { id: ENGINE }, load: { ...engine } } };
  }

  async function call(
    to: string,
    topic: { readonly name: string },
    payload: unknown,
    timeout: Millis,
  ): Promise<Result<unknown, CallFailure>> {
    const peer = instances.find(({ id }) => id === to);
    asked.push(to);
    await wait(random.nextFloat() * links.delay);
    if (!peer || random.nextFloat() < links.lost) {
      await wait(timeout);
      return createFailed({ kind: 'timeout' });
    }
    const value = handlers.get(`call ${to} ${topic.name}`)?.(payload);
    const reply = peer.reply?.() ?? createOk(value);
    await wait(random.nextFloat() * links.delay);
    return random.nextFloat() < links.lost ? createFailed({ kind: 'timeout' }) : reply;
  }

  function createInstance(domain: string, i: number): DrainInstance {
    const id = `instance-${i}`;
    let calls = 0;
    let report = createReport();
    const register = (kind: string, { name }: { readonly name: string }, handler: Handler) => {
      handlers.set(`${kind} ${id} ${name}`, handler);
      return () => undefined;
    };
    const fleet = {
      calls: {
        call,
        notify: (to: string, { name }: { readonly name: string }) => notices.push(`${to} ${name}`),
        registerHandler: register.bind(null, 'call'),
        registerNotice: register.bind(null, 'notice'),
      },
      listPresent: (other: string) =>
        instances.filter((peer) => peer.domain === other).map((peer) => peer.id),
      listReachableDomains: () => [...new Set(domains)],
    };
    const drains = createDaemonDrains({
      self: id,
      domain,
      timers,
      fleet,
      directory: { findReport: () => report },
      countCalls: () => calls,
      isDispensable: () => instances[i]?.isDispensable ?? true,
      onLate: (engineId: string, waitingFor: readonly string[]) =>
        lateDrains.push(`${engineId} ${waitingFor.join()}`),
    } as unknown as DaemonDrainsOptions);
    return {
      id,
      domain,
      drains,
      isDispensable: true,
      reply: null,
      countCalls: () => calls,
      startCall(duration) {
        calls += 1;
        timers.registerTimeout(duration, () => {
          calls -= 1;
        });
      },
      receiveReport(received) {
        report = received;
      },
    };
  }

  instances.push(...domains.map(createInstance));
  const bed: DrainBed = {
    timers,
    random,
    instances,
    asked,
    notices,
    lateDrains,
    engine,
    stopReports: timers.registerInterval(REPORT_PERIOD, () => {
      const report = createReport();
      instances.forEach((instance) => {
        timers.registerTimeout(random.nextFloat() * links.delay, () => {
          instance.receiveReport(report);
        });
      });
    }),
    async measureDrain(limit, change = {}, mayClose = true) {
      const since = timers.now();
      const move = { engine: ENGINE, reason: MoveReason.Version, ...change };
      while (timers.now() - since < limit) {
        if (instances[0]?.drains.prepareOrder(move, mayClose) === OrderReadiness.Ready) {
          break;
        }
        await timers.advanceToAsync(timers.now() + TICK + random.nextFloat() * links.pause);
      }
      return timers.now() - since;
    },
  };
  return bed;
}
