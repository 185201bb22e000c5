/** The simulated fleet of a history: instances with claims and manifests, on fakes that share one virtual clock. */
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { DEFAULT_SLOT_SETTINGS } from '@skylarksail/claims/ClaimSlotTypes';
import type { FakeClaimInstance } from '@skylarksail/claims/FakeClaimFleet';
import { createFakeClaimFleet } from '@skylarksail/claims/FakeClaimFleet';
import type { FakeFleet } from '@skylarksail/manifest/FakeFleet';
import { createFakeFleet } from '@skylarksail/manifest/FakeFleet';
import type { SpreadMember } from '@skylarksail/manifest/ManifestPeers';
import { parseRoot, ROOT_KEY } from '@skylarksail/manifest/ManifestRoot';
import type { FakeStore } from '@skylarksail/store/FakeStore';
import { createFakeStore } from '@skylarksail/store/FakeStore';
import type { VirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import { createVirtualFleet } from '@skylarksail/stand-ins/VirtualFleet';
import type { HistoryCallers } from './HistoryCallers.js';
import {
  createHistoryCallers,
  createHistoryToken,
  HISTORY_POISON_PREFIX,
} from './HistoryCallers.js';
import type { HistoryConditions } from './HistoryConditions.js';
import { createHistoryConditions, getServerDomain, isServerCut } from './HistoryConditions.js';
import { createFaultyCalls } from './HistoryFrames.js';
import type { HistoryInstance } from './HistoryInstance.js';
import { createHistoryInstance } from './HistoryInstance.js';
import {
  getInstanceDomain,
  HISTORY_ACTIVATION_BYTES,
  HISTORY_ENGINES,
  HISTORY_MEMBERS,
  HISTORY_PROMPT_TOKENS,
  HISTORY_SERVERS,
} from './HistoryPlan.js';
import { createServiceCalls } from './HistoryService.js';
import type { HistoryEvent } from './HistoryTypes.js';

/** A running instance and its claims. */
export interface HistoryProcess {
  readonly instance: HistoryInstance;
  readonly claims: FakeClaimInstance;
  /** The instance has a manifest, and the load balancer sends it requests. */
  isReady: boolean;
  isStopping: boolean;
}

/** The fleet, and the recorded events. */
export interface HistoryWorld {
  readonly timers: VirtualTimers;
  readonly random: Random;
  readonly platform: FakeStore;
  readonly manifests: FakeFleet;
  readonly engines: VirtualFleet;
  readonly callers: HistoryCallers;
  readonly conditions: HistoryConditions;
  readonly events: readonly HistoryEvent[];
  readonly processes: ReadonlyMap<InstanceId, HistoryProcess>;
  record(event: HistoryEvent): void;
  startProcess(member: SpreadMember): void;
  /** Ends a process at once, with its claims and its manifest runner. */
  endProcess(id: InstanceId, kind: 'instance-killed' | 'instance-stopped'): void;
}

const ENTRY_DELAY: Millis = 0.3;
const KV_BYTES_PER_LAYER = 1024;
const LINK_BYTES_PER_SECOND = 2e8;
const SAME_DOMAIN_DELAY: Millis = 0.1;
const CROSS_DOMAIN_DELAY: Millis = 0.6;
const SLOTS = 2;
const GOSSIP_PERIOD: Millis = 200;

/** Creates a fleet without running instances. */
export function createHistoryWorld(seed: number): HistoryWorld {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const events: HistoryEvent[] = [];
  const processes = new Map<InstanceId, HistoryProcess>();
  const conditions = createHistoryConditions();
  const platform = createFakeStore({ timers, random });
  const record = (event: HistoryEvent): void => {
    events.push(event);
  };

  const engines = createVirtualFleet({
    timers,
    engines: HISTORY_ENGINES,
    getLink: (from, to) => ({
      key: `${from.id}>${to.id}`,
      bytesPerSecond: LINK_BYTES_PER_SECOND,
      delayMs: from.domain === to.domain ? SAME_DOMAIN_DELAY : CROSS_DOMAIN_DELAY,
    }),
    activationBytes: HISTORY_ACTIVATION_BYTES,
    kvBytesPerLayer: KV_BYTES_PER_LAYER,
    entryDelayMs: ENTRY_DELAY,
    readPrompt: () => ({ tokens: HISTORY_PROMPT_TOKENS, prefixKey: null, prefixTokens: 0 }),
    createToken: (call, index) => createHistoryToken(call.prompt, index),
    isPoison: (call) => call.prompt.startsWith(HISTORY_POISON_PREFIX),
    onRecord: (work) => record({ ...work, at: timers.now() }),
  });

  const claimFleet = createFakeClaimFleet({
    timers,
    random,
    platform,
    slots: SLOTS,
    settings: { ...DEFAULT_SLOT_SETTINGS, batchInterval: 50 },
  });
  claimFleet.setLoss((from, to) =>
    conditions.arePartitioned(getInstanceDomain(from), getInstanceDomain(to)),
  );

  const manifests = createFakeFleet({
    timers,
    random,
    platform,
    members: HISTORY_MEMBERS,
    onInForce(instance, revision) {
      record({ kind: 'in-force', at: timers.now(), instance, revision });
      timers.registerTimeout(0, () => applyManifest(instance));
    },
  });

  function applyManifest(id: InstanceId): void {
    const process = processes.get(id);
    const view = manifests.getView(id);
    if (process && view) {
      process.instance.setManifest(view);
      process.isReady = !process.isStopping;
    }
  }

  const callers = createHistoryCallers({
    timers,
    record,
    listReady: () =>
      [...processes.values()].filter(({ isReady }) => isReady).map(({ instance }) => instance),
  });

  function startProcess(self: SpreadMember): void {
    const isCut = (server: string): boolean => isServerCut(conditions, self.id, server);
    const claims = claimFleet.start(self.id);
    const instance = createHistoryInstance({
      self,
      seed: random.nextInt(2 ** 30),
      timers,
      engines,
      claims: claims.router,
      openEngineCall: createFaultyCalls({
        open: engines.open,
        timers,
        random,
        hasFault: (kind) => conditions.affectsInstance(kind, self.id),
        isCut,
        onFrame: (request, attempt, index) =>
          record({ kind: 'frame', at: timers.now(), request, attempt, index }),
      }),
      openServiceCall: createServiceCalls({
        timers,
        hasFault: conditions.has,
        isCut,
        onEffect: (request) => record({ kind: 'effect', at: timers.now(), request }),
      }),
      chooseServer(_service, avoid) {
        const servers = HISTORY_SERVERS.filter((id) => !avoid.includes(id));
        const chosen = servers.find((id) => getServerDomain(id) === self.domain) ?? servers[0];
        return chosen === undefined ? null : { server: chosen, release: () => undefined };
      },
      isCut,
      onDecision({ decision, request }) {
        if (decision === 'fail' || decision === 'refuse') {
          record({ kind: 'given-up', at: timers.now(), request });
        }
      },
    });
    processes.set(self.id, { instance, claims, isReady: false, isStopping: false });
    record({ kind: 'instance-started', at: timers.now(), instance: self.id });
    manifests.start(self.id);
  }

  function endProcess(id: InstanceId, kind: 'instance-killed' | 'instance-stopped'): void {
    const process = processes.get(id);
    if (process) {
      record({ kind, at: timers.now(), instance: id });
      processes.delete(id);
      process.instance.kill();
      process.claims.kill();
      manifests.kill(id);
      callers.noteKilled(id);
    }
  }

  function gossip(): void {
    const instances = [...processes.values()].map(({ instance }) => instance);
    for (const from of instances) {
      instances
        .filter((to) => to !== from && !conditions.arePartitioned(from.self.domain, to.self.domain))
        .forEach((to) => to.mergePoison(from.getPoisonDigest()));
    }
  }

  platform.store.registerChange(ROOT_KEY, ({ value }) => {
    const root = value === null ? null : parseRoot(value);
    if (root?.ok) {
      record({ kind: 'accepted', at: timers.now(), revision: root.value.revision });
    }
  });
  timers.registerInterval(GOSSIP_PERIOD, gossip);
  return {
    timers,
    random,
    platform,
    manifests,
    engines,
    callers,
    conditions,
    events,
    processes,
    record,
    startProcess,
    endProcess,
  };
}
