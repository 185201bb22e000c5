/**
 * Checks the specifications with Spin: correct ones must verify without errors, seeded mistakes must violate
 * an assertion. Without Spin or gcc, the script prints that nothing was checked, and fails if
 * REQUIRE_MODEL_CHECKER is 1.
 */
import { execFile, execFileSync } from 'node:child_process';
import console from 'node:console';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { MODEL_RUNS } from './models.mjs';

const SPECS = join(dirname(fileURLToPath(import.meta.url)), '..', 'specs');
const PARALLEL_RUNS = 3;
const PAN_OPTIONS = ['-E', '-m200000', '-w24'];
const RUN_TIMEOUT_MS = 120_000;
const run = promisify(execFile);

function isInstalled(program, option) {
  try {
    execFileSync(program, [option], { stdio: 'ignore' });
    return true;
  } catch {
    return false;
  }
}

/** Generates, compiles and runs Spin's verifier for one run of the table, and returns the parsed report. */
async function verify({ spec, defines }) {
  const folder = await mkdtemp(join(tmpdir(), 'skylarksail-model-'));
  try {
    const macros = Object.entries(defines).map(([name, value]) => `-D${name}=${value}`);
    await run('spin', ['-a', ...macros, join(SPECS, spec)], { cwd: folder });
    await run('gcc', ['-O2', '-DSAFETY', '-DNOCLAIM', '-o', 'pan', 'pan.c'], { cwd: folder });
    const { stdout } = await run(join(folder, 'pan'), PAN_OPTIONS, {
      cwd: folder,
      timeout: RUN_TIMEOUT_MS,
      maxBuffer: 16 * 1024 * 1024,
    });
    return readReport(stdout);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

function readReport(report) {
  return {
    errors: Number(/errors: (\d+)/.exec(report)?.[1] ?? Number.NaN),
    states: Number(/(\d+) states, stored/.exec(report)?.[1] ?? Number.NaN),
    isAssertion: report.includes('assertion violated'),
    // Whether the search was exhaustive: neither the depth limit nor memory cut it short.
    isWhole: !/Search not completed|max search depth too small|out of memory/.test(report),
  };
}

function isAsExpected({ expect }, result) {
  return expect === 'right'
    ? result.errors === 0 && result.isWhole && result.states > 0
    : result.errors > 0 && result.isAssertion;
}

async function checkRun(modelRun) {
  const startedAt = Date.now();
  let result;
  try {
    result = await verify(modelRun);
  } catch (err) {
    result = { errors: Number.NaN, states: 0, problem: err.stderr || err.message };
  }
  const passed = isAsExpected(modelRun, result);
  const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
  const found = result.errors === 0 ? 'verified' : `${result.errors} error(s)`;
  const wanted = modelRun.expect === 'right' ? '' : ' (seeded mistake, must be caught)';
  console.log(
    `${passed ? 'ok  ' : 'FAIL'} ${modelRun.spec}: ${modelRun.name}${wanted}: ` +
      `${result.problem ?? found}, ${result.states} states, ${seconds} s`,
  );
  return passed;
}

async function checkAll(modelRuns) {
  const queue = [...modelRuns];
  const outcomes = [];
  async function work() {
    for (let next = queue.shift(); next; next = queue.shift()) {
      outcomes.push(await checkRun(next));
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_RUNS }, work));
  return outcomes.every(Boolean);
}

if (!isInstalled('spin', '-V') || !isInstalled('gcc', '--version')) {
  console.log('MODEL CHECKING WAS SKIPPED: spin or gcc is not installed.');
  process.exitCode = process.env.REQUIRE_MODEL_CHECKER === '1' ? 1 : 0;
} else {
  process.exitCode = (await checkAll(MODEL_RUNS)) ? 0 : 1;
}
