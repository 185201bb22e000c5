/** Metrics for Prometheus: what the router counts, and gauges read when they are asked for. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { RouterMetric, RouterMetricName } from '@skylarksail/requests/RouterTypes';

/** Each sample wakes the process, also an idle one; delays that callers notice are longer than this anyway. */
const LOOP_PRECISION_MS = 1000;

const TIME_BUCKETS_MS = [1, 2, 5, 10, 20, 40, 78, 150, 300, 600, 1000, 2000, 4000, 8000, 16000];

/** Metric of the router to its name in Prometheus. */
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
  gaveUpAttemptsSpent: 'requests_given_up_attempts_spent',
  gaveUpMustNotRepeat: 'requests_given_up_must_not_repeat',
  gaveUpFruitless: 'requests_given_up_fruitless',
  gaveUpDeadlineNear: 'requests_given_up_deadline_near',
  gaveUpStandstill: 'requests_given_up_standstill',
};
const ROUTER_TIMES: Readonly<Partial<Record<RouterMetricName, string>>> = {
  firstTokenMs: 'first_token',
  gapMs: 'token_gap',
  detectionMs: 'failure_detection',
  replacementMs: 'failure_replacement',
  recoveryFirstTokenMs: 'recovery_first_token',
  pauseMs: 'recovery_pause',
};

export interface DaemonMetrics {
  recordRouterMetric(metric: RouterMetric): void;
  /** A counter that grows by `count`. */
  count(name: string, help: string, count?: number): void;
  /** A gauge whose value is read when Prometheus asks. */
  registerGauge(name: string, help: string, read: () => number): void;
  /** The exposition text. */
  write(): Promise<string>;
  readonly contentType: string;
}

export function createDaemonMetrics(): DaemonMetrics {
  const registries = { gauges: new Registry(), counters: new Registry(), times: new Registry() };
  const runtime = new Registry();
  collectDefaultMetrics({ register: runtime, eventLoopMonitoringPrecision: LOOP_PRECISION_MS });
  const counters = new Map<string, Counter>();
  const times = new Map<string, Histogram>();

  function getCounter(name: string, help: string): Counter {
    const found = counters.get(name);
    if (found) {
      return found;
    }
    const created = new Counter({
      name: `skylarksail_${name}_total`,
      help,
      registers: [registries.counters],
    });
    counters.set(name, created);
    return created;
  }

  function getTimes(name: string): Histogram {
    const found = times.get(name);
    if (found) {
      return found;
    }
    const created = new Histogram({
      name: `skylarksail_${name}_ms`,
      help: `${name.replaceAll('_', ' ')} in milliseconds`,
      buckets: TIME_BUCKETS_MS,
      registers: [registries.times],
    });
    times.set(name, created);
    return created;
  }

  Object.values(ROUTER_COUNTERS).forEach((name) => getCounter(name, name.replaceAll('_', ' ')));
  Object.values(ROUTER_TIMES).forEach(getTimes);

  return {
    recordRouterMetric({ name, value }) {
      const counter = ROUTER_COUNTERS[name];
      const time = ROUTER_TIMES[name];
      if (counter) {
        getCounter(counter, counter).inc(value);
      } else if (time) {
        getTimes(time).observe(value);
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
      // A collector that keeps the beginning only is to see what the instance knows, not the runtime's figures.
      const { gauges, counters: counts, times: histograms } = registries;
      const texts = await Promise.all(
        [gauges, counts, histograms, runtime].map((registry) => registry.metrics()),
      );
      return texts.join('\n');
    },
    contentType: runtime.contentType,
  };
}
