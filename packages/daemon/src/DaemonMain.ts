/**
 * Entry point of `skylarksaild`: reads the command line and settings, starts and stops the daemon.
 */
import { Command } from 'commander';
import { startDaemon } from './DaemonApp.js';
import { SettingsError } from './DaemonErrors.js';
import { createDefaultSettings, readSettings } from './DaemonSettings.js';

const EXIT_SETTINGS = 2;
const EXIT_FAILED = 1;

/** Runs the daemon; the first SIGTERM or SIGINT stops it gracefully, the second one at once. */
export async function runDaemon(argv: readonly string[]): Promise<void> {
  const program = new Command('skylarksaild')
    .description('Routes requests to engines that each hold a range of a model’s layers.')
    .option('--config <file>', 'settings file (JSON)')
    .option('--check-config', 'check the settings and end')
    .option('--print-defaults', 'print settings to start from and end')
    .parse([...argv]);
  const options = program.opts<{ config?: string; checkConfig?: true; printDefaults?: true }>();
  if (options.printDefaults) {
    process.stdout.write(`${JSON.stringify(createDefaultSettings(), null, 2)}\n`);
    return;
  }
  try {
    const settings = readSettings(
      options.config ?? program.error('--config is needed', { exitCode: EXIT_SETTINGS }),
    );
    if (options.checkConfig) {
      process.stdout.write('settings are valid\n');
      return;
    }
    await runUntilStopped(settings);
  } catch (err) {
    process.stderr.write(`skylarksaild: ${(err as Error).message}\n`);
    // Components that started before the failure would keep the process alive.
    process.exit(err instanceof SettingsError ? EXIT_SETTINGS : EXIT_FAILED);
  }
}

async function runUntilStopped(settings: ReturnType<typeof readSettings>): Promise<void> {
  const app = await startDaemon(settings);
  let signals = 0;
  const onSignal = (): void => {
    signals += 1;
    if (signals === 1) {
      void app.stop();
    } else {
      app.abort();
    }
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
