/** Faults of a run over loopback: requests to the stand-ins' `/faults`, and signals to daemons. */
import type { StackServer } from '@skylarksail/bench/StackLauncher';
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackWorld } from './HistoryLoopback.js';

type InjectLoopbackFault = (world: LoopbackWorld) => Promise<void>;

const SHORT_FAULT = 1500;
const LONG_FAULT = 3000;
const SLOW_FACTOR = 10;
const FAULT_COUNT = 5;
const MIN_READY = 2;

/** Faults by name; each injection picks one at random. */
export const LOOPBACK_FAULTS: readonly (readonly [string, InjectLoopbackFault])[] = [
  ['engine-crash', (world) => injectEngineFault(world, { kind: 'crash', ms: SHORT_FAULT })],
  ['engine-hang', (world) => injectEngineFault(world, { kind: 'hang', ms: SHORT_FAULT })],
  [
    'engine-slow',
    (world) => injectEngineFault(world, { kind: 'slow', ms: LONG_FAULT, factor: SLOW_FACTOR }),
  ],
  [
    'frames-repeated',
    (world) => injectEngineFault(world, { kind: 'duplicate-frames', count: FAULT_COUNT }),
  ],
  ['frames-reordered', (world) => injectEngineFault(world, { kind: 'reorder-frames', count: 2 })],
  ['frames-garbage', (world) => injectEngineFault(world, { kind: 'garbage', count: 1 })],
  ['engine-leaving', startEngineLeaving],
  ['service-answer-lost', (world) => injectServiceFault(world, { kind: 'drop-answer', count: 2 })],
  ['service-hang', (world) => injectServiceFault(world, { kind: 'hang', ms: SHORT_FAULT })],
  ['platform-outage', (world) => injectPlatformFault(world, { kind: 'outage', ms: LONG_FAULT })],
  [
    'lost-answers',
    (world) => injectPlatformFault(world, { kind: 'drop-answer', count: FAULT_COUNT }),
  ],
  [
    'late-writes',
    (world) => injectPlatformFault(world, { kind: 'late-effect', count: FAULT_COUNT }),
  ],
  ['instance-kill', (world) => replaceOneDaemon(world, false)],
  ['planned-stop', (world) => replaceOneDaemon(world, true)],
  ['change', (world) => world.submitChange()],
];

function pick<T>({ random }: LoopbackWorld, elements: readonly T[]): T | undefined {
  return elements[random.nextInt(Math.max(1, elements.length))];
}

async function injectFault(
  world: LoopbackWorld,
  servers: readonly StackServer[],
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  const server = pick(world, servers);
  if (server) {
    await world.setFault(server.url, fault);
  }
}

function injectEngineFault(
  world: LoopbackWorld,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return injectFault(world, world.stack.engines, fault);
}

function injectServiceFault(
  world: LoopbackWorld,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return injectFault(world, world.stack.services, fault);
}

async function startEngineLeaving(world: LoopbackWorld): Promise<void> {
  const engine = pick(world, world.stack.engines);
  if (engine) {
    await world.setFault(engine.url, { kind: 'leaving' });
    world.record({ kind: 'engine-leaving', at: world.now(), engine: engine.id });
  }
}

async function injectPlatformFault(
  world: LoopbackWorld,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  world.record({ kind: 'config-fault', at: world.now(), isFailing: true });
  await world.setFault(world.stack.platform, fault);
  await sleep(LONG_FAULT);
  world.record({ kind: 'config-fault', at: world.now(), isFailing: false });
}

/** Replaces a random daemon, unless too few would be left to serve the callers meanwhile. */
async function replaceOneDaemon(world: LoopbackWorld, isPlanned: boolean): Promise<void> {
  const ready = world.listReady();
  const daemon = pick(world, ready);
  if (daemon && ready.length > MIN_READY) {
    await world.replaceDaemon(daemon, isPlanned);
  }
}
