/** Entry point of `skylarksail`: parses the command line and runs one command. */
import { readFileSync } from 'node:fs';
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import type { CliTarget } from './CliClient.js';
import { createCompletionScript } from './CliCompletion.js';
import { ExitCode, createCliError, getExitCode } from './CliErrors.js';
import { showLedger } from './CliLedger.js';
import { explainFromLogs } from './CliLogs.js';
import type { CliContext } from './CliManifest.js';
import {
  diffManifest,
  showHistory,
  showManifest,
  submitManifest,
  validateManifest,
  waitForRevision,
} from './CliManifest.js';
import type { CliOutput } from './CliOutput.js';
import { explainRequest, showStatus } from './CliStatus.js';

const DEFAULT_SERVER = 'http://127.0.0.1:8081';
const DEFAULT_WAIT_SECONDS = 60;

const EXAMPLES = `
Examples:
  skylarksail manifest validate manifest.json
  skylarksail manifest submit manifest.json --id build-4711 --wait
  skylarksail manifest wait 12 --timeout 30
  skylarksail status --server http://10.0.0.1:8081,http://10.0.1.1:8081
  skylarksail explain 0b7e… --json
  skylarksail explain 0b7e… --logs edge-1.log edge-2.log
  skylarksail ledger edge-*.log --svg day.svg

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 manifest refused, 4 another submission won,
5 not in force everywhere in time, 6 no instance answered, 7 operator token refused.`;

const processOutput: CliOutput = {
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  isTerminal: process.stderr.isTTY,
};

/** Runs the command in `argv` and returns the exit code. */
export async function runCli(
  argv: readonly string[],
  output: CliOutput = processOutput,
): Promise<number> {
  const program = createProgram(output);
  try {
    await program.parseAsync([...argv]);
    return ExitCode.Ok;
  } catch (err) {
    if (err instanceof CommanderError) {
      return err.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
    }
    output.writeError(`skylarksail: ${(err as Error).message}\n`);
    return getExitCode(err);
  }
}

function createProgram(output: CliOutput): Command {
  const program = new Command('skylarksail')
    .description(
      'Submits manifests and looks at a running skylarksail. Changes no single instance.',
    )
    .option('--server <urls>', 'admin addresses of instances, comma-separated', DEFAULT_SERVER)
    .option('--token-file <path>', 'file with the operator token')
    .option('--json', 'print JSON')
    .addHelpText('after', EXAMPLES)
    .exitOverride()
    .configureOutput({ writeOut: output.write, writeErr: output.writeError });
  const context: CliContext = {
    output,
    isJson: () => Boolean(program.opts().json),
    target: () => readTarget(program.opts()),
  };
  addManifestCommands(program, context);
  program
    .command('status')
    .description('state of every instance given by --server')
    .action(() => showStatus(context));
  program
    .command('explain <request-id>')
    .description('the decisions that were taken for a request')
    .option('--logs <files...>', 'saved logs of any instances ("-" reads standard input)')
    .action((id: string, options: { logs?: readonly string[] }) =>
      options.logs ? explainFromLogs(context, id, options.logs) : explainRequest(context, id),
    );
  program
    .command('ledger <logs...>')
    .description('which requests of saved logs were lost or late, and why')
    .option('--svg <file>', 'draw the share answered on time, by failure domain')
    .action((files: readonly string[], options: { svg?: string }) =>
      showLedger(context, files, options.svg),
    );
  program
    .command('completion')
    .description('print a completion script for bash')
    .action(() => output.write(createCompletionScript(program)));
  return program;
}

function addManifestCommands(program: Command, context: CliContext): void {
  const manifest = program.command('manifest').description('the description of what is served');
  manifest
    .command('validate <file>')
    .description('check a manifest without submitting it')
    .action((file: string) => validateManifest(context, file));
  manifest
    .command('submit <file>')
    .description('submit a manifest ("-" reads standard input)')
    .option('--id <id>', 'submission id; the same id again gets the first result')
    .option('--expect <revision>', 'refuse unless this revision is the current one', parseRevision)
    .option('--wait', 'wait until it is in force everywhere')
    .action((file: string, options: { id?: string; expect?: number; wait?: boolean }) =>
      submitManifest(context, file, options),
    );
  manifest
    .command('wait <revision>')
    .description('wait until a revision is in force everywhere')
    .option('--timeout <seconds>', 'how long', parseSeconds, DEFAULT_WAIT_SECONDS)
    .action((revision: string, options: { timeout: number }) =>
      waitForRevision(context, parseRevision(revision), options),
    );
  manifest
    .command('show')
    .description('print the manifest in force')
    .action(() => showManifest(context));
  manifest
    .command('diff <file>')
    .description('what a manifest would change')
    .action((file: string) => diffManifest(context, file));
  manifest
    .command('history')
    .description('accepted revisions, newest first')
    .action(() => showHistory(context));
}

function parseRevision(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError('a revision is a whole number');
  }
  return Number(text);
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (!(seconds > 0)) {
    throw new InvalidArgumentError('seconds, above 0');
  }
  return seconds;
}

function readTarget(options: { server?: string; tokenFile?: string }): CliTarget {
  const servers = (options.server ?? DEFAULT_SERVER).split(',').filter((url) => url !== '');
  return { servers, token: readToken(options.tokenFile) };
}

function readToken(tokenFile: string | undefined): string {
  try {
    const text = tokenFile
      ? readFileSync(tokenFile, 'utf8')
      : (process.env.SKYLARKSAIL_OPERATOR_TOKEN ?? '');
    return text.trim();
  } catch (err) {
    throw createCliError(ExitCode.Usage, `--token-file: ${(err as Error).message}`);
  }
}
