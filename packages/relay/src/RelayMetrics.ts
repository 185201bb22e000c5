/** Metrics of the relay: calls to the store and to peers, the state of the instance, and dropped log lines. */
import type { AnswerMemory } from '@skylarksail/connections/ConnectionAnswerMemory';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import type { LogSink } from '@skylarksail/daemon/DaemonLogSink';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import type { RelayParts } from './RelayPartsTypes.js';
import type { PeerHttp } from './RelayPeerHttp.js';

/** Wraps a store port to count its calls by outcome. */
export function countStoreCalls(port: StoreRangePort, metrics: DaemonMetrics): StoreRangePort {
  async function count<T>(outcome: Promise<StoreOutcome<T>>): Promise<StoreOutcome<T>> {
    const result = await outcome;
    const { kind } = result;
    metrics.count(`store_calls_${kind}`, `calls to the store that ended ${kind}`);
    return result;
  }
  return {
    readRange: (...args) => count(port.readRange(...args)),
    watchRange: (...args) => count(port.watchRange(...args)),
    write: (...args) => count(port.write(...args)),
    grantLease: (...args) => count(port.grantLease(...args)),
    renewLease: (...args) => count(port.renewLease(...args)),
    revokeLease: (...args) => count(port.revokeLease(...args)),
  };
}

/** Requests to peers that are counted. */
type CountedPeerCalls = Pick<
  PeerHttp,
  'askForUpdates' | 'askGrant' | 'sendCrashReports' | 'askForPermits'
>;

/** Wraps requests to peers to count update queries and crash reports by outcome, and the retries granted. */
export function countPeerCalls(peers: CountedPeerCalls, metrics: DaemonMetrics): CountedPeerCalls {
  return {
    async askForPermits(...args) {
      const answer = await peers.askForPermits(...args);
      metrics.count(
        'limit_permits',
        'permits of other instances for limited servers',
        answer?.count,
      );
      return answer;
    },
    async sendCrashReports(...args) {
      const isConfirmed = await peers.sendCrashReports(...args);
      const outcome = isConfirmed ? 'confirmed' : 'unconfirmed';
      metrics.count(
        `crash_reports_${outcome}`,
        `messages with crash reports that ended ${outcome}`,
      );
      return isConfirmed;
    },
    async askForUpdates(...args) {
      const answer = await peers.askForUpdates(...args);
      metrics.count(`news_${answer.kind}`, `questions for news that ended ${answer.kind}`);
      return answer;
    },
    async askGrant(...args) {
      const granted = await peers.askGrant(...args);
      metrics.count('retries_lent', 'repeats that other instances lent to this one', granted);
      return granted;
    },
  };
}

/** Registers gauges of the instance's state. */
export function registerRelayMetrics(
  metrics: DaemonMetrics,
  parts: Pick<RelayParts, 'readState' | 'router' | 'isReady' | 'loop'>,
): void {
  const { readState, router } = parts;
  const gauges: readonly (readonly [string, string, () => number])[] = [
    ['config_version', 'version of the configuration in force', () => readState().version],
    [
      'news_age_ms',
      'time since all that the store held was known',
      () => Math.round(readState().newsAge),
    ],
    ['store_era', 'era of the store, by its last answer', () => readState().store.era ?? 0],
    [
      'store_revision',
      'revision of the store, by its last answer',
      () => readState().store.revision ?? 0,
    ],
    ['instances', 'live instances known', () => readState().instances],
    ['backends', 'backend servers known', () => readState().backends],
    [
      'backends_observed',
      'backend servers seen otherwise than the store tells',
      () => readState().observed,
    ],
    ['duties', 'failure domains that this instance places', () => readState().duties],
    [
      'blind',
      '1 while neither the store nor a peer that hears it answers',
      () => Number(readState().isIsolated),
    ],
    [
      'unread_ms',
      'longest that what is read now may have waited unread',
      () => Math.round(parts.loop.getUnreadTime()),
    ],
    ['ready', '1 while callers should be sent here', () => Number(parts.isReady())],
    ['requests_running', 'requests that run', () => router.getCounts().running],
    ['requests_waiting', 'requests that wait to be admitted', () => router.getCounts().waiting],
    [
      'recoveries_waiting',
      'broken answers that wait to go on',
      () => router.getCounts().recoveriesWaiting,
    ],
  ];
  gauges.forEach(([name, help, read]) => metrics.registerGauge(name, help, read));
}

/** What all callers hold of this process together. */
export interface CallerHoldings {
  countConnections(): number;
  getHeldBytes(): number;
  countRequestsAhead(): number;
}

/** Registers gauges of what callers hold. */
export function registerCallerMetrics(metrics: DaemonMetrics, callers: CallerHoldings): void {
  metrics.registerGauge('callers_connections', 'open connections of callers', () =>
    callers.countConnections(),
  );
  metrics.registerGauge(
    'callers_held_bytes',
    'bytes of requests not yet answered and of answers not yet read',
    () => callers.getHeldBytes(),
  );
  metrics.registerGauge(
    'callers_requests_ahead',
    'requests that wait behind others of their connections',
    () => callers.countRequestsAhead(),
  );
}

/** Registers the gauge of what answers of servers take. */
export function registerAnswerMetrics(
  metrics: DaemonMetrics,
  memory: Pick<AnswerMemory, 'getBytes'>,
): void {
  metrics.registerGauge('answers_held_bytes', 'bytes of answers that are being read', () =>
    memory.getBytes(),
  );
}

/** Registers gauges of the log lines dropped since the start. */
export function registerLogMetrics(
  metrics: DaemonMetrics,
  sink: Pick<LogSink, 'getDropped'>,
): void {
  metrics.registerGauge(
    'log_dropped_ordinary',
    'ordinary log lines dropped',
    () => sink.getDropped().ordinary,
  );
  metrics.registerGauge(
    'log_dropped_unusual',
    'unusual log lines dropped',
    () => sink.getDropped().unusual,
  );
}
