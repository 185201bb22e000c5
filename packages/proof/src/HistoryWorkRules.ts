/** Rules on what engines and services did: layers, effects, "not run", and engines that leave. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { EventOf, HistoryIndex, RequestHistory } from './HistoryIndex.js';
import { selectEvents } from './HistoryIndex.js';
import type { HistoryRuleName, HistoryViolation } from './HistoryTypes.js';
import { HistoryRule } from './HistoryTypes.js';

/** Time after which an engine that is leaving gets no new work. */
const LEAVING_GRACE: Millis = 3000;

/** What a history's work breaks. */
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

/** A request and its resends; one without a key stands for itself. */
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

/** Each token that a caller got passed every layer once, in order, in the attempt that delivered it. */
function checkLayers(request: RequestHistory): readonly HistoryViolation[] {
  const { submitted, tokens, passes, frames } = request;
  if (submitted.work === 'service' || passes.length === 0) {
    return [];
  }
  const passesByPlace = new Map<string, EventOf<'pass'>[]>();
  for (const pass of passes) {
    const place = `${pass.attempt} ${pass.end}`;
    passesByPlace.set(place, [...(passesByPlace.get(place) ?? []), pass]);
  }
  return tokens.flatMap(({ index, at }) => {
    const frame = frames.findLast((sent) => sent.index === index && sent.at <= at);
    const end = submitted.promptTokens + index;
    const own = passesByPlace.get(`${frame?.attempt} ${end}`) ?? [];
    let layer = 0;
    const isInOrder = own.every(({ layers }) => {
      const follows = layers.first === layer;
      layer = layers.end;
      return follows;
    });
    return isInOrder && layer === submitted.layerCount
      ? []
      : [
          fail(
            HistoryRule.LayersInOrder,
            `${submitted.request}: token ${index} passed ${describePasses(own)}`,
          ),
        ];
  });
}

function describePasses(passes: readonly EventOf<'pass'>[]): string {
  return passes.map(({ layers }) => `[${layers.first}-${layers.end})`).join(' ') || 'no layer';
}

/** What may not be repeated ran at most once, over all requests with its key. */
function checkAtMostOnce(requests: readonly RequestHistory[]): readonly HistoryViolation[] {
  const once = requests.filter(({ submitted }) => !submitted.idempotent);
  const runs = new Set(
    once.flatMap(({ passes }) => passes.map(({ request, attempt }) => `${request}#${attempt}`)),
  );
  const effects = once.reduce((sum, { effects: own }) => sum + own.length, 0);
  const name = once[0]?.submitted.request ?? '';
  return [
    ...(runs.size > 1 ? [fail(HistoryRule.AtMostOnce, `${name}: ran as ${[...runs].join()}`)] : []),
    ...(effects > 1 ? [fail(HistoryRule.AtMostOnce, `${name}: ${effects} effects`)] : []),
  ];
}

/** "Not run" is true of the request for ever; "ran" is true of it or of one with its key. */
function checkTrueRun(requests: readonly RequestHistory[]): readonly HistoryViolation[] {
  return selectFailed(requests).flatMap(({ request, ending }) => {
    const isFalse =
      (ending.run === 'not-run' && hasRun(request)) ||
      (ending.run === 'ran' && !requests.some((other) => hasRun(other)));
    return isFalse ? [fail(HistoryRule.TrueRun, `${describeEnding(ending)}, which is not so`)] : [];
  });
}

/**
 * "Not run" is also true of the earlier requests with the key: their caller, cut off from the first,
 * would hold that nothing ran at all, and send the same again under another key.
 */
function checkTrueRunOfKey(requests: readonly RequestHistory[]): readonly HistoryViolation[] {
  return selectFailed(requests).flatMap(({ ending }) => {
    const hasRunBefore = requests.some((other) => hasRun(other, ending.at));
    return ending.run === 'not-run' && hasRunBefore
      ? [fail(HistoryRule.TrueRunOfKey, `${describeEnding(ending)}, and its key had run`)]
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

/** No attempt is taken up by an engine that has been leaving for longer than the grace. */
function checkLeaving({ events }: HistoryIndex): readonly HistoryViolation[] {
  const leavingAt = new Map(
    selectEvents(events, 'engine-leaving').map(({ engine, at }) => [engine, at]),
  );
  return selectEvents(events, 'taken')
    .filter(({ engine, at }) => at > (leavingAt.get(engine) ?? Infinity) + LEAVING_GRACE)
    .map(({ engine, request, attempt, at }) =>
      fail(
        HistoryRule.LeavingEngine,
        `${engine} took ${request}#${attempt} ${at - (leavingAt.get(engine) ?? 0)} ms after it began to leave`,
      ),
    );
}

function fail(rule: HistoryRuleName, detail: string): HistoryViolation {
  return { rule, detail };
}
