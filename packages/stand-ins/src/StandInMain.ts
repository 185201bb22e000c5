/** Runs stand-ins in a separate process: `stand-in engines|services|platform SPEC`. */
import { Argument, Command } from 'commander';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import { startStandInEngine } from './StandInEngine.js';
import type { StandInEngineOptions } from './StandInEngine.js';
import { startStandInPlatform } from './StandInPlatform.js';
import type { StandInPlatformOptions } from './StandInPlatform.js';
import { startStandInService } from './StandInService.js';
import type { StandInServiceOptions } from './StandInService.js';

const KINDS = ['engines', 'services', 'platform'] as const;
type Kind = (typeof KINDS)[number];

/** Line printed to standard output once all stand-ins of the process listen. */
export interface StandInReady {
  readonly ready: true;
  readonly addresses: readonly { readonly id: string; readonly address: HostPort }[];
}

/** Starts the stand-ins of one process; SPEC is their options as JSON. */
export async function runStandIn(argv: readonly string[]): Promise<void> {
  const program = new Command('stand-in')
    .description('Small fakes of the outside systems, for the demo and the benches.')
    .addArgument(new Argument('<kind>').choices(KINDS))
    .argument('<spec>', 'JSON')
    .parse([...argv]);
  const [kind, spec] = program.args as [Kind, string];
  const addresses = await startKind(kind, JSON.parse(spec));
  const ready: StandInReady = { ready: true, addresses };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  process.on('SIGTERM', () => process.exit(0));
}

async function startKind(kind: Kind, spec: unknown): Promise<StandInReady['addresses']> {
  switch (kind) {
    case 'engines':
      return Promise.all(
        (spec as readonly StandInEngineOptions[]).map(async (options) => ({
          id: options.facts.id,
          address: (await startStandInEngine(options)).server.address,
        })),
      );
    case 'services':
      return Promise.all(
        (spec as readonly StandInServiceOptions[]).map(async (options) => ({
          id: options.id,
          address: (await startStandInService(options)).server.address,
        })),
      );
    default: {
      const platform = await startStandInPlatform(spec as StandInPlatformOptions);
      return [{ id: 'platform', address: platform.server.address }];
    }
  }
}
