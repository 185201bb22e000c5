/** The record of a case: what was sent, answered and run, with times since its start. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

const FILE_NAME = 'record.txt';

/** Collects lines; `save` writes them into the folder of the case. */
export function createRecord(folder) {
  const startedAt = performance.now();
  const lines = [];
  return {
    note(text) {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    },
    save: () => writeFileSync(join(folder, FILE_NAME), `${lines.join('\n')}\n`),
  };
}
