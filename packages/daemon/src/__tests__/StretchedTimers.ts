/**
 * Makes rare delays certain, for tests that run daemons and stand-ins in one process; load it with `node --import`.
 * `STEP_EXTRA_MS` is added to the short pauses of the stand-in engines, so that answers outlast a change of version.
 * `INTERVAL_MS=500:9000` makes each interval of 500 ms one of 9 s, so that what is renewed by it is late.
 */
import { syncBuiltinESMExports } from 'node:module';
import timersPromises from 'node:timers/promises';

/** Pauses of an engine for a token are shorter than this. */
const MAX_STEP_MS = 20;

function slowSteps(extra: number): void {
  const { setTimeout: sleep } = timersPromises;
  Object.assign(timersPromises, {
    setTimeout: <T>(ms = 0, value?: T) =>
      sleep(ms > 0 && ms < MAX_STEP_MS ? ms + extra : ms, value),
  });
  syncBuiltinESMExports();
}

function stretchIntervals(from: number, to: number): void {
  const original = globalThis.setInterval;
  const stretched = (listener: () => void, period?: number): NodeJS.Timeout =>
    original(listener, period === from ? to : period);
  Object.assign(globalThis, { setInterval: stretched });
}

const { STEP_EXTRA_MS = '0', INTERVAL_MS = '' } = process.env;
const [from = 0, to = 0] = INTERVAL_MS.split(':').map(Number);
if (Number(STEP_EXTRA_MS) > 0) {
  slowSteps(Number(STEP_EXTRA_MS));
}
if (to > 0) {
  stretchIntervals(from, to);
}
