/**
 * Judges a recorded history by what must always hold. It knows nothing of the router: it reads what
 * callers, engines, services and instances did, so that a fault of the router cannot hide in it.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import { checkConfigRules } from './HistoryConfigRules.js';
import type { HistoryIndex, RequestHistory } from './HistoryIndex.js';
import { createHistoryIndex, selectEvents } from './HistoryIndex.js';
import type { HistoryEvent, HistoryViolation } from './HistoryTypes.js';
import { HistoryRule } from './HistoryTypes.js';
import { checkWorkRules } from './HistoryWorkRules.js';

/** A caller that stayed hears the end of its request by its deadline and this much more. */
const DEADLINE_SLACK: Millis = 500;
/** Time in which a request that was given up reaches its caller. */
const AT_ONCE: Millis = 20;

/** All that a history breaks; empty if it holds. */
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

/** Exactly one answer or error to a caller that stayed, in time, and nothing after it. */
function checkOneAnswer(request: RequestHistory, endAt: Millis): readonly HistoryViolation[] {
  const { submitted, endings, tokens, hungUpAt, killedAt } = request;
  const fail = (detail: string): HistoryViolation => ({
    rule: HistoryRule.OneAnswer,
    detail: `${submitted.request}: ${detail}`,
  });
  const [ending] = endings;
  if (endings.length > 1) {
    return [fail(`${endings.length} endings`)];
  }
  if (!ending) {
    const hasStayed = hungUpAt === null && killedAt === null;
    const isDue = endAt > submitted.deadline + DEADLINE_SLACK;
    return hasStayed && isDue ? [fail('no ending')] : [];
  }
  if (hungUpAt === null && ending.at > submitted.deadline + DEADLINE_SLACK) {
    return [fail(`ended at ${ending.at}, its deadline was ${submitted.deadline}`)];
  }
  return tokens.some(({ at }) => at > ending.at) ? [fail('a token after its ending')] : [];
}

/** Tokens from 0, in order, each the right one; and all of them, if the answer is called whole. */
function checkWholeAnswer(request: RequestHistory): readonly HistoryViolation[] {
  const { submitted, tokens, endings } = request;
  const fail = (detail: string): HistoryViolation => ({
    rule: HistoryRule.WholeAnswer,
    detail: `${submitted.request}: ${detail}`,
  });
  const whole = submitted.expected.join('');
  const isAnswered = endings[0]?.kind === 'answered';
  // An answer that was held comes as one piece.
  if (isAnswered && tokens.length === 1 && tokens[0]?.token === whole) {
    return [];
  }
  const wrong = tokens.findIndex(
    ({ index, token }, i) => index !== i || token !== submitted.expected[i],
  );
  if (wrong >= 0) {
    const { index, token } = tokens[wrong] ?? {};
    return [fail(`token ${wrong} came as ${index} "${token}"`)];
  }
  return isAnswered && tokens.length !== submitted.expected.length
    ? [fail(`${tokens.length} of ${submitted.expected.length} tokens, called whole`)]
    : [];
}

/** A request that the router gave up on is not left waiting. */
function checkAnsweredAtOnce(request: RequestHistory, endAt: Millis): readonly HistoryViolation[] {
  const { submitted, endings, givenUpAt, hungUpAt, killedAt } = request;
  if (givenUpAt === null || hungUpAt !== null || killedAt !== null) {
    return [];
  }
  const heardAt = endings[0]?.at ?? Infinity;
  return heardAt > givenUpAt + AT_ONCE && endAt > givenUpAt + AT_ONCE
    ? [
        {
          rule: HistoryRule.AnsweredAtOnce,
          detail: `${submitted.request}: given up at ${givenUpAt}, told at ${heardAt}`,
        },
      ]
    : [];
}

/** What an instance was working on when it was told to stop ends as it would have. */
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
      const isCut =
        (ending?.kind === 'failed' && ending.problem === 'draining') ||
        (stopped !== undefined && (ending?.at ?? Infinity) > stopped.at);
      return isCut
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
