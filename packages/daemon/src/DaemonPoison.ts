/** Exchanges reports of poison requests, which crash engines, between the instances of a domain. */
import { z } from 'zod';
import type { Random } from '@skylarksail/core/CoreRandom';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { DaemonFleet } from './DaemonFleet.js';

/** Kept short, since the caller may resend the request to another instance soon after the crash. */
const UPDATE_PERIOD: Millis = 200;
const EXCHANGE_PERIOD: Millis = 10_000;
const MAX_REPORTS = 256;
const MAX_NAMES = 4096;

const POISON_TOPIC = createNoticeTopic<PoisonDigest>('poison');

const nameListSchema = z.array(z.string().max(200)).max(MAX_NAMES);
const digestSchema = z.object({
  reports: z
    .array(
      z.object({
        crash: z.string().max(400),
        age: z.number().min(0),
        disproven: z.boolean(),
        suspects: nameListSchema,
        cleared: nameListSchema,
        // Instances of an earlier version send none.
        completed: nameListSchema.default([]),
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

/** Starts the exchange. Updates go to the whole domain; periodic messages to a random peer replace lost ones. */
export function startDaemonPoison(options: DaemonPoisonOptions): Unregister {
  const { self, fleet, router, timers, random } = options;
  let sentVersion = '';

  function listPeers(): readonly string[] {
    return fleet.listOwnDomain().filter((id) => id !== self);
  }

  function send(peers: readonly string[]): void {
    const digest = router.getPoisonDigest();
    if (digest.reports.length > 0) {
      peers.forEach((peer) => fleet.calls.notify(peer, POISON_TOPIC, digest));
    }
  }

  function sendUpdates(): void {
    const version = computeVersion(router.getPoisonDigest());
    if (version !== sentVersion) {
      sentVersion = version;
      send(listPeers());
    }
  }

  const undo = [
    fleet.calls.registerNotice(POISON_TOPIC, (payload) => {
      const parsed = digestSchema.safeParse(payload);
      if (parsed.success && router.mergePoison(parsed.data)) {
        // The sender has sent this update to the whole domain already, so it is not forwarded.
        sentVersion = computeVersion(router.getPoisonDigest());
      }
    }),
    timers.registerInterval(UPDATE_PERIOD, sendUpdates),
    timers.registerInterval(EXCHANGE_PERIOD, () => send(sampleElements(random, listPeers(), 1))),
  ];
  return () => undo.forEach((stop) => stop());
}

/** A string that changes when reports are added or their sets grow; ages are excluded, since they always change. */
function computeVersion({ reports }: PoisonDigest): string {
  return reports
    .map(
      ({ crash, disproven, suspects, cleared, completed }) =>
        `${crash}/${disproven ? 1 : 0}/${suspects.length}/${cleared.length}/${completed.length}`,
    )
    .join(' ');
}
