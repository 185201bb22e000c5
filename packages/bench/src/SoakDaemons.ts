/** The daemons of a soak: starts, signals and ends them, and keeps what became of each life. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { SoakProcess, SoakRevisions } from './SoakChecker.js';
import type { Stack, StackDaemon } from './StackLauncher.js';

type Told = SoakRevisions['told'][number];

/** A daemon that was not seen to end. */
export interface SoakDaemon {
  readonly processId: string;
  readonly daemon: StackDaemon;
}

export interface SoakDaemons {
  /** Those that callers may turn to; one that stops is among them until its process is gone. */
  listLive(): readonly SoakDaemon[];
  pause(target: number, time: Millis): Promise<void>;
  /** Ends it by a signal, and starts it anew after a while. */
  restart(target: number, signal: 'SIGTERM' | 'SIGKILL', time: Millis): Promise<void>;
  /** Asks all for their revision. */
  readRevisions(): Promise<readonly Told[]>;
  /** Stops all that live. */
  stopAll(): Promise<void>;
  listProcesses(): readonly SoakProcess[];
}

type OpenLife = { -readonly [K in keyof SoakProcess]: SoakProcess[K] };

export function createSoakDaemons(
  stack: Stack,
  now: () => Millis,
  sleep: (time: Millis) => Promise<void>,
): SoakDaemons {
  const lives: OpenLife[] = [];
  const live = new Map<string, SoakDaemon>();

  function watch(daemon: StackDaemon): void {
    const id = `${daemon.id}#${lives.filter((one) => one.id.startsWith(`${daemon.id}#`)).length}`;
    const life: OpenLife = { id, stopAt: null, killAt: null, endedAt: null, end: null };
    lives.push(life);
    live.set(id, { processId: id, daemon });
    daemon.process.child.once('exit', (code, signal) => {
      life.endedAt = now();
      life.end = signal ?? String(code);
      live.delete(id);
    });
  }

  function choose(target: number): SoakDaemon | undefined {
    const running = [...live.values()].filter(({ processId: life }) => {
      const known = lives.find(({ id }) => id === life);
      return known?.stopAt === null && known.killAt === null;
    });
    return running[target % Math.max(1, running.length)];
  }

  function note(life: string, signal: 'SIGTERM' | 'SIGKILL'): void {
    const known = lives.find(({ id }) => id === life);
    if (known) {
      known[signal === 'SIGTERM' ? 'stopAt' : 'killAt'] = now();
    }
  }

  async function end({ processId: life, daemon }: SoakDaemon, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    note(life, signal);
    await (signal === 'SIGTERM' ? daemon.process.stop() : daemon.process.kill());
  }

  stack.daemons.forEach(watch);

  return {
    listLive: () => [...live.values()],
    async pause(target, time) {
      const chosen = choose(target);
      if (chosen) {
        const { child } = chosen.daemon.process;
        child.kill('SIGSTOP');
        await sleep(time);
        child.kill('SIGCONT');
      }
    },
    async restart(target, signal, time) {
      const chosen = choose(target);
      // One that serves is left, so that callers always have somebody to turn to.
      if (chosen && live.size > 1) {
        await end(chosen, signal);
        await sleep(time);
        watch(await stack.startDaemon(chosen.daemon.id, chosen.daemon.domain));
      }
    },
    async readRevisions() {
      const told = await Promise.all(
        [...live.values()].map(async ({ processId: life, daemon }): Promise<readonly Told[]> => {
          try {
            const status = (await daemon.readStatus()) as { manifest?: { revision?: number } };
            const revision = status.manifest?.revision;
            return revision === undefined ? [] : [{ processId: life, revision }];
          } catch {
            return [];
          }
        }),
      );
      return told.flat();
    },
    async stopAll() {
      await Promise.all([...live.values()].map((one) => end(one, 'SIGTERM')));
    },
    listProcesses: () => lives,
  };
}
