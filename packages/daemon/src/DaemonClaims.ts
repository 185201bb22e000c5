/** Connects the claims of keyed requests on this instance to the store and to the other instances. */
import { randomBytes } from 'node:crypto';
import { z } from 'zod';
import type { ClaimPeerMessage, ClaimPeerReply } from '@skylarksail/claims/ClaimMessages';
import { createProcessName } from '@skylarksail/claims/ClaimMessages';
import type { ClaimOwner } from '@skylarksail/claims/ClaimOwner';
import { createClaimOwner } from '@skylarksail/claims/ClaimOwner';
import type { ClaimRouter } from '@skylarksail/claims/ClaimRouter';
import { createClaimRouter } from '@skylarksail/claims/ClaimRouter';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createCallTopic } from '@skylarksail/membership/MembershipCalls';
import { StoreUse } from '@skylarksail/store/StoreBudget';
import type { StoreClient } from '@skylarksail/store/StoreClient';
import { DaemonError } from './DaemonErrors.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** Number of claim slots of the fleet. It must never change: keys with existing claims would map to other slots. */
export const CLAIM_SLOTS = 64;

/** Timeout of a call to a peer. The claim router has a shorter one, and retries, possibly with another owner. */
const PEER_TIMEOUT: Millis = 5000;

/** Kept short, since each stored claim contains the process name. */
const BOOT_ID_BYTES = 8;

const CLAIM_TOPIC = createCallTopic<ClaimPeerMessage, ClaimPeerReply>('claim');

const recordSchema = z.object({
  run: z.enum(['not-run', 'unknown', 'ran']),
  answer: z.string().nullable(),
});
const slot = z
  .int()
  .min(0)
  .max(CLAIM_SLOTS - 1);
const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim-ask'),
    slot,
    ask: z.object({
      askId: z.string(),
      keyHash: z.string(),
      fingerprint: z.string(),
      stamp: z.number().nullable(),
      timeLeft: z.number(),
    }),
  }),
  z.object({
    kind: z.literal('claim-release'),
    slot,
    askId: z.string(),
    keyHash: z.string(),
  }),
  z.object({ kind: z.literal('claim-settle'), slot, askId: z.string(), record: recordSchema }),
  z.object({ kind: z.literal('claim-query'), askId: z.string() }),
]);

export interface DaemonClaims {
  readonly router: ClaimRouter;
  readonly owner: ClaimOwner;
}

export interface DaemonClaimsOptions {
  readonly instance: string;
  readonly platform: StoreClient;
  readonly fleet: DaemonFleet;
  readonly timers: TimerService;
  readonly random: Random;
  readonly wallNow: () => Millis;
}

export function createDaemonClaims(options: DaemonClaimsOptions): DaemonClaims {
  const { instance, platform, fleet, timers, random, wallNow } = options;
  const bootId = randomBytes(BOOT_ID_BYTES).toString('hex');
  const owner = createClaimOwner({
    processName: createProcessName(instance, bootId),
    platform: platform.forUse(StoreUse.Claims),
    housekeeping: platform.forUse(StoreUse.Housekeeping),
    timers,
    wallClock: wallNow,
    slots: CLAIM_SLOTS,
  });
  const router = createClaimRouter({
    instance,
    bootId,
    owner,
    slots: CLAIM_SLOTS,
    getLiveInstances: fleet.listLive,
    sendToPeer: async (to, message) => {
      const reply = await fleet.calls.call(to, CLAIM_TOPIC, message, PEER_TIMEOUT);
      if (!reply.ok) {
        throw new DaemonError(`claim call to instance ${to} failed: ${reply.error.kind}`);
      }
      return reply.value;
    },
    timers,
    random,
  });
  fleet.calls.registerHandler(CLAIM_TOPIC, (message) =>
    router.handleMessage(messageSchema.parse(message)),
  );
  return { router, owner };
}
