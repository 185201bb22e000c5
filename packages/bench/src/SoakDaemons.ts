/** The daemons of a soak: starts, signals and stops them, and records how each process ended. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SoakProcess, SoakRevisions } from './SoakChecker.js';
import type { Stack, StackDaemon } from './StackLauncher.js';

type ReportedRevision = SoakRevisions['told'][number];

/** A running daemon process. */
export interface SoakDaemon {
  readonly processId: string;
  readonly daemon: StackDaemon;
}

export interface SoakDaemons {
  /** Returns the daemons whose process has not exited, including those that are shutting down. */
  listLive(): readonly SoakDaemon[];
  /** Suspends a daemon with SIGSTOP and resumes it after `time`. */
  pause(target: number, time: Millis): Promise<void>;
  /** Ends a daemon with a signal and starts it again after `time`, unless it is the only live one. */
  restart(target: number, signal: 'SIGTERM' | 'SIGKILL', time: Millis): Promise<void>;
  /** Reads the manifest revision of every live daemon; those that do not answer are left out. */
  readRevisions(): Promise<readonly ReportedRevision[]>;
  /** Sends SIGTERM to all live daemons and waits for them to exit. */
  stopAll(): Promise<void>;
  /** Returns all processes started so far, also those that have exited. */
  listProcesses(): readonly SoakProcess[];
}

type MutableProcess = { -readonly [K in keyof SoakProcess]: SoakProcess[K] };

/** Tracks the stack's daemons; `now` gives times since the start of the callers. */
export function createSoakDaemons(
  stack: Stack,
  now: () => Millis,
  sleep: (time: Millis) => Promise<void>,
): SoakDaemons {
  const processes: MutableProcess[] = [];
  const live = new Map<string, SoakDaemon>();

  function trackProcess(daemon: StackDaemon): void {
    const id = `${daemon.id}#${processes.filter((one) => one.id.startsWith(`${daemon.id}#`)).length}`;
    const tracked: MutableProcess = { id, stopAt: null, killAt: null, endedAt: null, end: null };
    processes.push(tracked);
    live.set(id, { processId: id, daemon });
    daemon.process.child.once('exit', (code, signal) => {
      tracked.endedAt = now();
      tracked.end = signal ?? String(code);
      live.delete(id);
    });
  }

  function chooseRunning(target: number): SoakDaemon | undefined {
    const running = [...live.values()].filter(({ processId }) => {
      const known = processes.find(({ id }) => id === processId);
      return known?.stopAt === null && known.killAt === null;
    });
    return running[target % Math.max(1, running.length)];
  }

  function recordSignal(processId: string, signal: 'SIGTERM' | 'SIGKILL'): void {
    const known = processes.find(({ id }) => id === processId);
    if (known) {
      known[signal === 'SIGTERM' ? 'stopAt' : 'killAt'] = now();
    }
  }

  async function endProcess(
    { processId, daemon }: SoakDaemon,
    signal: 'SIGTERM' | 'SIGKILL',
  ): Promise<void> {
    recordSignal(processId, signal);
    await (signal === 'SIGTERM' ? daemon.process.stop() : daemon.process.kill());
  }

  stack.daemons.forEach(trackProcess);

  return {
    listLive: () => [...live.values()],
    async pause(target, time) {
      const chosen = chooseRunning(target);
      if (chosen) {
        const { child } = chosen.daemon.process;
        child.kill('SIGSTOP');
        await sleep(time);
        child.kill('SIGCONT');
      }
    },
    async restart(target, signal, time) {
      const chosen = chooseRunning(target);
      // The only live daemon is not ended, so that callers can still connect.
      if (chosen && live.size > 1) {
        await endProcess(chosen, signal);
        await sleep(time);
        trackProcess(await stack.startDaemon(chosen.daemon.id, chosen.daemon.domain));
      }
    },
    async readRevisions() {
      const told = await Promise.all(
        [...live.values()].map(
          async ({ processId, daemon }): Promise<readonly ReportedRevision[]> => {
            try {
              const status = (await daemon.readStatus()) as { manifest?: { revision?: number } };
              const revision = status.manifest?.revision;
              return revision === undefined ? [] : [{ processId, revision }];
            } catch {
              return [];
            }
          },
        ),
      );
      return told.flat();
    },
    async stopAll() {
      await Promise.all([...live.values()].map((one) => endProcess(one, 'SIGTERM')));
    },
    listProcesses: () => processes,
  };
}
