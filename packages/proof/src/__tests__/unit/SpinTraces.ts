/** Runs Spin's random simulations of a specification, for tests that replay them against the code. */
import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/**
 * Returns the steps and states that Spin prints for the options; null if Spin cannot be run. Spin writes a
 * temporary file with a fixed name into its working folder, so each run gets a folder of its own: in a folder
 * shared with another run of the checks, more than half of all traces were empty.
 */
export function simulateSpec(options: readonly string[], spec: URL): string | null {
  const folder = mkdtempSync(join(tmpdir(), 'skylarksail-trace-'));
  try {
    const output = execFileSync('spin', [...options, spec.pathname], {
      encoding: 'utf8',
      cwd: folder,
    });
    const lines = output.split('\n').filter((line) => /STEP|STATE/.test(line));
    return `${lines.join('\n')}\n`;
  } catch {
    return null;
  } finally {
    rmSync(folder, { recursive: true });
  }
}
