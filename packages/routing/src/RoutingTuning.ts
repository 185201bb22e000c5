/** Settings of routing that come from the manifest and from the count of instances. */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';

export interface RoutingTuning {
  /** Own failure domain; calls elsewhere count as crossing. Null counts none. */
  readonly domain: DomainId | null;
  /** Time between tokens that a chain is filled up to. */
  readonly tokenGapMs: Millis;
  /** Prompt tokens to prefill for each generated token, until calls have shown it. */
  readonly promptTokensPerToken: number;
  /** Entry instances of the own domain, which share its engines. */
  readonly instanceCount: number;
  /** Entry instances of all other domains, which share what a domain lends. */
  readonly foreignInstanceCount: number;
  /** Share of a domain's capacity that may be lent to other domains. */
  readonly crossDomainShare: number;
  /** Whether the own domain is kept off too when a whole chain there stays silent, if others serve. */
  readonly isOwnDoubted: boolean;
  /** Time for which a domain is kept off after a chain there stayed silent. */
  readonly doubtTime: Millis;
}

export const DEFAULT_TUNING: RoutingTuning = {
  domain: null,
  tokenGapMs: 62,
  promptTokensPerToken: 1,
  instanceCount: 1,
  foreignInstanceCount: 4,
  crossDomainShare: 0.2,
  isOwnDoubted: false,
  doubtTime: 2000,
};
