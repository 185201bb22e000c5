/** `npm run stack`: runs the stand-ins and daemons until SIGTERM or SIGINT. */
import { Command } from 'commander';
import { launchStack } from './StackLauncher.js';
import { DEFAULT_STACK_SIZE } from './StackPlan.js';

/** Launches the stack; prints its URLs as one JSON line when it is ready. */
export async function runStackCommand(argv: readonly string[]): Promise<void> {
  const defaults = DEFAULT_STACK_SIZE;
  const options = new Command('stack')
    .description('Stand-ins and daemons on loopback, until SIGTERM.')
    .option('--seed <n>', 'seed of the layout', Number, defaults.seed)
    .option('--domains <n>', 'failure domains', Number, defaults.domains)
    .option('--daemons <n>', 'daemons in each domain', Number, defaults.daemonsPerDomain)
    .option('--engines <n>', 'engines in each domain', Number, defaults.enginesPerDomain)
    .option('--layers <n>', 'layers of the model', Number, defaults.layers)
    .option('--stages <n>', 'engines in a chain', Number, defaults.stages)
    .option('--step-ms <ms>', 'time of a token in a layer', Number, defaults.stepMsPerLayer)
    .parse([...argv])
    .opts<Record<string, number>>();
  const stack = await launchStack({
    seed: options.seed ?? defaults.seed,
    domains: options.domains ?? defaults.domains,
    daemonsPerDomain: options.daemons ?? defaults.daemonsPerDomain,
    enginesPerDomain: options.engines ?? defaults.enginesPerDomain,
    layers: options.layers ?? defaults.layers,
    stages: options.stages ?? defaults.stages,
    stepMsPerLayer: options.stepMs ?? defaults.stepMsPerLayer,
  });
  const ready = {
    ready: true,
    callers: stack.daemons.map(({ callers }) => callers),
    admin: stack.daemons.map(({ admin }) => admin),
    engines: stack.engines.map(({ url }) => url),
    services: stack.services.map(({ url }) => url),
    platform: stack.platform,
    folder: stack.folder,
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  const onSignal = (): void => {
    void stack.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
