/**
 * Implements the operations of the admin port on the components of the daemon, and registers its
 * gauges.
 */
import type { PlacementStatus } from '@skylarksail/placement/PlacementRunner';
import type { AdminGateway } from './DaemonAdmin.js';
import type { DecisionLog } from './DaemonDecisions.js';
import type { DaemonMetrics } from './DaemonMetrics.js';
import type { DaemonParts } from './DaemonParts.js';
import type { ReportError } from './DaemonReplies.js';
import type { Settings } from './DaemonSettings.js';

export interface AdminGatewayOptions {
  readonly settings: Settings;
  readonly operatorToken: string;
  readonly parts: DaemonParts;
  readonly metrics: DaemonMetrics;
  readonly decisions: DecisionLog;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  readonly reportError: ReportError;
}

export function createAdminGateway(options: AdminGatewayOptions): AdminGateway {
  const { settings, metrics, decisions } = options;
  const { manifest, router, directory, routing, fleet, platform, claims } = options.parts;
  const getRevision = (): number => manifest.getView()?.revision ?? 0;

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
    reportError: options.reportError,
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
        manifest: { revision: getRevision(), source: manifest.getKnownBy() },
        running: counts.running,
        queued: counts.waiting,
        recovering: counts.recovering,
        limit: counts.limit,
        engines: {
          live: known.filter(({ id }) => !leaving.has(id)).length,
          known: known.length,
          silent: [...routing.getState().silent],
        },
        members: fleet.listLive().length,
        placement: describePlacement(options.parts.placement.getStatus()),
        claim_slot_share: claims.owner.getSlotShare(),
        platform: { held_back: platform.isCircuitOpen(), ...platform.getCounts() },
        peers: { ...fleet.link.readCounts(), garbage: fleet.countMalformedEnvelopes() },
      };
    },
    readDecisions: decisions.read,
    submitManifest: manifest.submit,
    readManifest: manifest.readManifest,
    diffManifest: manifest.diff,
    readHistory: manifest.readHistory,
    describeInForce(revision) {
      const domains = manifest.queryInForce(revision);
      return {
        revision,
        accepted: getRevision() >= revision,
        in_force: domains.length > 0 && domains.every(({ inForce, total }) => inForce === total),
        domains: domains.map(({ domain, total, inForce, behind, age }) => ({
          domain,
          confirmed: inForce,
          total,
          missing: behind.map(({ instance }) => instance),
          age_ms: age,
        })),
      };
    },
  };
}

function describePlacement(status: PlacementStatus): Readonly<Record<string, unknown>> {
  return {
    phase: status.phase,
    fencing: status.fencing,
    orders_under_way: status.ordersUnderWay,
    moves_left: status.movesLeft,
    engines_planned_around: status.enginesPlannedAround,
    tokens_per_second: Object.fromEntries(status.capacities),
  };
}
