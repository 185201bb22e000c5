/** Prints the table of docs/design/prompt-lengths.md: node packages/routing/dist/__tests__/unit/RoutingPrefillTable.js */
import { runPrefillLoad, summarizeSamples, POLICIES } from './RoutingPrefillBed.js';

const DOMAINS = 3;

for (const instances of [36, 60]) {
  for (const policy of Object.values(POLICIES)) {
    const samples = [1, 2, 3].flatMap((seed) =>
      runPrefillLoad(policy, {
        instances: instances / DOMAINS,
        requestsPerSecond: 90,
        duration: 28_000,
        seed,
      }),
    );
    const cells = summarizeSamples(samples).map(({ p50, p95, p99, onTime }) =>
      [...[p50, p95, p99].map(Math.round), `${(onTime * 100).toFixed(1)} %`].join(', '),
    );
    process.stdout.write(`| ${[instances, policy.name, ...cells].join(' | ')} |\n`);
  }
}
