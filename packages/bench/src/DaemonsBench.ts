/**
 * Measures what real daemons cost while no requests arrive: CPU, memory, bytes sent to peers and calls
 * to the platform, at several fleet sizes. The control bench measures larger fleets without processes.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { readCpuSeconds, readResidentBytes } from './BenchProcess.js';
import type { Stack } from './StackLauncher.js';
import { launchStack } from './StackLauncher.js';
import { DEFAULT_STACK_SIZE } from './StackPlan.js';

export interface DaemonsOptions {
  readonly seed: number;
  /** Fleet sizes in daemons, each spread over three domains. */
  readonly sizes?: readonly number[];
}

/** Output line of one fleet size; costs are the mean of a daemon unless noted. */
export interface DaemonsLine {
  readonly bench: 'daemons';
  readonly nodes: number;
  readonly engines: number;
  readonly cpu_pct: number;
  readonly rss_mb: number;
  readonly rss_max_mb: number;
  readonly peer_bytes_s: number;
  /** Platform calls of the whole fleet. */
  readonly platform_calls_s: number;
}

interface Counts {
  readonly cpu: number;
  readonly peerBytes: number;
  readonly platformCalls: number;
}

const SIZES = [3, 6, 12, 24];
const DOMAINS = 3;
const SETTLE_MS = 6000;
const MEASURE_MS = 5000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Measures the fleet sizes one after another and prints a line for each. */
export async function runDaemonsBench(
  { seed, sizes = SIZES }: DaemonsOptions,
  print: (line: DaemonsLine) => void,
): Promise<void> {
  for (const nodes of sizes) {
    const stack = await launchStack({
      ...DEFAULT_STACK_SIZE,
      seed,
      domains: DOMAINS,
      daemonsPerDomain: Math.ceil(nodes / DOMAINS),
    });
    try {
      print(await measureIdle(stack));
    } finally {
      await stack.stop();
    }
  }
}

async function measureIdle(stack: Stack): Promise<DaemonsLine> {
  const nodes = stack.daemons.length;
  await sleep(SETTLE_MS);
  const startedAt = performance.now();
  const before = await readCounts(stack);
  await sleep(MEASURE_MS);
  const after = await readCounts(stack);
  const seconds = (performance.now() - startedAt) / 1000;
  const resident = stack.daemons.map(({ process }) => readResidentBytes(process.child.pid ?? 0));
  const total = sum(resident);
  return {
    bench: 'daemons',
    nodes,
    engines: stack.engines.length,
    cpu_pct: round(((after.cpu - before.cpu) / seconds / nodes) * 100),
    rss_mb: round(total / nodes / BYTES_PER_MEBIBYTE),
    rss_max_mb: round(Math.max(...resident) / BYTES_PER_MEBIBYTE),
    peer_bytes_s: round((after.peerBytes - before.peerBytes) / seconds / nodes),
    platform_calls_s: round((after.platformCalls - before.platformCalls) / seconds),
  };
}

async function readCounts(stack: Stack): Promise<Counts> {
  const sent = await Promise.all(
    stack.daemons.map(async ({ readStatus }) => {
      const { peers } = (await readStatus()) as { peers: { sentBytes: number } };
      return peers.sentBytes;
    }),
  );
  const ledger = await request(`${stack.platform}/ledger`);
  const { calls } = (await ledger.body.json()) as { calls: Readonly<Record<string, number>> };
  return {
    cpu: sum(stack.daemons.map(({ process }) => readCpuSeconds(process.child.pid ?? 0))),
    peerBytes: sum(sent),
    platformCalls: sum(Object.values(calls)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
