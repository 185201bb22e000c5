/** `npm run soak`: runs seeds one after another; prints a JSON line for each and how many failed. */
import { Command, InvalidArgumentError } from 'commander';
import { runSoak } from './SoakRun.js';

const MILLIS_PER_SECOND = 1000;

interface SoakFlags {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly daemons: number;
  readonly lostLeases?: true;
}

function parseCount(text: string): number {
  const count = Number(text);
  if (!Number.isSafeInteger(count) || count < 1) {
    throw new InvalidArgumentError('a whole number above 0');
  }
  return count;
}

/** Runs the command; returns the exit code, 0 only if no seed had a violation. */
export async function runSoakCommand(argv: readonly string[]): Promise<number> {
  const { seed, seeds, seconds, daemons, lostLeases } = new Command('soak')
    .description(
      'Real processes on loopback under seeded faults; checks what callers were promised.',
    )
    .option('--seeds <n>', 'seeds to play', parseCount, 1)
    .option('--seed <n>', 'the first of them', parseCount, 1)
    .option('--seconds <n>', 'time for which callers send, each seed', parseCount, 20)
    .option('--daemons <n>', 'daemons in each failure domain', parseCount, 1)
    .option('--lost-leases', 'daemons are only stopped and restarted, as lease calls are lost')
    .parse([...argv])
    .opts<SoakFlags>();
  let broken = 0;
  for (let next = seed; next < seed + seeds; next += 1) {
    const time = seconds * MILLIS_PER_SECOND;
    const report = await runSoak({
      seed: next,
      time,
      daemonsPerDomain: daemons,
      losesLeaseCalls: lostLeases === true,
    });
    broken += report.broken.length > 0 ? 1 : 0;
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
  process.stdout.write(`soak: ${seeds} seeds, ${broken} broken\n`);
  return broken === 0 ? 0 : 1;
}
