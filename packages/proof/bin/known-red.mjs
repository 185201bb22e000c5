/**
 * Mocha plugin for KNOWN-RED.txt, the list of known failures: skips the listed tests, prints the list after
 * the run, and fails the run if the list has errors. Entries that match no test are detected in a full run
 * only.
 */
import console from 'node:console';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { lookupFiles } from 'mocha/lib/cli/lookup-files.js';
import { findKnownRedFaults, getKnownRedTitles, parseKnownRed } from '../dist/KnownRed.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..');
const entries = parseKnownRed(readFileSync(join(ROOT, 'KNOWN-RED.txt'), 'utf8'));
const knownRed = getKnownRedTitles(entries);
let allTitles;

function collectTests(suite) {
  return [...suite.tests, ...suite.suites.flatMap(collectTests)];
}

/** Whether the tests come from all test files. */
function hasAllFiles(tests) {
  const { spec } = JSON.parse(readFileSync(join(ROOT, '.mocharc.json'), 'utf8'));
  const loaded = new Set(tests.map(({ file }) => file));
  return spec.flatMap((pattern) => lookupFiles(join(ROOT, pattern))).every((f) => loaded.has(f));
}

/** Stores all test titles if the run is a full one. `this` is Mocha's runner, except in watch mode. */
export function mochaGlobalSetup() {
  const tests = this.suite ? collectTests(this.suite) : [];
  if (this.total === tests.length && hasAllFiles(tests)) {
    allTitles = new Set(tests.map((test) => test.fullTitle()));
  }
}

/** Skips the listed tests; Mocha reports them as pending. */
export const mochaHooks = {
  beforeEach() {
    if (knownRed.has(this.currentTest.fullTitle())) {
      this.skip();
    }
  },
};

/** Prints the list, and fails the run by throwing if the list has errors. */
export function mochaGlobalTeardown() {
  if (entries.length > 0) {
    console.log(`KNOWN-RED.txt, faults that stay for now: ${entries.length}`);
    entries.forEach(({ text }) => console.log(`- ${text}`));
  }
  if (knownRed.size > 0 && !allTitles) {
    console.log('Not a whole run: entries that fit no test were not sought.');
  }
  const faults = findKnownRedFaults(entries, allTitles);
  if (faults.length > 0) {
    throw new Error(`KNOWN-RED.txt is wrong:\n${faults.join('\n')}`);
  }
}
