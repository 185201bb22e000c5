/**
 * Counts the memory that each team's running requests of this instance are expected to hold on the engines of its own
 * domain, for models whose memory is shared. The counts change with each attempt, so no scan of the requests is needed.
 */
import type { DomainId, EngineId, ModelId, TeamId } from '@skylarksail/core/CoreTypes';
import type { ChainChoice, ChainRequest } from '@skylarksail/requests/RequestTypes';
import { getKvTokens } from '@skylarksail/routing/RoutingCalls';
import type { RoutedModel } from '@skylarksail/routing/RoutingTypes';
import { listHeaviest } from './RelayTeamSums.js';
import type { TeamWork } from './RelayWork.js';
import { MAX_REPORTED } from './RelayWork.js';

export interface RelayTeamWorkOptions {
  readonly domain: DomainId;
  readonly getModel: (model: ModelId) => RoutedModel | undefined;
  /** Domain of an engine; null if it is not known. */
  readonly getDomain: (engine: EngineId) => DomainId | null;
}

export interface RelayTeamWork {
  /** Wraps a choice of chains so that the work of the chosen ones is counted until their release. */
  watchChoice<R extends ChainRequest>(
    choose: (request: R) => ChainChoice,
  ): (request: R) => ChainChoice;
  /** Tokens that the team's requests are expected to hold. */
  get(team: TeamId): number;
  /** Teams with work. */
  listTeams(): Iterable<TeamId>;
  /** The heaviest teams for a report; null without team work, so that reports are as before where memory isn't shared. */
  readReport(): readonly TeamWork[] | null;
}

export function createRelayTeamWork(options: RelayTeamWorkOptions): RelayTeamWork {
  const work = new Map<TeamId, number>();

  function change(team: TeamId, kvTokens: number): void {
    const sum = (work.get(team) ?? 0) + kvTokens;
    if (sum > 0) {
      work.set(team, sum);
    } else {
      work.delete(team);
    }
  }

  function count(request: ChainRequest, choice: ChainChoice): ChainChoice {
    const { spec, contextTokens } = request;
    const model = options.getModel(spec.model);
    const [first] = choice.kind === 'chain' ? choice.chain.stages : [];
    if (
      choice.kind !== 'chain' ||
      !model?.isMemoryShared ||
      !first ||
      options.getDomain(first.engine) !== options.domain
    ) {
      return choice;
    }
    const { usualAnswerTokens: answerTokens } = model;
    // Sums of fractions would not return to 0 at the release, and the team would stay listed for good.
    const kvTokens = Math.round(
      getKvTokens({
        promptTokens: contextTokens,
        maxTokens: spec.maxTokens,
        ...(answerTokens === undefined ? {} : { answerTokens }),
      }),
    );
    change(spec.team, kvTokens);
    return {
      ...choice,
      hold: {
        noteFirstToken: choice.hold.noteFirstToken,
        release: (outcome) => {
          change(spec.team, -kvTokens);
          choice.hold.release(outcome);
        },
      },
    };
  }

  return {
    watchChoice: (choose) => (request) => count(request, choose(request)),
    get: (team) => work.get(team) ?? 0,
    listTeams: () => work.keys(),
    readReport: () => (work.size > 0 ? listHeaviest(work, MAX_REPORTED) : null),
  };
}
