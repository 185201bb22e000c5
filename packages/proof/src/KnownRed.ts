/** Reads KNOWN-RED.txt, the list of faults that stay for now, and matches it with the tests. */

/** Kinds of entries: of a test, without a test, or meant for a test but without all its fields. */
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

/** The entries of the list in their order; empty lines are none. */
export function parseKnownRed(list: string): readonly KnownRedEntry[] {
  return list
    .split(/\r?\n/)
    .filter((line) => line.trim() !== '')
    .map(parseEntry);
}

/** Full titles of the tests to pass over. */
export function getKnownRedTitles(entries: readonly KnownRedEntry[]): ReadonlySet<string> {
  return new Set(
    entries.flatMap((entry) => (entry.kind === KnownRedKind.Test ? [entry.title] : [])),
  );
}

/** What is wrong with the list itself. Without `titles`, all there are, stale entries aren't sought. */
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
