/** The stand-in platform's calls for leases, with their faults, and a record of each call. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { FaultInjector } from './StandInFaults.js';
import type { GrantRecord, StandInLeases } from './StandInLeases.js';

/** What a call asks for. */
export const LeaseCallKind = { Acquire: 'acquire', Renew: 'renew', Release: 'release' } as const;
export type LeaseCallKindName = (typeof LeaseCallKind)[keyof typeof LeaseCallKind];

/** What became of a call. */
export const LeaseCallFate = {
  Answered: 'answered',
  /** Answered as unavailable, without an effect. */
  Refused: 'refused',
  /** Connection closed, without an effect. */
  Cut: 'cut',
  /** No answer and no effect; the connection stays open. */
  Silence: 'silence',
  /** Carried out, and the connection closed. */
  AnswerLost: 'answer-lost',
} as const;
export type LeaseCallFateName = (typeof LeaseCallFate)[keyof typeof LeaseCallFate];

/** A call for a lease. */
export interface LeaseCallRecord {
  readonly kind: LeaseCallKindName;
  readonly key: string;
  readonly holder: string;
  /** Arrival, in milliseconds since 1970. */
  readonly at: Millis;
  readonly answeredAt: Millis;
  readonly fate: LeaseCallFateName;
  /** Null if the call had no effect and no answer. */
  readonly status: number | null;
}

export interface LeaseRoutesOptions {
  readonly leases: StandInLeases;
  readonly faults: FaultInjector;
  /** Applies the faults of all calls; true if the connection must be closed without an effect. */
  readonly applyFaults: () => Promise<boolean>;
  /** Milliseconds since 1970. */
  readonly now: () => Millis;
  readonly onCall: (call: LeaseCallRecord) => void;
}

interface LeaseCall {
  readonly kind: LeaseCallKindName;
  readonly key: string;
  readonly holder: string;
  /** Carries the call out. */
  readonly apply: () => LeaseAnswer;
}

interface LeaseAnswer {
  readonly status: number;
  readonly json: object;
}

const STATUS_OK = 200;
const STATUS_LAPSED = 410;
const STATUS_HELD = 423;
const STATUS_UNAVAILABLE = 503;
const LEASE_PATH = '/v1/leases/*';

const leaseSchema = z.strictObject({ holder: z.string().min(1), ttlMs: z.number().positive() });
const fencingSchema = z.strictObject({ holder: z.string().min(1), fencing: z.int() });
const querySchema = z.strictObject({ holder: z.string().min(1), fencing: z.coerce.number().int() });

/** Registers the calls that acquire, renew and release leases. */
export function registerLeaseRoutes(
  app: FastifyInstance,
  { leases, faults, applyFaults, now, onCall }: LeaseRoutesOptions,
): void {
  async function handle(call: LeaseCall, reply: FastifyReply): Promise<FastifyReply> {
    const at = now();
    const { fate, answer } = await carryOut(call);
    const { kind, key, holder } = call;
    onCall({ kind, key, holder, at, answeredAt: now(), fate, status: answer?.status ?? null });
    return sendOrLose(reply, fate, answer);
  }

  async function carryOut(
    call: LeaseCall,
  ): Promise<{ readonly fate: LeaseCallFateName; readonly answer: LeaseAnswer | null }> {
    if ((await applyFaults()) || faults.consume('lease-cut')) {
      return { fate: LeaseCallFate.Cut, answer: null };
    }
    if (faults.consume('lease-silence')) {
      return { fate: LeaseCallFate.Silence, answer: null };
    }
    if (faults.consume('lease-refuse')) {
      return {
        fate: LeaseCallFate.Refused,
        answer: { status: STATUS_UNAVAILABLE, json: {} },
      };
    }
    const answer = call.apply();
    const isLost =
      answer.status === STATUS_OK &&
      (faults.consume('drop-answer') ?? faults.consume('lease-drop-answer')) !== null;
    return { fate: isLost ? LeaseCallFate.AnswerLost : LeaseCallFate.Answered, answer };
  }

  app.post(LEASE_PATH, (req, reply) => {
    const key = getKey(req);
    const { holder, ttlMs } = leaseSchema.parse(req.body);
    const apply = (): LeaseAnswer => {
      const grant = leases.acquire(key, holder, ttlMs);
      return grant
        ? answerGrant(grant)
        : { status: STATUS_HELD, json: { holder: leases.read(key)?.holder } };
    };
    return handle({ kind: LeaseCallKind.Acquire, key, holder, apply }, reply);
  });
  app.put(LEASE_PATH, (req, reply) => {
    const key = getKey(req);
    const { holder, fencing } = fencingSchema.parse(req.body);
    const apply = (): LeaseAnswer => {
      const grant = leases.renew(key, holder, fencing);
      return grant ? answerGrant(grant) : { status: STATUS_LAPSED, json: {} };
    };
    return handle({ kind: LeaseCallKind.Renew, key, holder, apply }, reply);
  });
  app.delete(LEASE_PATH, (req, reply) => {
    const key = getKey(req);
    const { holder, fencing } = querySchema.parse(req.query);
    const apply = (): LeaseAnswer => ({
      status: leases.release(key, holder, fencing) ? STATUS_OK : STATUS_LAPSED,
      json: {},
    });
    return handle({ kind: LeaseCallKind.Release, key, holder, apply }, reply);
  });
}

function getKey(req: FastifyRequest): string {
  return (req.params as { readonly '*': string })['*'];
}

function answerGrant({ key, holder, fencing, ttlMs }: GrantRecord): LeaseAnswer {
  return { status: STATUS_OK, json: { key, holder, fencing, ttl: ttlMs } };
}

function sendOrLose(
  reply: FastifyReply,
  fate: LeaseCallFateName,
  answer: LeaseAnswer | null,
): FastifyReply {
  if (fate === LeaseCallFate.Silence) {
    reply.hijack();
    return reply;
  }
  if (fate === LeaseCallFate.Cut || fate === LeaseCallFate.AnswerLost || !answer) {
    reply.raw.destroy();
    return reply;
  }
  return reply.code(answer.status).send(answer.json);
}
