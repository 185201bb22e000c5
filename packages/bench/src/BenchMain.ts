/** `npm run bench -- NAME`: runs one bench; prints a JSON line per case, the last one is the summary. */
import { Argument, Command } from 'commander';
import { runClaimsBench } from './ClaimsBench.js';
import { runConfigBench } from './ConfigBench.js';
import { runControlBench } from './ControlBench.js';
import { runDaemonsBench } from './DaemonsBench.js';
import { runIdleBench } from './IdleBench.js';
import { runOverheadBench } from './OverheadBench.js';
import { runRecoveryBench } from './RecoveryBench.js';
import { runThroughputBench } from './ThroughputBench.js';

type Print = (line: unknown) => void;

/** Command-line options that every bench gets. */
interface BenchOptions {
  readonly seed: number;
  /** Fleet sizes, for the benches that have them. */
  readonly sizes?: readonly number[];
}

const BENCHES = {
  throughput: ({ seed }: BenchOptions, print: Print) => {
    runThroughputBench({ seed }).forEach(print);
  },
  recovery: async ({ seed }: BenchOptions, print: Print) => {
    (await runRecoveryBench({ seed })).forEach(print);
  },
  config: async ({ seed, sizes }: BenchOptions, print: Print) => {
    const shapes = sizes?.map((nodes) => {
      const domains = nodes > 255 ? 8 : 3;
      return { domains, perDomain: Math.ceil(nodes / domains) };
    });
    print(await runConfigBench({ seed, ...(shapes && { shapes }) }, print));
  },
  control: ({ seed, sizes }: BenchOptions, print: Print) => {
    print(runControlBench({ seed, ...(sizes && { sizes }) }, print).summary);
  },
  daemons: async ({ seed, sizes }: BenchOptions, print: Print) => {
    await runDaemonsBench({ seed, ...(sizes && { sizes }) }, print);
  },
  idle: async ({ seed, sizes }: BenchOptions, print: Print) => {
    await runIdleBench({ seed, ...(sizes && { sizes }) }, print);
  },
  claims: async ({ seed }: BenchOptions, print: Print) => {
    (await runClaimsBench(seed)).forEach(print);
  },
  overhead: async ({ seed }: BenchOptions, print: Print) => {
    await runOverheadBench({ seed }, print);
  },
} as const;

type BenchName = keyof typeof BENCHES;

/** Runs the bench named on the command line; returns the exit code. */
export async function runBenchCommand(argv: readonly string[]): Promise<number> {
  const program = new Command('bench')
    .addArgument(new Argument('<name>', 'bench').choices(Object.keys(BENCHES)))
    .option('--seed <n>', 'seed of all that is random', Number, 1)
    .option('--sizes <n,n>', 'fleet sizes, for config, control, daemons and idle', parseSizes)
    .parse([...argv]);
  const [name] = program.args as [BenchName];
  await BENCHES[name](program.opts<BenchOptions>(), (line) => {
    process.stdout.write(`${JSON.stringify(line)}\n`);
  });
  return 0;
}

function parseSizes(text: string): readonly number[] {
  return text.split(',').map(Number);
}
