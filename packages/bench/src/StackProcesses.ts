/** Starts and ends the child processes of a stack. Each is ended only through its own handle. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { StandInReady } from '@skylarksail/stand-ins/StandInMain';
import { STACK_HOST } from './StackPlan.js';

const START_TIMEOUT_MS = 20_000;

export interface StackProcess {
  readonly child: ChildProcess;
  /** Sends SIGTERM and waits for the process to exit. */
  stop(): Promise<void>;
  /** Sends SIGKILL and waits for the process to exit. */
  kill(): Promise<void>;
}

function wrapChild(child: ChildProcess): StackProcess {
  const end = async (signal: NodeJS.Signals): Promise<void> => {
    if (child.exitCode !== null || child.signalCode !== null) {
      return;
    }
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
  };
  return { child, stop: () => end('SIGTERM'), kill: () => end('SIGKILL') };
}

function findScript(path: string): string {
  return fileURLToPath(new URL(`../../${path}`, import.meta.url));
}

/** Starts a process of stand-ins and waits until it reports the addresses they listen on. */
export async function startStandIns(
  kind: 'engines' | 'services' | 'platform',
  spec: unknown,
): Promise<{ readonly process: StackProcess; readonly ready: StandInReady }> {
  const script = findScript('stand-ins/bin/stand-in.mjs');
  const child = spawn(process.execPath, [script, kind, JSON.stringify(spec)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout });
  const [line] = (await once(lines, 'line', {
    signal: AbortSignal.timeout(START_TIMEOUT_MS),
  })) as [string];
  return { process: wrapChild(child), ready: JSON.parse(line) as StandInReady };
}

/** What a process may use. */
export interface StackMachine {
  readonly heapMb: number;
  readonly descriptors: number;
}

/** Starts a daemon with a settings file; its log is written to `logFd`. */
export function startDaemonProcess(
  settingsPath: string,
  env: Readonly<Record<string, string>>,
  logFd: number,
  machine: StackMachine | null = null,
): StackProcess {
  const script = findScript('daemon/bin/skylarksaild.mjs');
  const args = [script, '--config', settingsPath];
  const [file, ...allArgs] =
    machine === null ? [process.execPath, ...args] : limitCommand(args, machine);
  const child = spawn(file, allArgs, {
    stdio: ['ignore', logFd, 'inherit'],
    env: { ...process.env, ...env },
  });
  return wrapChild(child);
}

/** A command that runs Node with less heap and fewer descriptors; the process keeps its id. */
function limitCommand(
  args: readonly string[],
  { heapMb, descriptors }: StackMachine,
): readonly [string, ...string[]] {
  const limit = 'ulimit -n "$0" && exec "$@"';
  const heap = `--max-old-space-size=${heapMb}`;
  return ['/bin/sh', '-c', limit, String(descriptors), process.execPath, heap, ...args];
}

/** Runs the command-line tool; returns its exit code, and its stdout and stderr as one text. */
export async function runCliProcess(
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Promise<{ readonly code: number; readonly output: string }> {
  const script = findScript('cli/bin/skylarksail.mjs');
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const [code] = (await once(child, 'close')) as [number | null];
  return { code: code ?? 1, output };
}

/** Finds ports that are free at the time of the call; they are not reserved. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      server.listen(0, STACK_HOST);
      await once(server, 'listening');
      return server;
    }),
  );
  const ports = servers.map((server) => (server.address() as { port: number }).port);
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}

export function formatUrl({ host, port }: HostPort): string {
  return `http://${host}:${port}`;
}
