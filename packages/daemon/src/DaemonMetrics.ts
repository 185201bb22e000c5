/** Prometheus metrics: counters and histograms of the router, and gauges that are read at each scrape. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { RouterMetric, RouterMetricName } from '@skylarksail/requests/RouterTypes';

/** Every sample uses CPU time, even in an idle process; delays that callers notice exceed this period. */
const EVENT_LOOP_SAMPLE_PERIOD_MS = 1000;

const TIME_BUCKETS_MS = [1, 2, 5, 10, 20, 40, 78, 150, 300, 600, 1000, 2000, 4000, 8000, 16000];

/** Maps router metrics to Prometheus names. */
const ROUTER_COUNTERS: Readonly<Partial<Record<RouterMetricName, string>>> = {
  lateFrames: 'late_frames',
  repeatedFrames: 'repeated_frames',
  admitted: 'requests_admitted',
  refused: 'requests_refused',
  completed: 'requests_completed',
  failed: 'requests_failed',
  retries: 'retries',
  retriesDenied: 'retries_denied',
  recoveries: 'recoveries',
  poisonRefused: 'poison_requests_refused',
  crashes: 'requests_broken_by_crashes',
  plannedEnds: 'requests_broken_by_planned_ends',
  gaveUpAttemptsSpent: 'requests_given_up_attempts_spent',
  gaveUpMustNotRepeat: 'requests_given_up_must_not_repeat',
  gaveUpFruitless: 'requests_given_up_fruitless',
  gaveUpDeadlineNear: 'requests_given_up_deadline_near',
  gaveUpStandstill: 'requests_given_up_standstill',
  roomRefusedUrgent: 'requests_refused_room_urgent',
  roomRefusedHigh: 'requests_refused_room_high',
  roomRefusedNormal: 'requests_refused_room_normal',
  roomRefusedLow: 'requests_refused_room_low',
  roomRefusedTeam: 'requests_refused_room_team',
};
const ROUTER_HISTOGRAMS: Readonly<Partial<Record<RouterMetricName, string>>> = {
  firstTokenMs: 'first_token',
  gapMs: 'token_gap',
  detectionMs: 'failure_detection',
  replacementMs: 'failure_replacement',
  recoveryFirstTokenMs: 'recovery_first_token',
  pauseMs: 'recovery_pause',
};

export interface DaemonMetrics {
  recordRouterMetric(metric: RouterMetric): void;
  /** Increments a counter, which is created at its first use. */
  count(name: string, help: string, count?: number): void;
  /** Registers a gauge whose value is read at each scrape. */
  registerGauge(name: string, help: string, read: () => number): void;
  /** Returns the metrics in the text exposition format. */
  write(): Promise<string>;
  readonly contentType: string;
}

export function createDaemonMetrics(): DaemonMetrics {
  const registries = { gauges: new Registry(), counters: new Registry(), times: new Registry() };
  const runtime = new Registry();
  collectDefaultMetrics({
    register: runtime,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_PERIOD_MS,
  });
  const countersByName = new Map<string, Counter>();
  const histogramsByName = new Map<string, Histogram>();

  function getCounter(name: string, help: string): Counter {
    const found = countersByName.get(name);
    if (found) {
      return found;
    }
    const created = new Counter({
      name: `skylarksail_${name}_total`,
      help,
      registers: [registries.counters],
    });
    countersByName.set(name, created);
    return created;
  }

  function getHistogram(name: string): Histogram {
    const found = histogramsByName.get(name);
    if (found) {
      return found;
    }
    const created = new Histogram({
      name: `skylarksail_${name}_ms`,
      help: `${name.replaceAll('_', ' ')} in milliseconds`,
      buckets: TIME_BUCKETS_MS,
      registers: [registries.times],
    });
    histogramsByName.set(name, created);
    return created;
  }

  Object.values(ROUTER_COUNTERS).forEach((name) => getCounter(name, name.replaceAll('_', ' ')));
  Object.values(ROUTER_HISTOGRAMS).forEach(getHistogram);

  return {
    recordRouterMetric({ name, value }) {
      const counter = ROUTER_COUNTERS[name];
      const histogram = ROUTER_HISTOGRAMS[name];
      if (counter) {
        getCounter(counter, counter).inc(value);
      } else if (histogram) {
        getHistogram(histogram).observe(value);
      }
    },
    count: (name, help, count = 1) => getCounter(name, help).inc(count),
    registerGauge(name, help, read) {
      const gauge = new Gauge({
        name: `skylarksail_${name}`,
        help,
        registers: [registries.gauges],
        collect() {
          this.set(read());
        },
      });
      gauge.set(read());
    },
    async write() {
      // Gauges come first, since a collector may keep only the beginning of a scrape; runtime metrics come last.
      const { gauges, counters: counts, times: histograms } = registries;
      const texts = await Promise.all(
        [gauges, counts, histograms, runtime].map((registry) => registry.metrics()),
      );
      return texts.join('\n');
    },
    contentType: runtime.contentType,
  };
}
