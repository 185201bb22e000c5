/** What the admin port shows, read from the parts that know it. */
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { AdminGateway } from './DaemonAdmin.js';
import type { DecisionLog } from './DaemonDecisions.js';
import type { EngineDirectory } from './DaemonEngines.js';
import type { DaemonManifest } from './DaemonManifest.js';
import type { DaemonMetrics } from './DaemonMetrics.js';
import type { DaemonRouting } from './DaemonRouting.js';
import type { Settings } from './DaemonSettings.js';

export interface AdminGatewayOptions {
  readonly settings: Settings;
  readonly operatorToken: string;
  readonly manifest: DaemonManifest;
  readonly router: RequestRouter;
  readonly directory: EngineDirectory;
  readonly routing: DaemonRouting;
  readonly metrics: DaemonMetrics;
  readonly decisions: DecisionLog;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  readonly countMembers: () => number;
}

export function createAdminGateway(options: AdminGatewayOptions): AdminGateway {
  const { settings, manifest, router, directory, routing, metrics, decisions } = options;
  const getRevision = (): number => manifest.getInForce()?.revision ?? 0;

  metrics.registerGauge('manifest_revision', 'revision in force', getRevision);
  metrics.registerGauge('ready', '1 while the balancer may send requests', () =>
    options.isReady() ? 1 : 0,
  );
  metrics.registerGauge('requests_running', 'requests running', () => router.getCounts().running);
  metrics.registerGauge('requests_waiting', 'requests waiting', () => router.getCounts().waiting);
  metrics.registerGauge(
    'concurrency_limit',
    'requests that may run',
    () => router.getCounts().limit,
  );
  metrics.registerGauge('engines_known', 'engines known', () => directory.listEngines().length);
  metrics.registerGauge(
    'engines_leaving',
    'engines that get no new work',
    () => routing.getState().leaving.size,
  );

  return {
    operatorToken: options.operatorToken,
    isReady: options.isReady,
    describeReadiness: () => ({
      ready: options.isReady(),
      stopping: options.isStopping(),
      revision: getRevision(),
    }),
    writeMetrics: async () => ({ text: await metrics.write(), contentType: metrics.contentType }),
    describeStatus() {
      const counts = router.getCounts();
      const known = directory.listEngines();
      const { leaving } = routing.getState();
      return {
        instance: settings.instance,
        domain: settings.domain,
        ready: options.isReady(),
        stopping: options.isStopping(),
        manifest: { revision: getRevision(), source: 'platform' },
        running: counts.running,
        queued: counts.waiting,
        recovering: counts.recovering,
        limit: counts.limit,
        engines: {
          live: known.filter(({ id }) => !leaving.has(id)).length,
          known: known.length,
        },
        members: options.countMembers(),
      };
    },
    readDecisions: decisions.read,
    submitManifest: manifest.submit,
    readManifest() {
      const inForce = manifest.getInForce();
      return inForce && { revision: inForce.revision, manifest: inForce.manifest };
    },
    diffManifest: () => [],
    readHistory: () => Promise.resolve([]),
    describeInForce: (revision) => ({
      revision,
      accepted: getRevision() >= revision,
      inForce: getRevision() >= revision,
      domains: [
        {
          domain: settings.domain,
          confirmed: getRevision() >= revision ? 1 : 0,
          total: 1,
          missing: getRevision() >= revision ? [] : [settings.instance],
        },
      ],
    }),
  };
}
