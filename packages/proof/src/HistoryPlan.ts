/** The inputs of a simulated run: the fleet, the requests, the manifest changes and the faults. */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { EngineId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { checkManifest } from '@skylarksail/manifest/ManifestCheck';
import type { SpreadMember } from '@skylarksail/manifest/ManifestPeers';
import type { Manifest } from '@skylarksail/manifest/ManifestSchema';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { VirtualEngineSpec } from '@skylarksail/stand-ins/VirtualFleet';

/** Kinds of faults that a schedule can contain. */
export const HistoryFaultKind = {
  EngineCrash: 'engine-crash',
  EngineHang: 'engine-hang',
  EngineSlow: 'engine-slow',
  EngineLeaving: 'engine-leaving',
  LinkCut: 'link-cut',
  LinkSlow: 'link-slow',
  FramesRepeated: 'frames-repeated',
  FramesReordered: 'frames-reordered',
  FramesLost: 'frames-lost',
  FramesLate: 'frames-late',
  FramesGarbage: 'frames-garbage',
  WrongAcknowledgement: 'wrong-acknowledgement',
  InstanceKill: 'instance-kill',
  PlannedStop: 'planned-stop',
  StoreOutage: 'platform-outage',
  LostAnswers: 'lost-answers',
  LateWrites: 'late-writes',
  DomainCut: 'domain-cut',
  ServiceAnswersLost: 'service-answers-lost',
  ServiceDown: 'service-down',
  Poison: 'poison',
  Resend: 'resend',
  HangUp: 'hang-up',
} as const;

export type HistoryFaultName = (typeof HistoryFaultKind)[keyof typeof HistoryFaultKind];

/** One fault. `target`, modulo the number of candidates, selects an engine, instance, domain or request. */
export interface HistoryFault {
  readonly kind: HistoryFaultName;
  readonly at: Millis;
  readonly duration: Millis;
  readonly target: number;
}

/**
 * Kinds of requests, to a model or to a plain service: idempotent, non-idempotent with an idempotency key, or
 * non-idempotent without one.
 */
export const HistoryRequestKind = {
  Model: 'model',
  KeyedModel: 'keyed-model',
  OnceModel: 'once-model',
  Read: 'read',
  KeyedWrite: 'keyed-write',
  OnceWrite: 'once-write',
} as const;

export type HistoryRequestKindName = (typeof HistoryRequestKind)[keyof typeof HistoryRequestKind];

/** A request as its caller sends it the first time. */
export interface HistoryRequest {
  readonly work: HistoryRequestKindName;
  readonly at: Millis;
  readonly tokens: number;
  /** Index of its instance among the ready ones, modulo their number. */
  readonly instance: number;
}

/** The input of one run. */
export interface HistorySchedule {
  readonly seed: number;
  readonly requests: readonly HistoryRequest[];
  /** Times at which manifest changes are submitted; changes close together race. */
  readonly changes: readonly Millis[];
  readonly faults: readonly HistoryFault[];
}

export const HISTORY_DOMAINS = ['d0', 'd1'] as const;
export const HISTORY_MEMBERS: readonly SpreadMember[] = [
  { id: 'd0-0', domain: 'd0' },
  { id: 'd0-1', domain: 'd0' },
  { id: 'd1-0', domain: 'd1' },
];
export const HISTORY_LAYERS = 8;
export const HISTORY_VARIANT = { model: 'notes', version: 'v1', adapter: null };
export const HISTORY_PROMPT_TOKENS = 24;
export const HISTORY_SERVICE = 'accounts';
export const HISTORY_SERVERS: readonly EngineId[] = ['accounts/d0', 'accounts/d1'];
export const HISTORY_ACTIVATION_BYTES = 16384;
/** Deadline of a request, relative to its first send; resends share it. */
export const HISTORY_DEADLINE: Millis = 8000;

const STAGES = [
  { first: 0, end: 4 },
  { first: 4, end: HISTORY_LAYERS },
];
const COPIES = 2;

/** Two engines for each stage in each domain, one of them on a slower accelerator. */
export const HISTORY_ENGINES: readonly VirtualEngineSpec[] = HISTORY_DOMAINS.flatMap((domain) =>
  STAGES.flatMap((layers, stage) =>
    Array.from({ length: COPIES }, (_, copy) => ({
      facts: createFacts(domain, `${domain}-s${stage}-${copy}`, copy),
      holding: { model: 'notes', version: 'v1', adapters: [], layers, duty: 'mixed' as const },
    })),
  ),
);

function createFacts(domain: string, id: EngineId, copy: number): EngineFacts {
  return {
    id,
    domain,
    rack: `${domain}-r${copy}`,
    address: { host: '127.0.0.1', port: 1 },
    accelerator: copy === 0 ? 'fast' : 'slow',
    decodeLayerTokensPerSecond: copy === 0 ? 900 : 600,
    prefillLayerTokensPerSecond: copy === 0 ? 9000 : 6000,
    weightBytes: 8e9,
    kvLayerTokens: 8000,
    maxBatch: 8,
  };
}

/** Returns the member at an index, modulo the number of members. */
export function getHistoryMember(place: number): SpreadMember {
  const member = HISTORY_MEMBERS[place % HISTORY_MEMBERS.length];
  invariant(member, 'a history has members');
  return member;
}

/** Returns the engine at an index, modulo the number of engines. */
export function getHistoryEngine(place: number): EngineFacts {
  const engine = HISTORY_ENGINES[place % HISTORY_ENGINES.length];
  invariant(engine, 'a history has engines');
  return engine.facts;
}

export function getInstanceDomain(instance: InstanceId): string {
  return HISTORY_MEMBERS.find(({ id }) => id === instance)?.domain ?? '';
}

/** Creates the manifest after `change` changes; they differ in a queue limit. */
export function createHistoryManifest(change: number): Manifest {
  const checked = checkManifest({
    schema: 1,
    models: [
      { id: 'notes', layers: HISTORY_LAYERS, versions: [{ id: 'v1', layerBytes: 1 }], serve: 'v1' },
    ],
    teams: [
      {
        id: 'schools',
        keyHashes: [`sha256:${'0'.repeat(64)}`],
        models: ['notes'],
        queueLimit: 64 + change,
      },
    ],
    domains: HISTORY_DOMAINS.map((id) => ({ id, serves: [{ model: 'notes' }] })),
  });
  invariant(checked.ok, 'the manifest of a history is valid');
  return checked.value;
}
