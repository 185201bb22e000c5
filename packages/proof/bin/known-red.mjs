/**
 * Mocha's plugin for KNOWN-RED.txt: passes over the tests listed there, prints the list after the run, and
 * fails a run whose list is wrong. Entries that fit no test are found in a whole run only.
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

/** Whether no test file was left out. */
function hasAllFiles(tests) {
  const { spec } = JSON.parse(readFileSync(join(ROOT, '.mocharc.json'), 'utf8'));
  const loaded = new Set(tests.map(({ file }) => file));
  return spec.flatMap((pattern) => lookupFiles(join(ROOT, pattern))).every((f) => loaded.has(f));
}

/** Keeps the titles of a whole run. Mocha's runner is `this`, except while it watches files. */
export function mochaGlobalSetup() {
  const tests = this.suite ? collectTests(this.suite) : [];
  if (this.total === tests.length && hasAllFiles(tests)) {
    allTitles = new Set(tests.map((test) => test.fullTitle()));
  }
}

/** Passes over the listed tests, which Mocha then shows as pending. */
export const mochaHooks = {
  beforeEach() {
    if (knownRed.has(this.currentTest.fullTitle())) {
      this.skip();
    }
  },
};

/** Prints the list; what is thrown here makes the run fail. */
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
