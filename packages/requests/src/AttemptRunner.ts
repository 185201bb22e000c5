/** Runs the attempts of a model request: chooses a chain, opens the call, and closes it. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis, Unregister, VersionId } from '@skylarksail/core/CoreTypes';
import type { RequestEffect, RequestEvent } from './RequestMessages.js';
import type { AnswerHead, EngineCallListener } from './RequestPorts.js';
import type { RequestSuspects } from './RequestSuspects.js';
import type { AttemptOutcome, ChainChoice, ChainHold, RequestSpec } from './RequestTypes.js';
import { getPromptTokens } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { computeBackoffRetryDelay } from './RunBackoff.js';
import { isQueueTooLong } from './RunQueue.js';
import { isEndUnproven } from './RunEnds.js';
import { listAvoidSets } from './RunSuspicion.js';

type EffectOf<K extends RequestEffect['kind']> = Extract<RequestEffect, { kind: K }>;

interface OpenAttempt {
  readonly chain: Chain;
  readonly contextTokens: number;
  readonly isImported: boolean;
  readonly cancel: Unregister;
}

/** Constraints of a search for a chain. */
export interface ChainSearch extends Pick<EffectOf<'choose'>, 'broken' | 'failed' | 'avoid'> {
  /** Time by which the answer must begin; null if there is none. */
  readonly beginBy: Millis | null;
  /** Engines of which one must be the first of the chain; null if any may be. */
  readonly firstEngines: readonly EngineId[] | null;
}

interface SearchResult {
  readonly choice: ChainChoice;
  /** Whether there are chains, but the answer would begin on none of them in time. */
  readonly isTooLate: boolean;
}

/** Maximum number of long queues to skip: each skip takes another search, and further queues are likely as long. */
const MAX_LONG_QUEUES = 4;
const ALL_FULL: ChainChoice = { kind: 'none', isFull: true, retryAfter: 0 };

/** The attempts of one request, one at a time. */
export interface AttemptRunner {
  /** Whether there is a chain now; reserves nothing. */
  canChoose(search: ChainSearch): boolean;
  /** Chooses a chain and sends the result as an event. Returns whether there is one. */
  choose(search: ChainSearch): boolean;
  open(effect: EffectOf<'open'>): void;
  close(outcome: AttemptOutcome): void;
  /** Records the attempt's first token, `wait` after the attempt was opened. */
  noteFirstToken(wait: Millis): void;
  getChain(): Chain | null;
  /** Head of the present attempt's answer, or null. */
  getHead(): AnswerHead | null;
  getEngines(): readonly EngineId[];
}

/** Creates the runner of a request's attempts. `tokens` is the answer so far; the caller appends to it. */
export function createAttemptRunner(
  shared: RouterShared,
  spec: RequestSpec,
  suspects: RequestSuspects,
  tokens: readonly string[],
  send: (event: RequestEvent) => void,
): AttemptRunner {
  const { deps, meters } = shared;
  const promptTokens = getPromptTokens(spec);
  let current: OpenAttempt | null = null;
  let hold: ChainHold | null = null;
  let head: { readonly attempt: number; readonly value: AnswerHead } | null = null;
  let lastAttempt = 0;
  let begunVersion: VersionId | null = null;

  function createListener(attempt: number, first: EngineId, openedAt: Millis): EngineCallListener {
    return {
      onAcknowledged: (acknowledgement) => {
        meters.noteAcknowledgement(spec.model, deps.timers.now() - openedAt);
        if (acknowledgement.head) {
          head = { attempt, value: acknowledgement.head };
        }
        send({ kind: 'acknowledged', attempt, acknowledgement });
      },
      onToken: (index, token) => send({ kind: 'token', attempt, index, token }),
      onEnd: (reason, tokenCount) => send({ kind: 'end', attempt, reason, tokenCount }),
      onFailure: (failure) =>
        send({
          kind: 'failure',
          attempt,
          failure,
          suspects: [],
          isSlow: false,
          isEndUnproven: isEndUnproven(shared, first),
        }),
    };
  }

  function chooseWithAvoidSets(
    choose: (avoidSet: readonly EngineId[]) => ChainChoice,
  ): ChainChoice {
    const [firstSet = [], ...others] = listAvoidSets(shared, suspects);
    return others.reduce(
      (choice, avoidSet) => (choice.kind === 'none' ? choose(avoidSet) : choice),
      choose(firstSet),
    );
  }

  function select({ broken, failed, avoid, firstEngines }: ChainSearch): ChainChoice {
    const contextTokens = promptTokens + tokens.length;
    return chooseWithAvoidSets((avoidSet) => {
      const wish = {
        spec,
        contextTokens,
        begunVersion,
        avoid: [...new Set([...avoid, ...avoidSet])],
      };
      if (firstEngines !== null) {
        // They are known to live since their streams broke, for which they are avoided.
        const avoided = wish.avoid.filter((id) => !firstEngines.includes(id));
        return deps.chooseChain({ ...wish, avoid: avoided, firstEngines });
      }
      const engines = broken?.stages.map((stage) => stage.engine) ?? [];
      // Also replaces stages whose engines have been lost by other requests in the meantime.
      const lost = engines.filter((id) => failed.includes(id) || wish.avoid.includes(id));
      return broken !== null && lost.length < engines.length
        ? deps.chooseRepair({ ...wish, broken, failed: lost })
        : deps.chooseChain(wish);
    });
  }

  function hasLongQueue(engine: EngineId, beginBy: Millis | null): boolean {
    return beginBy !== null && isQueueTooLong(shared, engine, spec.priority, beginBy);
  }

  /** Selects a chain whose first engine has no long queue; `isTooLate` if only chains with long queues were found. */
  function selectInTime(search: ChainSearch): SearchResult {
    const skipped: EngineId[] = [];
    while (skipped.length < MAX_LONG_QUEUES) {
      const choice = select({ ...search, avoid: [...search.avoid, ...skipped] });
      const [first] = choice.kind === 'chain' ? choice.chain.stages : [];
      if (choice.kind === 'none' || !first || !hasLongQueue(first.engine, search.beginBy)) {
        return { choice, isTooLate: choice.kind === 'none' && skipped.length > 0 };
      }
      choice.hold.release({ kind: 'cancelled' });
      skipped.push(first.engine);
    }
    return { choice: ALL_FULL, isTooLate: true };
  }

  return {
    canChoose(search) {
      const { choice } = selectInTime(search);
      if (choice.kind === 'chain') {
        choice.hold.release({ kind: 'cancelled' });
      }
      return choice.kind === 'chain';
    },
    choose(search) {
      const contextTokens = promptTokens + tokens.length;
      const { choice, isTooLate } = selectInTime(search);
      if (choice.kind === 'none') {
        const { isFull, retryAfter, isGone = false, backoffLeft } = choice;
        const backoff =
          backoffLeft === undefined
            ? {}
            : { backoffLeft: computeBackoffRetryDelay(deps.random, backoffLeft) };
        send({ kind: 'no-chain', isFull, isTooLate, retryAfter, isGone, ...backoff });
        return false;
      }
      hold = choice.hold;
      const limits = meters.getSilenceLimits(spec.model, contextTokens);
      send({ kind: 'chosen', chain: choice.chain, importFrom: choice.importFrom, limits });
      return true;
    },
    open({ attempt, chain, importFrom }) {
      const now = deps.timers.now();
      const contextTokens = promptTokens + tokens.length;
      lastAttempt = attempt;
      const cancel = deps.openEngineCall(
        {
          request: spec.id,
          attempt,
          chain,
          team: spec.team,
          original: spec.original ?? null,
          prompt: spec.prompt,
          contextTokens,
          resumeTokens: [...tokens],
          maxTokens: spec.maxTokens,
          priority: spec.priority,
          timeLeft: spec.deadline - now,
          importFrom,
        },
        createListener(attempt, chain.stages[0]?.engine ?? '', now),
      );
      current = { chain, contextTokens, isImported: importFrom.length > 0, cancel };
    },
    close(outcome) {
      // Cancelling an attempt that has already ended has no effect.
      current?.cancel();
      current = null;
      hold?.release(outcome);
      hold = null;
    },
    noteFirstToken(wait) {
      hold?.noteFirstToken();
      begunVersion ??= current?.chain.variant.version ?? null;
      if (current && !current.isImported) {
        meters.noteFirstToken(spec.model, current.contextTokens, wait);
      }
    },
    getChain: () => current?.chain ?? null,
    getHead: () => (head?.attempt === lastAttempt ? head.value : null),
    getEngines: () => current?.chain.stages.map((stage) => stage.engine) ?? [],
  };
}
