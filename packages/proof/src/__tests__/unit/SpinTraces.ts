/** Random simulations of a specification by Spin, for the tests that replay them against the code. */
import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/**
 * The steps and states that Spin prints for these options; null if it cannot be run. Spin writes a temporary
 * file of one name into the folder where it runs: in a folder shared with another run of the checks, more than
 * half of all traces were empty.
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
