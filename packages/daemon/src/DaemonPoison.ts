/** Carries what is known of requests that crash engines between the instances of a domain. */
import { z } from 'zod';
import type { Random } from '@skylarksail/core/CoreRandom';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { DaemonFleet } from './DaemonFleet.js';

/** A caller's resend may reach another instance this soon after the crash and find it unaware. */
const NEWS_PERIOD: Millis = 200;
const REPAIR_PERIOD: Millis = 10_000;
const MAX_REPORTS = 256;
const MAX_NAMES = 4096;

const POISON_TOPIC = createNoticeTopic<PoisonDigest>('poison');

const names = z.array(z.string().max(200)).max(MAX_NAMES);
const digestSchema = z.object({
  reports: z
    .array(
      z.object({
        crash: z.string().max(400),
        age: z.number().min(0),
        disproven: z.boolean(),
        suspects: names,
        cleared: names,
      }),
    )
    .max(MAX_REPORTS),
});

export interface DaemonPoisonOptions {
  readonly self: string;
  readonly fleet: DaemonFleet;
  readonly router: RequestRouter;
  readonly timers: TimerService;
  readonly random: Random;
}

/** Starts it. News goes to all of the domain at once; what was lost is repaired by random exchange. */
export function startDaemonPoison(options: DaemonPoisonOptions): Unregister {
  const { self, fleet, router, timers, random } = options;
  let toldVersion = '';

  function listPeers(): readonly string[] {
    return fleet.listOwnDomain().filter((id) => id !== self);
  }

  function send(peers: readonly string[]): void {
    const digest = router.getPoisonDigest();
    if (digest.reports.length > 0) {
      peers.forEach((peer) => fleet.calls.notify(peer, POISON_TOPIC, digest));
    }
  }

  function tellNews(): void {
    const version = describeVersion(router.getPoisonDigest());
    if (version !== toldVersion) {
      toldVersion = version;
      send(listPeers());
    }
  }

  const undo = [
    fleet.calls.registerNotice(POISON_TOPIC, (payload) => {
      const parsed = digestSchema.safeParse(payload);
      if (parsed.success && router.mergePoison(parsed.data)) {
        // The sender has told the whole domain; telling it again would only repeat that.
        toldVersion = describeVersion(router.getPoisonDigest());
      }
    }),
    timers.registerInterval(NEWS_PERIOD, tellNews),
    timers.registerInterval(REPAIR_PERIOD, () => send(sampleElements(random, listPeers(), 1))),
  ];
  return () => undo.forEach((stop) => stop());
}

/** Changes when the sets grow; ages are left out, since they change all the time. */
function describeVersion({ reports }: PoisonDigest): string {
  return reports
    .map(
      ({ crash, disproven, suspects, cleared }) =>
        `${crash}/${disproven ? 1 : 0}/${suspects.length}/${cleared.length}`,
    )
    .join(' ');
}
