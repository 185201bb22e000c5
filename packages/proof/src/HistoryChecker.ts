/**
 * Checks a recorded history against the invariants of the system. It does not use the router and reads only what
 * callers, engines, services and instances did, so that a bug of the router cannot hide its own effects.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import { checkConfigRules } from './HistoryConfigRules.js';
import type { HistoryIndex, RequestHistory } from './HistoryIndex.js';
import { createHistoryIndex, selectEvents } from './HistoryIndex.js';
import type { HistoryEvent, HistoryViolation } from './HistoryTypes.js';
import { HistoryRule } from './HistoryTypes.js';
import { checkWorkRules } from './HistoryWorkRules.js';

/** A caller that does not hang up gets the end of its request at most this long after the deadline. */
const DEADLINE_SLACK: Millis = 500;
/** Longest time between the router giving up on a request and its caller receiving the failure. */
const FAILURE_DELIVERY_LIMIT: Millis = 20;

/** Returns all violations of a history; empty if it satisfies every rule. */
export function checkHistory(events: readonly HistoryEvent[]): readonly HistoryViolation[] {
  const index = createHistoryIndex(events);
  return [
    ...index.requests.flatMap((request) => [
      ...checkOneAnswer(request, index.endAt),
      ...checkWholeAnswer(request),
      ...checkAnsweredAtOnce(request, index.endAt),
    ]),
    ...checkPlannedStops(index),
    ...checkWorkRules(index),
    ...checkConfigRules(index),
  ];
}

/** A caller that does not hang up gets exactly one answer or error, in time, and nothing after it. */
function checkOneAnswer(request: RequestHistory, endAt: Millis): readonly HistoryViolation[] {
  const { submitted, endings, tokens, hungUpAt, killedAt } = request;
  const createViolation = (detail: string): HistoryViolation => ({
    rule: HistoryRule.OneAnswer,
    detail: `${submitted.request}: ${detail}`,
  });
  const [ending] = endings;
  if (endings.length > 1) {
    return [createViolation(`${endings.length} endings`)];
  }
  if (!ending) {
    const isWaiting = hungUpAt === null && killedAt === null;
    const isDue = endAt > submitted.deadline + DEADLINE_SLACK;
    return isWaiting && isDue ? [createViolation('no ending')] : [];
  }
  if (hungUpAt === null && ending.at > submitted.deadline + DEADLINE_SLACK) {
    return [createViolation(`ended at ${ending.at}, its deadline was ${submitted.deadline}`)];
  }
  return tokens.some(({ at }) => at > ending.at)
    ? [createViolation('a token after its ending')]
    : [];
}

/** Tokens arrive in order from index 0, each is correct, and an answer reported as complete has all. */
function checkWholeAnswer(request: RequestHistory): readonly HistoryViolation[] {
  const { submitted, tokens, endings } = request;
  const createViolation = (detail: string): HistoryViolation => ({
    rule: HistoryRule.WholeAnswer,
    detail: `${submitted.request}: ${detail}`,
  });
  const completeAnswer = submitted.expected.join('');
  const isAnswered = endings[0]?.kind === 'answered';
  // A stored answer is delivered as a single token.
  if (isAnswered && tokens.length === 1 && tokens[0]?.token === completeAnswer) {
    return [];
  }
  const wrongIndex = tokens.findIndex(
    ({ index, token }, i) => index !== i || token !== submitted.expected[i],
  );
  if (wrongIndex >= 0) {
    const { index, token } = tokens[wrongIndex] ?? {};
    return [createViolation(`token ${wrongIndex} came as ${index} "${token}"`)];
  }
  return isAnswered && tokens.length !== submitted.expected.length
    ? [createViolation(`${tokens.length} of ${submitted.expected.length} tokens, called whole`)]
    : [];
}

/** Once the router gives up on a request, its caller gets the failure at once. */
function checkAnsweredAtOnce(request: RequestHistory, endAt: Millis): readonly HistoryViolation[] {
  const { submitted, endings, givenUpAt, hungUpAt, killedAt } = request;
  if (givenUpAt === null || hungUpAt !== null || killedAt !== null) {
    return [];
  }
  const deliveredAt = endings[0]?.at ?? Infinity;
  return deliveredAt > givenUpAt + FAILURE_DELIVERY_LIMIT &&
    endAt > givenUpAt + FAILURE_DELIVERY_LIMIT
    ? [
        {
          rule: HistoryRule.AnsweredAtOnce,
          detail: `${submitted.request}: given up at ${givenUpAt}, told at ${deliveredAt}`,
        },
      ]
    : [];
}

/** A planned stop of an instance does not interrupt the requests in progress there. */
function checkPlannedStops({ requests, events }: HistoryIndex): readonly HistoryViolation[] {
  return selectEvents(events, 'instance-stopping').flatMap((stop) => {
    const stopped = selectEvents(events, 'instance-stopped').find(
      ({ instance, at }) => instance === stop.instance && at >= stop.at,
    );
    const open = requests.filter(
      ({ submitted, endings, hungUpAt, killedAt }) =>
        submitted.instance === stop.instance &&
        submitted.at < stop.at &&
        (endings[0]?.at ?? Infinity) >= stop.at &&
        hungUpAt === null &&
        killedAt === null,
    );
    return open.flatMap(({ submitted, endings: [ending] }) => {
      const isInterrupted =
        (ending?.kind === 'failed' && ending.problem === 'draining') ||
        (stopped !== undefined && (ending?.at ?? Infinity) > stopped.at);
      return isInterrupted
        ? [
            {
              rule: HistoryRule.PlannedStop,
              detail: `${submitted.request}: cut off by the stop of ${stop.instance}`,
            },
          ]
        : [];
    });
  });
}
