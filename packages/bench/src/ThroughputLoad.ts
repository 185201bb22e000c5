/** The callers of the throughput bench: open-loop arrivals, and what a running fleet has in hand. */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { VirtualPrompt } from '@skylarksail/stand-ins/VirtualRun';
import { getWorkloadMeans } from './ThroughputBound.js';
import type { BenchRequest } from './ThroughputEntry.js';
import type { BenchShape, BenchRequestKind } from './ThroughputShapes.js';

/** Time between tokens at which a full fleet runs. */
export const FULL_TOKEN_GAP_MS = 65;
/** Callers come once the instances know the engines. */
const START_MS = 800;
/** Time over which the requests arrive that a running fleet would have in hand at the start. */
const FILL_MS = 1200;

/** Callers that do not wait for each other; the balancer gives each request to any instance. */
export function sendRequests(
  timers: TimerService,
  shape: BenchShape,
  tokensPerSecond: number,
  fullTokensPerSecond: number,
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
  /** A fleet that starts empty would be measured before it is full: long answers take 20 s and more. */
  function fill(): void {
    const inHand =
      Math.min(tokensPerSecond, fullTokensPerSecond) * (FULL_TOKEN_GAP_MS / MILLIS_PER_SECOND);
    for (let i = 0; i < inHand; i++) {
      const entry = entries[i % entries.length];
      const rest = createRunningRequest(shape.work, `f${i}`, random);
      timers.registerTimeout((FILL_MS * i) / inHand, () =>
        entry?.({ ...rest, arrivedAt: timers.now() }),
      );
    }
  }
  timers.registerTimeout(START_MS, () => {
    fill();
    sendNext();
  });
}

/** What is left of a request met at a random moment: long ones are met more often. */
function createRunningRequest(
  work: readonly BenchRequestKind[],
  id: string,
  random: Random,
): BenchRequest {
  const weights = work.map((w) => ({ ...w, share: w.share * w.answerTokens }));
  const total = weights.reduce((sum, { share }) => sum + share, 0);
  const byTime = weights.map((w) => ({ ...w, share: w.share / total }));
  const req = createRequest(byTime, id, 0, random);
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
  invariant(last, 'there is work');
  return found ?? last;
}

function drawLength(mean: number, random: Random): number {
  return Math.max(1, Math.round(mean * (0.5 + random.nextFloat())));
}

/** What the virtual engines read from a prompt of the bench. */
export function readBenchPrompt(prompt: string): VirtualPrompt {
  const [prefixKey = null, prefix, own] = prompt.split('/');
  const prefixTokens = Number(prefix);
  return { tokens: prefixTokens + Number(own), prefixKey, prefixTokens };
}
