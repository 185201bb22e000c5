/** Parses KNOWN-RED.txt, the list of known failures that are not fixed yet, and checks it against the tests. */

/** Kinds of entries: for a test, for something else, or for a test but with a missing or empty field. */
export const KnownRedKind = {
  Test: 'test',
  Other: 'other',
  Malformed: 'malformed',
} as const;

/** One line of the list. */
export type KnownRedEntry =
  | { readonly kind: typeof KnownRedKind.Test; readonly text: string; readonly title: string }
  | {
      readonly kind: typeof KnownRedKind.Other | typeof KnownRedKind.Malformed;
      readonly text: string;
    };

const TEST_PREFIX = 'test:';
const TEST_ENTRY =
  /^test: (?<title>\S.*?) \| command: \S.* \| seed: \S.* \| seen: \S.* \| issue: \S.*$/;

/** Parses the list into entries, in order; skips blank lines. */
export function parseKnownRed(list: string): readonly KnownRedEntry[] {
  return list
    .split(/\r?\n/)
    .filter((line) => line.trim() !== '')
    .map(parseEntry);
}

/** Returns the full titles of the tests to skip. */
export function getKnownRedTitles(entries: readonly KnownRedEntry[]): ReadonlySet<string> {
  return new Set(
    entries.flatMap((entry) => (entry.kind === KnownRedKind.Test ? [entry.title] : [])),
  );
}

/**
 * Returns the errors of the list itself. `titles` are the full titles of all tests; if it is missing, entries
 * that match no test are not reported.
 */
export function findKnownRedFaults(
  entries: readonly KnownRedEntry[],
  titles?: ReadonlySet<string>,
): readonly string[] {
  return entries.flatMap((entry) => {
    if (entry.kind === KnownRedKind.Malformed) {
      return [
        `lacks a field of "test: … | command: … | seed: … | seen: … | issue: …": ${entry.text}`,
      ];
    }
    if (entry.kind === KnownRedKind.Test && titles?.has(entry.title) === false) {
      return [`fits no test and must go: ${entry.text}`];
    }
    return [];
  });
}

function parseEntry(text: string): KnownRedEntry {
  if (!text.startsWith(TEST_PREFIX)) {
    return { kind: KnownRedKind.Other, text };
  }
  const title = TEST_ENTRY.exec(text)?.groups?.title;
  return title === undefined
    ? { kind: KnownRedKind.Malformed, text }
    : { kind: KnownRedKind.Test, text, title };
}
