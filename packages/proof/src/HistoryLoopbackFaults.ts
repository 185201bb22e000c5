/** Faults of a history over loopback: through the stand-ins' `/faults`, and by signals to daemons. */
import type { StackServer } from '@skylarksail/bench/StackLauncher';
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackWorld } from './HistoryLoopback.js';

type InjectLoopbackFault = (world: LoopbackWorld) => Promise<void>;

const SHORT = 1500;
const LONG = 3000;
const SLOW_FACTOR = 10;
const FRAMES = 5;
const LEAST_READY = 2;

/** Faults by name; one of them is drawn at a time. */
export const LOOPBACK_FAULTS: readonly (readonly [string, InjectLoopbackFault])[] = [
  ['engine-crash', (world) => strikeEngine(world, { kind: 'crash', ms: SHORT })],
  ['engine-hang', (world) => strikeEngine(world, { kind: 'hang', ms: SHORT })],
  ['engine-slow', (world) => strikeEngine(world, { kind: 'slow', ms: LONG, factor: SLOW_FACTOR })],
  ['frames-repeated', (world) => strikeEngine(world, { kind: 'duplicate-frames', count: FRAMES })],
  ['frames-reordered', (world) => strikeEngine(world, { kind: 'reorder-frames', count: 2 })],
  ['frames-garbage', (world) => strikeEngine(world, { kind: 'garbage', count: 1 })],
  ['engine-leaving', leaveEngine],
  ['service-answer-lost', (world) => strikeServices(world, { kind: 'drop-answer', count: 2 })],
  ['service-hang', (world) => strikeServices(world, { kind: 'hang', ms: SHORT })],
  ['platform-outage', (world) => strikePlatform(world, { kind: 'outage', ms: LONG })],
  ['lost-answers', (world) => strikePlatform(world, { kind: 'drop-answer', count: FRAMES })],
  ['late-writes', (world) => strikePlatform(world, { kind: 'late-effect', count: FRAMES })],
  ['instance-kill', (world) => endDaemon(world, false)],
  ['planned-stop', (world) => endDaemon(world, true)],
  ['change', (world) => world.submitChange()],
];

function pick<T>({ random }: LoopbackWorld, elements: readonly T[]): T | undefined {
  return elements[random.nextInt(Math.max(1, elements.length))];
}

async function strike(
  world: LoopbackWorld,
  servers: readonly StackServer[],
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  const server = pick(world, servers);
  if (server) {
    await world.setFault(server.url, fault);
  }
}

function strikeEngine(
  world: LoopbackWorld,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return strike(world, world.stack.engines, fault);
}

function strikeServices(
  world: LoopbackWorld,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return strike(world, world.stack.services, fault);
}

async function leaveEngine(world: LoopbackWorld): Promise<void> {
  const engine = pick(world, world.stack.engines);
  if (engine) {
    await world.setFault(engine.url, { kind: 'leaving' });
    world.record({ kind: 'engine-leaving', at: world.now(), engine: engine.id });
  }
}

async function strikePlatform(
  world: LoopbackWorld,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  world.record({ kind: 'config-fault', at: world.now(), isFailing: true });
  await world.setFault(world.stack.platform, fault);
  await sleep(LONG);
  world.record({ kind: 'config-fault', at: world.now(), isFailing: false });
}

/** Ends a daemon, unless too few would be left to take its callers. */
async function endDaemon(world: LoopbackWorld, isPlanned: boolean): Promise<void> {
  const ready = world.listReady();
  const daemon = pick(world, ready);
  if (daemon && ready.length > LEAST_READY) {
    await world.replaceDaemon(daemon, isPlanned);
  }
}
