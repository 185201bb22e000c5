/** Exchanges reports of poison requests, which crash engines, between the instances of all domains. */
import { z } from 'zod';
import type { DomainMember } from '@skylarksail/core/CoreSelection';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Unregister } from '@skylarksail/core/CoreTypes';
import { createCallTopic } from '@skylarksail/membership/MembershipCalls';
import type { PoisonDigest } from '@skylarksail/requests/RequestPoison';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import { startCrashExchange } from '@skylarksail/requests/RouterCrashExchange';
import type { DaemonFleet } from './DaemonFleet.js';

const MAX_REPORTS = 256;
const MAX_NAMES = 4096;

const CRASHES_TOPIC = createCallTopic<PoisonDigest, null>('crashes');

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
        completed: nameListSchema,
        parts: nameListSchema.optional(),
        begunParts: nameListSchema.optional(),
      }),
    )
    .max(MAX_REPORTS),
});

export interface DaemonPoisonOptions {
  readonly fleet: DaemonFleet;
  readonly router: RequestRouter;
  readonly timers: TimerService;
}

/** Starts the exchange. */
export function startDaemonPoison({ fleet, router, timers }: DaemonPoisonOptions): Unregister {
  const undo = [
    // Invalid reports are answered with an error, so they are not confirmed.
    fleet.calls.registerHandler(CRASHES_TOPIC, (digest) => {
      router.mergePoison(digestSchema.parse(digest));
      return null;
    }),
    startCrashExchange<DomainMember>({
      timers,
      self: fleet.membership.getState().self,
      router,
      listInstances: () => fleet.membership.getLiveInstances(),
      sendCrashReports: async ({ id }, digest, timeout) => {
        const reply = await fleet.calls.call(id, CRASHES_TOPIC, digest, timeout);
        return reply.ok;
      },
    }),
  ];
  return () => undo.forEach((stop) => stop());
}
