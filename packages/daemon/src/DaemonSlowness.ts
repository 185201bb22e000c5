/** Follows the pace of this instance's running answers, and keeps routing's speeds of slow engines up to date with it. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  EngineCall,
  EngineCallListener,
  OpenEngineCall,
} from '@skylarksail/requests/RequestPorts';
import type {
  AnswerPace,
  ObservedEngine,
  PeerSlowness,
  SlownessMap,
} from '@skylarksail/routing/RoutingSlowness';
import {
  listObserved,
  NO_SLOWNESS,
  smoothEventGap,
  updateSlowness,
} from '@skylarksail/routing/RoutingSlowness';
import type { SpeedMap } from '@skylarksail/routing/RoutingSpeeds';
import { applySpeeds, limitSpeeds, USUAL_SPEEDS } from '@skylarksail/routing/RoutingSpeeds';
import type { RoutingState } from '@skylarksail/routing/RoutingTypes';
import type { DecisionLog } from './DaemonDecisions.js';

/** Period at which the speeds of slow engines are updated. New work must leave them within a second, including two exchanges of reports. */
export const SLOWNESS_PERIOD: Millis = 200;
/** Factor from which an engine is logged as slow. */
const LOGGED_FACTOR = 2;

/** Follows running answers, and updates what routing knows of slow engines. */
export interface SlownessMonitor {
  /** Opens a call and follows the pace of its answer. */
  open(open: OpenEngineCall, call: EngineCall, listener: EngineCallListener): Unregister;
  /** Updates the speeds of slow engines in routing's state. */
  refresh(state: RoutingState): RoutingState;
  /** Engines with the slowness that own answers show, for a report to other instances. */
  listObserved(): readonly ObservedEngine[];
}

/** What a monitor depends on. */
export interface SlownessMonitorOptions {
  readonly timers: TimerService;
  readonly decisions: DecisionLog;
  /** What other instances report; null without a recent report. */
  readonly readPeers: () => PeerSlowness | null;
}

/** A pace that is updated in place at each event, which creates no objects. */
type RunningPace = { -readonly [K in keyof AnswerPace]: AnswerPace[K] };

/** Creates a monitor that follows no answers yet. */
export function createSlownessMonitor(options: SlownessMonitorOptions): SlownessMonitor {
  const { timers, decisions } = options;
  const running = new Set<RunningPace>();
  let slowness = NO_SLOWNESS;
  /** What other instances reported at the last update; an aggregator's own report is part of what it reads. */
  let lastPeers: PeerSlowness | null = null;
  /** The speeds that were last applied to routing's state. */
  let applied = USUAL_SPEEDS;
  let logged: ReadonlySet<EngineId> = new Set();

  /** Logs engines that begin or cease to count as slow. */
  function logChanges(effective: SlownessMap, speeds: SpeedMap, peers: PeerSlowness | null): void {
    const slow = new Set(
      [...effective].filter(([, { factor }]) => factor >= LOGGED_FACTOR).map(([id]) => id),
    );
    for (const engine of new Set([...slow, ...logged])) {
      if (slow.has(engine) !== logged.has(engine)) {
        const own = slowness.observed.get(engine);
        decisions.record({
          request: '',
          decision: slow.has(engine) ? 'engine-slow' : 'engine-recovered',
          engine,
          factor: effective.get(engine)?.factor ?? 1,
          own: own?.factor ?? null,
          ownAge: own ? timers.now() - own.at : null,
          peers: peers?.get(engine) ?? null,
          speed: speeds.get(engine) ?? 1,
          answers: running.size,
        });
      }
    }
    logged = slow;
  }

  return {
    open(open, call, listener) {
      const pace: RunningPace = { chain: call.chain, gap: 0, eventAt: 0 };
      let isOver = false;
      const end = (): void => {
        isOver = true;
        running.delete(pace);
      };
      const cancel = open(call, {
        ...listener,
        onToken(index, token) {
          const now = timers.now();
          if (pace.eventAt > 0) {
            pace.gap = smoothEventGap(pace.gap, now - pace.eventAt);
          } else if (!isOver) {
            running.add(pace);
          }
          pace.eventAt = now;
          listener.onToken(index, token);
        },
        onEnd(reason, tokenCount) {
          end();
          listener.onEnd(reason, tokenCount);
        },
        onFailure(failure) {
          end();
          listener.onFailure(failure);
        },
      });
      return () => {
        end();
        cancel();
      };
    },
    refresh(state) {
      const isTracked = [...state.models.values()].some(({ isMemoryShared }) => isMemoryShared);
      const peers = isTracked ? options.readPeers() : null;
      lastPeers = peers;
      const isIdle = running.size === 0 && (peers?.size ?? 0) === 0;
      if (
        isIdle &&
        slowness.observed.size === 0 &&
        slowness.effective.size === 0 &&
        applied.size === 0
      ) {
        return state;
      }
      slowness = updateSlowness(slowness, state, [...running], peers, timers.now());
      const speeds = limitSpeeds(state, slowness.effective);
      logChanges(slowness.effective, speeds, peers);
      const next = applySpeeds(state, applied, speeds);
      applied = speeds;
      return next;
    },
    listObserved: () => listObserved(slowness, lastPeers),
  };
}
