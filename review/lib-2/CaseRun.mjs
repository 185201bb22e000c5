/** Runs a case: writes its record and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { writeFileSync } from 'node:fs';
import { fileURLToPath, URL } from 'node:url';

const MAX_TIME_MS = 115_000;

/** `play` gets the record's function and returns what broke the rule; `cleanUp` ends all that it started. */
export async function runCase(caseUrl, { play, cleanUp }) {
  const startedAt = performance.now();
  const hasTrouble = process.env.TROUBLE !== '0';
  const lines = [];

  function record(line) {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
  }

  function finish(code) {
    cleanUp();
    writeFileSync(fileURLToPath(new URL('record.txt', caseUrl)), `${lines.join('\n')}\n`);
    console.log(lines.at(-1));
    process.exit(code);
  }

  setTimeout(() => {
    record('result: could not run, out of time');
    finish(2);
  }, MAX_TIME_MS).unref();
  try {
    record(hasTrouble ? 'with the disruption' : 'without the disruption');
    const broken = await play({ record, hasTrouble });
    broken.forEach((line) => record(`broken: ${line}`));
    record(broken.length > 0 ? 'result: the rule was broken' : 'result: the rule held');
    finish(broken.length > 0 ? 1 : 0);
  } catch (err) {
    record(`result: could not run, ${err instanceof Error ? err.stack : String(err)}`);
    finish(2);
  }
}
