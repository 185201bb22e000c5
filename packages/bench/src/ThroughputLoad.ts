/**
 * The load generator of the throughput bench: open-loop arrivals, preceded by the requests that a fleet
 * in operation would already be running.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { VirtualPrompt } from '@skylarksail/stand-ins/VirtualRun';
import { getWorkloadMeans } from './ThroughputBound.js';
import type { BenchRequest } from './ThroughputEntry.js';
import type { BenchShape, BenchRequestKind } from './ThroughputShapes.js';

/** Time between the tokens of a stream on a fully loaded fleet. */
export const FULL_TOKEN_GAP_MS = 65;
/** Requests start once the instances have the first load reports of the engines. */
const FIRST_ARRIVAL_MS = 800;
/** Time over which the preloaded requests arrive. */
const PRELOAD_MS = 1200;

/** Sends requests in an open loop, each to a random instance as a load balancer would. */
export function sendRequests(
  timers: TimerService,
  shape: BenchShape,
  tokensPerSecond: number,
  boundTokensPerSecond: number,
  entries: readonly ((req: BenchRequest) => void)[],
  random: Random,
): void {
  const { answerTokens } = getWorkloadMeans(shape.work);
  const meanGap = (MILLIS_PER_SECOND * answerTokens) / tokensPerSecond;
  let count = 0;
  function sendNext(): void {
    const entry = entries[random.nextInt(entries.length)];
    count += 1;
    entry?.(createRequest(shape.work, `r${count}`, timers.now(), random));
    timers.registerTimeout(-Math.log(1 - random.nextFloat()) * meanGap, sendNext);
  }
  /**
   * Sends the requests that a fleet in operation would be running at the start. Without them the fleet
   * would be measured before it is full: long answers take 20 s and more.
   */
  function preloadRunningRequests(): void {
    const runningCount =
      Math.min(tokensPerSecond, boundTokensPerSecond) * (FULL_TOKEN_GAP_MS / MILLIS_PER_SECOND);
    for (let i = 0; i < runningCount; i++) {
      const entry = entries[i % entries.length];
      const partial = createPartialRequest(shape.work, `f${i}`, random);
      timers.registerTimeout((PRELOAD_MS * i) / runningCount, () =>
        entry?.({ ...partial, arrivedAt: timers.now() }),
      );
    }
  }
  timers.registerTimeout(FIRST_ARRIVAL_MS, () => {
    preloadRunningRequests();
    sendNext();
  });
}

/**
 * Creates the remainder of a running request, sampled at a random time. Longer requests are sampled more
 * often.
 */
function createPartialRequest(
  work: readonly BenchRequestKind[],
  id: string,
  random: Random,
): BenchRequest {
  const weights = work.map((w) => ({ ...w, share: w.share * w.answerTokens }));
  const total = weights.reduce((sum, { share }) => sum + share, 0);
  const weightedByLength = weights.map((w) => ({ ...w, share: w.share / total }));
  const req = createRequest(weightedByLength, id, 0, random);
  return { ...req, answerTokens: Math.max(1, Math.round(req.answerTokens * random.nextFloat())) };
}

function createRequest(
  work: readonly BenchRequestKind[],
  id: string,
  arrivedAt: Millis,
  random: Random,
): BenchRequest {
  const kind = pickWork(work, random);
  const ownTokens = drawLength(kind.ownTokens, random);
  const answerTokens = drawLength(kind.answerTokens, random);
  const prefixKey = `${kind.name}-${random.nextInt(kind.templates)}`;
  const prompt = `${prefixKey}/${kind.prefixTokens}/${ownTokens}`;
  return { id, work: kind, prompt, prefixKey, ownTokens, answerTokens, arrivedAt };
}

function pickWork(work: readonly BenchRequestKind[], random: Random): BenchRequestKind {
  let draw = random.nextFloat();
  const found = work.find(({ share }) => {
    draw -= share;
    return draw < 0;
  });
  const last = work.at(-1);
  invariant(last, 'the workload has a kind of request');
  return found ?? last;
}

function drawLength(mean: number, random: Random): number {
  return Math.max(1, Math.round(mean * (0.5 + random.nextFloat())));
}

/** Parses a prompt of the bench for the virtual engines. */
export function readBenchPrompt(prompt: string): VirtualPrompt {
  const [prefixKey = null, prefix, own] = prompt.split('/');
  const prefixTokens = Number(prefix);
  return { tokens: prefixTokens + Number(own), prefixKey, prefixTokens };
}
