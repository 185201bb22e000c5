/** Parameters of routing, in part from the manifest and the number of instances. */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';

export interface RoutingTuning {
  /** Own failure domain; calls in other domains are counted as cross-domain calls. Null counts none. */
  readonly domain: DomainId | null;
  /** Target time between tokens, up to which chains are loaded. */
  readonly tokenGapMs: Millis;
  /** Initial estimate of the prompt tokens to prefill per generated token. */
  readonly promptTokensPerToken: number;
  /** Number of entry instances in the own domain, which share its engines. */
  readonly instanceCount: number;
  /** Number of entry instances in all other domains, which share a domain's cross-domain capacity. */
  readonly foreignInstanceCount: number;
  /** Share of a domain's capacity that other domains may use. */
  readonly crossDomainShare: number;
  /** Whether the own domain is avoided too after a chain there timed out without output, if others can serve. */
  readonly isOwnDoubted: boolean;
  /** Time for which a domain is avoided after a chain there timed out without output. */
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
