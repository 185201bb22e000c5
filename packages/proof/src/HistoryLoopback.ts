/**
 * Records and checks a history of real daemons over loopback: a stack of processes under seeded faults, with
 * the same checker as in virtual time. It runs in real time and is therefore run by hand, not in CI.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Stack, StackDaemon } from '@skylarksail/bench/StackLauncher';
import { launchStack, waitFor } from '@skylarksail/bench/StackLauncher';
import type { StackSize } from '@skylarksail/bench/StackPlan';
import { DEFAULT_STACK_SIZE, planManifest } from '@skylarksail/bench/StackPlan';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { LayerPass, ServiceEffect } from '@skylarksail/stand-ins/StandInLedger';
import { request } from 'undici';
import { checkHistory } from './HistoryChecker.js';
import { selectEvents } from './HistoryIndex.js';
import { createLoopbackCallers } from './HistoryLoopbackCallers.js';
import { LOOPBACK_FAULTS } from './HistoryLoopbackFaults.js';
import type { HistoryEvent, HistoryViolation } from './HistoryTypes.js';

export interface LoopbackOptions {
  readonly seed: number;
  /** How long callers send requests and faults are injected. */
  readonly seconds: number;
}

/** The outcome of a run over loopback. */
export interface LoopbackResult {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly passes: number;
  readonly effects: number;
  readonly faults: readonly string[];
  readonly violations: readonly HistoryViolation[];
}

/** What the faults of a run over loopback can act on. */
export interface LoopbackWorld {
  readonly stack: Stack;
  readonly random: Random;
  readonly record: (event: HistoryEvent) => void;
  readonly now: () => number;
  /** Daemons that are running and not stopping. */
  readonly listReady: () => readonly StackDaemon[];
  setFault(url: string, fault: Readonly<Record<string, unknown>>): Promise<void>;
  /** Ends a daemon, by a planned stop or a kill, and starts another in its place. */
  replaceDaemon(daemon: StackDaemon, isPlanned: boolean): Promise<void>;
  submitChange(): Promise<void>;
}

const MILLIS = 1000;
const SEND_INTERVAL = 100;
const FAULT_INTERVAL = 1500;
const STATUS_INTERVAL = 200;
const BALANCER_LAG = 200;
const DEADLINE = 60_000;
const SETTLE_TIME = 12_000;
const SERVICE_CALL_SHARE = 0.3;
const DOMAINS = 2;
const DAEMONS_PER_DOMAIN = 2;

/** Runs a stack under seeded faults and checks the recorded history. */
export async function runLoopbackHistory(options: LoopbackOptions): Promise<LoopbackResult> {
  const { seed, seconds } = options;
  const size = {
    ...DEFAULT_STACK_SIZE,
    seed,
    domains: DOMAINS,
    daemonsPerDomain: DAEMONS_PER_DOMAIN,
  };
  const stack = await launchStack(size);
  try {
    return await runOnStack(stack, size, seconds);
  } finally {
    await stack.stop();
  }
}

async function runOnStack(stack: Stack, size: StackSize, seconds: number): Promise<LoopbackResult> {
  const { seed } = size;
  const random = createRandom(seed);
  const events: HistoryEvent[] = [];
  /** Ids of daemons that were killed or have stopped. */
  const gone = new Set<string>();
  /** Ids of daemons that callers do not send to because they are stopping or starting. */
  const outOfRotation = new Set<string>();
  const faults: string[] = [];
  const work: Promise<unknown>[] = [];
  const startedAt = now();
  let changes = 1;
  let hasEnded = false;
  const record = (event: HistoryEvent): void => {
    events.push(event);
  };
  const listReady = (): readonly StackDaemon[] =>
    stack.daemons.filter(({ id }) => !gone.has(id) && !outOfRotation.has(id));

  const world: LoopbackWorld = {
    stack,
    random,
    record,
    now,
    listReady,
    setFault,
    async replaceDaemon(daemon, isPlanned) {
      outOfRotation.add(daemon.id);
      if (isPlanned) {
        const stopped = daemon.process.stop();
        await sleep(BALANCER_LAG);
        record({ kind: 'instance-stopping', at: now(), instance: daemon.id });
        await stopped;
        record({ kind: 'instance-stopped', at: now(), instance: daemon.id });
        gone.add(daemon.id);
      } else {
        gone.add(daemon.id);
        record({ kind: 'instance-killed', at: now(), instance: daemon.id });
        await daemon.process.kill();
      }
      const id = `${daemon.id}r`;
      outOfRotation.add(id);
      const started = await stack.startDaemon(id, daemon.domain);
      record({ kind: 'instance-started', at: now(), instance: id });
      await waitFor(async () => ((await readRevision(started)) ?? 0) > 0, `${id} to be ready`);
      outOfRotation.delete(id);
    },
    async submitChange() {
      changes += 1;
      const path = join(stack.folder, `manifest-${changes}.json`);
      const plan = planManifest(size);
      const teams = plan.teams?.map((team) => ({ ...team, queueLimit: 256 + changes }));
      writeFileSync(path, JSON.stringify({ ...plan, teams }));
      await stack.runCli(['manifest', 'submit', path, '--id', `change-${changes}`]);
    },
  };

  /** Records each new revision at each daemon; its first appearance at any daemon counts as its acceptance. */
  async function watchRevisions(): Promise<void> {
    const known = new Map<string, number>();
    let accepted = 0;
    while (!hasEnded) {
      for (const daemon of stack.daemons.filter(({ id }) => !gone.has(id))) {
        const revision = await readRevision(daemon);
        if (revision !== null && revision !== known.get(daemon.id) && !gone.has(daemon.id)) {
          if (revision > accepted) {
            accepted = revision;
            record({ kind: 'accepted', at: now(), revision });
          }
          known.set(daemon.id, revision);
          record({ kind: 'in-force', at: now(), instance: daemon.id, revision });
        }
      }
      await sleep(STATUS_INTERVAL);
    }
  }

  async function injectFaults(): Promise<void> {
    while (now() < startedAt + seconds * MILLIS) {
      await sleep(FAULT_INTERVAL);
      const [name, inject] = LOOPBACK_FAULTS[random.nextInt(LOOPBACK_FAULTS.length)] ?? [];
      if (name && inject) {
        faults.push(name);
        work.push(inject(world));
      }
    }
  }

  const callers = createLoopbackCallers({
    now,
    record,
    listReady,
    isDead: ({ id }) => gone.has(id),
  });
  stack.daemons.forEach(({ id }) =>
    record({ kind: 'instance-started', at: startedAt, instance: id }),
  );
  const watching = watchRevisions();
  const injecting = injectFaults();
  while (now() < startedAt + seconds * MILLIS) {
    const place = random.nextInt(MILLIS);
    work.push(
      random.nextFloat() < SERVICE_CALL_SHARE
        ? callers.sendServiceRequest(place)
        : callers.sendModelRequest(place),
    );
    await sleep(SEND_INTERVAL);
  }
  await injecting;
  await Promise.all(work);
  await sleep(SETTLE_TIME);
  hasEnded = true;
  await watching;
  const { passes, effects } = await readWork(stack, callers.names, events);
  const all = [...events, ...passes, ...effects].sort((a, b) => a.at - b.at);
  const history: readonly HistoryEvent[] = [...all, { kind: 'end', at: now() + DEADLINE }];
  const count = (kind: HistoryEvent['kind']): number =>
    history.filter((event) => event.kind === kind).length;
  return {
    seed,
    requests: count('submitted'),
    answered: count('answered'),
    refused: count('failed'),
    passes: count('pass'),
    effects: count('effect'),
    faults,
    violations: checkHistory(history),
  };
}

/** Wall clock shared by all processes of the machine; the stand-ins' ledgers use the same one. */
function now(): number {
  return performance.timeOrigin + performance.now();
}

async function setFault(url: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
  try {
    const res = await request(`${url}/faults`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(fault),
    });
    await res.body.dump();
  } catch {
    // The server is already down, so a further fault has no effect.
  }
}

/** Reads the revision in force at a daemon; null if the daemon does not respond or has none. */
async function readRevision({ admin }: StackDaemon): Promise<number | null> {
  try {
    const res = await request(`${admin}/readyz`);
    const body = (await res.body.json()) as { revision?: number };
    return body.revision !== undefined && body.revision > 0 ? body.revision : null;
  } catch {
    return null;
  }
}

/** Reads what engines and services executed, with the names that requests have in the history. */
async function readWork(
  stack: Stack,
  names: ReadonlyMap<string, string>,
  events: readonly HistoryEvent[],
): Promise<{
  readonly passes: readonly HistoryEvent[];
  readonly effects: readonly HistoryEvent[];
}> {
  const passes = (await Promise.all(stack.engines.map(({ url }) => readLedger<LayerPass>(url))))
    .flat()
    .sort((a, b) => a.at - b.at);
  const effects = await Promise.all(
    stack.services.map(({ url }) => readLedger<ServiceEffect>(url)),
  );
  const submittedAt = new Map(
    selectEvents(events, 'submitted').map(({ request: name, at }) => [name, at]),
  );
  const lastAttempts = new Map<string, LayerPass>();
  const taken = new Set<string>();
  const work: HistoryEvent[] = [];
  for (const pass of passes) {
    const name = names.get(pass.request) ?? pass.request;
    const { attempt, token, engine, layers, at } = pass;
    const place = `${name}#${attempt} ${engine}`;
    if (!taken.has(place)) {
      taken.add(place);
      work.push({ kind: 'taken', at, request: name, attempt, engine });
    }
    work.push({ kind: 'pass', at, request: name, attempt, end: token, layers });
    lastAttempts.set(`${name} ${token}`, pass);
  }
  // The ledgers do not record which attempt delivered a token. A later attempt continues after the
  // delivered tokens, so the last attempt that computed a token is the one that delivered it.
  const frames = [...lastAttempts.values()].map(({ request: id, attempt, token }) => ({
    kind: 'frame' as const,
    at: 0,
    request: names.get(id) ?? id,
    attempt,
    index: token,
  }));
  return {
    passes: [...work, ...frames],
    // The ledger contains an effect even if its answer was lost; the effect is then assigned to a request by its key.
    effects: effects.flat().map(({ request: id, key }) => {
      const name = names.get(id) ?? `${key}.0`;
      return { kind: 'effect' as const, at: submittedAt.get(name) ?? 0, request: name };
    }),
  };
}

async function readLedger<T>(url: string): Promise<readonly T[]> {
  const res = await request(`${url}/ledger`);
  const body = (await res.body.json()) as { entries: readonly T[]; dropped: number };
  if (body.dropped > 0) {
    throw new Error(`${url} dropped ${body.dropped} entries of its ledger`);
  }
  return body.entries;
}
