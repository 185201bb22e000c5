/** Runs the manifest's state machine of one instance with its platform client, peers and timers. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StoreOutcome, StorePort } from '@skylarksail/store/StorePort';
import { mapBounded } from './ManifestCalls.js';
import type { ChunkRef } from './ManifestChunks.js';
import { matchesChunkHash } from './ManifestChunks.js';
import type { SpreadMessage } from './ManifestMessages.js';
import { parseSpreadMessage } from './ManifestMessages.js';
import type { SpreadMember } from './ManifestPeers.js';
import { parseStoredRoot } from './ManifestReader.js';
import type { ManifestRoot } from './ManifestRoot.js';
import { getChunkKey, ROOT_KEY } from './ManifestRoot.js';
import { createSpread, stepSpread } from './ManifestSpread.js';
import type {
  RootReading,
  SpreadEffect,
  SpreadEvent,
  SpreadSettings,
  SpreadState,
} from './ManifestSpreadTypes.js';
import { DEFAULT_SPREAD_SETTINGS } from './ManifestSpreadTypes.js';
import type { HeldManifest, ManifestView } from './ManifestView.js';
import { createManifestView } from './ManifestView.js';

const TICK_PERIOD: Millis = 100;
const READ_TIMEOUT: Millis = 5000;
const WATCH_TIMEOUT: Millis = 10_000;
/** Timeout of each try to read a chunk: the first detects a lost call soon, the last allows for seconds of latency. */
const CHUNK_TIMEOUTS: readonly Millis[] = [250, 1000, 5000];

/** Dependencies and settings of the runner of one instance. */
export interface ManifestRunnerOptions {
  readonly self: SpreadMember;
  readonly members: readonly SpreadMember[];
  readonly platform: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly settings?: SpreadSettings;
  /** Best-effort delivery: a message may be lost, delayed or duplicated. */
  readonly sendToPeer: (to: InstanceId, message: SpreadMessage) => void;
  /** Called whenever a revision comes into force, with the views of it and of the previous one. */
  readonly onInForce?: (view: ManifestView, previous: ManifestView | null) => void;
}

export interface ManifestRunner {
  /** The view for new requests; null until a revision is in force. */
  getView(): ManifestView | null;
  getState(): SpreadState;
  /** Handles input from a peer; anything that is not a valid message is dropped and counted. */
  receiveMessage(from: InstanceId, input: unknown): void;
  changeMembers(members: readonly SpreadMember[]): void;
  /** Handles a submission accepted through this instance; see `SubmitOptions.onAccepted`. */
  learnAccepted(root: ManifestRoot, chunks: ReadonlyMap<ChunkRef, string>): void;
  /** Queries every domain for the instances with a revision in force; see `listInForce` for the answers. */
  queryInForce(revision: number): void;
  /** Stops the runner permanently. */
  stop(): void;
}

/** Starts the distribution of the manifest to one instance. */
export function startManifestRunner(options: ManifestRunnerOptions): ManifestRunner {
  const { platform, timers, random, sendToPeer } = options;
  const ctx = { settings: options.settings ?? DEFAULT_SPREAD_SETTINGS, random };
  const queue: SpreadEvent[] = [];
  let state = createSpread(options.self, options.members);
  let view: ManifestView | null = null;
  let isStepping = false;
  let isStopped = false;

  /** Queues events that arise during a step, so that steps never nest. */
  function enqueue(event: SpreadEvent): void {
    queue.push(event);
    if (isStepping) {
      return;
    }
    isStepping = true;
    try {
      for (let next = queue.shift(); next && !isStopped; next = queue.shift()) {
        const step = stepSpread(ctx, state, next);
        state = step.state;
        step.effects.forEach(runEffect);
      }
    } finally {
      isStepping = false;
    }
  }

  function runEffect(effect: SpreadEffect): void {
    switch (effect.type) {
      case 'send':
        sendToPeer(effect.to, effect.message);
        break;
      case 'apply':
        applyManifest(effect.manifest);
        break;
      case 'watch-root':
        void readRootVia('watch', () =>
          platform.watch(ROOT_KEY, effect.known, { timeout: WATCH_TIMEOUT }),
        );
        break;
      case 'read-root':
        void readRootVia('poll', () => platform.get(ROOT_KEY, { timeout: READ_TIMEOUT }));
        break;
      case 'read-chunks':
        void readChunks(effect.body, effect.refs);
        break;
      default:
    }
  }

  function applyManifest(manifest: HeldManifest): void {
    const previous = view;
    view = createManifestView(manifest, previous);
    options.onInForce?.(view, previous);
  }

  async function readRootVia(
    via: 'watch' | 'poll',
    read: () => Promise<StoreOutcome<StoreEntry>>,
  ): Promise<void> {
    const reading = toRootReading(await read());
    enqueue({ type: 'root-read', at: timers.now(), via, reading });
  }

  async function readChunks(body: ChunkRef, refs: readonly ChunkRef[]): Promise<void> {
    const chunks = new Map<ChunkRef, string>();
    await mapBounded(refs, async (ref) => {
      const text = await readChunkText(ref);
      if (text !== null && matchesChunkHash(ref, text)) {
        chunks.set(ref, text);
      }
    });
    enqueue({ type: 'chunks-read', at: timers.now(), body, chunks });
  }

  async function readChunkText(ref: ChunkRef): Promise<string | null> {
    for (const timeout of CHUNK_TIMEOUTS) {
      const outcome = await platform.get(getChunkKey(ref), { timeout });
      if (outcome.kind !== 'unknown') {
        return outcome.kind === 'done' ? outcome.value.value : null;
      }
    }
    return null;
  }

  const stopTicks: Unregister = timers.registerInterval(TICK_PERIOD, () =>
    enqueue({ type: 'tick', at: timers.now() }),
  );
  enqueue({ type: 'started', at: timers.now() });

  return {
    getView: () => view,
    getState: () => state,
    receiveMessage(from, input) {
      const parsed = parseSpreadMessage(input);
      enqueue(
        parsed.ok
          ? { type: 'message', at: timers.now(), from, message: parsed.value }
          : { type: 'garbage', at: timers.now(), from },
      );
    },
    changeMembers: (members) => enqueue({ type: 'members-changed', at: timers.now(), members }),
    learnAccepted: (root, chunks) => enqueue({ type: 'accepted', at: timers.now(), root, chunks }),
    queryInForce: (revision) => enqueue({ type: 'digest-wanted', at: timers.now(), revision }),
    stop() {
      isStopped = true;
      stopTicks();
    },
  };
}

function toRootReading(outcome: StoreOutcome<StoreEntry>): RootReading {
  if (outcome.kind !== 'done') {
    return { kind: 'failed' };
  }
  const { revision, value } = outcome.value;
  const stored = parseStoredRoot(revision, value);
  return stored.ok ? { kind: 'read', ...stored.value } : { kind: 'failed' };
}
