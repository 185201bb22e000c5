/** Rules on what engines and services executed: layers, effects, reported run states, leaving engines. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { EventOf, HistoryIndex, RequestHistory } from './HistoryIndex.js';
import { selectEvents } from './HistoryIndex.js';
import type { HistoryRuleName, HistoryViolation } from './HistoryTypes.js';
import { HistoryRule } from './HistoryTypes.js';

/** Time after which a leaving engine must not start new attempts. */
const LEAVING_GRACE: Millis = 3000;

/** Returns the violations of the rules on executed work. */
export function checkWorkRules(index: HistoryIndex): readonly HistoryViolation[] {
  const byKey = groupByKey(index.requests);
  return [
    ...index.requests.flatMap(checkLayers),
    ...[...byKey.values()].flatMap(checkAtMostOnce),
    ...[...byKey.values()].flatMap(checkTrueRun),
    ...[...byKey.values()].flatMap(checkTrueRunOfKey),
    ...checkLeaving(index),
  ];
}

/** Groups a request with its resends by key; a request without a key is a group of its own. */
function groupByKey(
  requests: readonly RequestHistory[],
): ReadonlyMap<string, readonly RequestHistory[]> {
  const groups = new Map<string, RequestHistory[]>();
  for (const request of requests) {
    const { key, request: id } = request.submitted;
    const name = key === null ? `request ${id}` : `key ${key}`;
    groups.set(name, [...(groups.get(name) ?? []), request]);
  }
  return groups;
}

/** Each delivered token passed every layer once, in order, in the attempt that delivered it. */
function checkLayers(request: RequestHistory): readonly HistoryViolation[] {
  const { submitted, tokens, passes, frames } = request;
  if (submitted.work === 'service' || passes.length === 0) {
    return [];
  }
  const passesByPosition = new Map<string, EventOf<'pass'>[]>();
  for (const pass of passes) {
    const place = `${pass.attempt} ${pass.end}`;
    passesByPosition.set(place, [...(passesByPosition.get(place) ?? []), pass]);
  }
  return tokens.flatMap(({ index, at }) => {
    const frame = frames.findLast((sent) => sent.index === index && sent.at <= at);
    const end = submitted.promptTokens + index;
    const own = passesByPosition.get(`${frame?.attempt} ${end}`) ?? [];
    let layer = 0;
    const isInOrder = own.every(({ layers }) => {
      const follows = layers.first === layer;
      layer = layers.end;
      return follows;
    });
    return isInOrder && layer === submitted.layerCount
      ? []
      : [
          createViolation(
            HistoryRule.LayersInOrder,
            `${submitted.request}: token ${index} passed ${describePasses(own)}`,
          ),
        ];
  });
}

function describePasses(passes: readonly EventOf<'pass'>[]): string {
  return passes.map(({ layers }) => `[${layers.first}-${layers.end})`).join(' ') || 'no layer';
}

/** A non-idempotent request ran at most once, counted over all requests with its key. */
function checkAtMostOnce(requests: readonly RequestHistory[]): readonly HistoryViolation[] {
  const nonIdempotent = requests.filter(({ submitted }) => !submitted.idempotent);
  const runs = new Set(
    nonIdempotent.flatMap(({ passes }) =>
      passes.map(({ request, attempt }) => `${request}#${attempt}`),
    ),
  );
  const effects = nonIdempotent.reduce((sum, { effects: own }) => sum + own.length, 0);
  const name = nonIdempotent[0]?.submitted.request ?? '';
  return [
    ...(runs.size > 1
      ? [createViolation(HistoryRule.AtMostOnce, `${name}: ran as ${[...runs].join()}`)]
      : []),
    ...(effects > 1
      ? [createViolation(HistoryRule.AtMostOnce, `${name}: ${effects} effects`)]
      : []),
  ];
}

/**
 * A request reported as "not run" never runs, before or after the report. For one reported as "ran", it or
 * another request with its key ran.
 */
function checkTrueRun(requests: readonly RequestHistory[]): readonly HistoryViolation[] {
  return selectFailed(requests).flatMap(({ request, ending }) => {
    const isWrong =
      (ending.run === 'not-run' && hasRun(request)) ||
      (ending.run === 'ran' && !requests.some((other) => hasRun(other)));
    return isWrong
      ? [createViolation(HistoryRule.TrueRun, `${describeEnding(ending)}, which is not so`)]
      : [];
  });
}

/**
 * "Not run" must also hold for the earlier requests with the key. A caller that was cut off from the first
 * one would otherwise conclude that nothing ran, and send the same request again under another key.
 */
function checkTrueRunOfKey(requests: readonly RequestHistory[]): readonly HistoryViolation[] {
  return selectFailed(requests).flatMap(({ ending }) => {
    const hasRunBefore = requests.some((other) => hasRun(other, ending.at));
    return ending.run === 'not-run' && hasRunBefore
      ? [
          createViolation(
            HistoryRule.TrueRunOfKey,
            `${describeEnding(ending)}, and its key had run`,
          ),
        ]
      : [];
  });
}

function selectFailed(
  requests: readonly RequestHistory[],
): readonly { readonly request: RequestHistory; readonly ending: EventOf<'failed'> }[] {
  return requests.flatMap((request) => {
    const [ending] = request.endings;
    return ending?.kind === 'failed' ? [{ request, ending }] : [];
  });
}

function describeEnding({ request, problem, run }: EventOf<'failed'>): string {
  return `${request}: called ${problem}, ${run}`;
}

function hasRun({ passes, effects }: RequestHistory, until: Millis = Infinity): boolean {
  return [...passes, ...effects].some(({ at }) => at <= until);
}

/** No engine starts an attempt when it has been leaving for longer than the grace period. */
function checkLeaving({ events }: HistoryIndex): readonly HistoryViolation[] {
  const leavingAt = new Map(
    selectEvents(events, 'engine-leaving').map(({ engine, at }) => [engine, at]),
  );
  return selectEvents(events, 'taken')
    .filter(({ engine, at }) => at > (leavingAt.get(engine) ?? Infinity) + LEAVING_GRACE)
    .map(({ engine, request, attempt, at }) =>
      createViolation(
        HistoryRule.LeavingEngine,
        `${engine} took ${request}#${attempt} ${at - (leavingAt.get(engine) ?? 0)} ms after it began to leave`,
      ),
    );
}

function createViolation(rule: HistoryRuleName, detail: string): HistoryViolation {
  return { rule, detail };
}
