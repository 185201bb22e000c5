import { expect } from 'chai';
import { findKnownRedFaults, getKnownRedTitles, parseKnownRed } from '../../KnownRed.js';

const FIELDS = ' | command: npm run unit | seed: 7 | seen: one in nine runs | issue: 22';
const NON_TEST_ENTRY = 'Bench hunt: LOST, seed 9; command `test: a b | command: x`; issue 22';

describe('list of known failures', () => {
  it('selects only the tests of its test entries, by exact title', () => {
    const entries = parseKnownRed(
      `test: claims go on (a|b) | c.*${FIELDS}\r\n\n  \n${NON_TEST_ENTRY}\n test: x y${FIELDS}\n`,
    );
    expect(entries.map(({ kind }) => kind)).to.deep.equal(['test', 'other', 'other']);
    expect([...getKnownRedTitles(entries)]).to.deep.equal(['claims go on (a|b) | c.*']);
    expect(entries[1]?.text).to.equal(NON_TEST_ENTRY);
  });

  it('selects no test for an entry with a missing or empty field', () => {
    // Guards against skipping a test whose failure nobody can reproduce or assign to an issue, because an
    // entry with a missing or empty field is accepted.
    const lines = [
      'test: a b',
      'test:a b | command: c | seed: 1 | seen: s | issue: 1',
      'test: a b | command: c | seed: 1 | seen: s',
      'test: a b | command: c | seed: 1 | seen: s | issue: ',
      'test: a b | command: c | seed:  | seen: s | issue: 1',
      'test:  | command: c | seed: 1 | seen: s | issue: 1',
    ];
    lines.forEach((line) => {
      const entries = parseKnownRed(line);
      expect([...getKnownRedTitles(entries)], line).to.deep.equal([]);
      expect(findKnownRedFaults(entries), line).to.have.length(1);
    });
  });

  it('reports an entry that matches no test once all titles are known', () => {
    // Guards against an entry that stays after its test was renamed, fixed or deleted: its failure would
    // count as known without a test, or the renamed test would fail unlisted.
    const entries = parseKnownRed(`test: a b${FIELDS}\ntest: a b c${FIELDS}\n${NON_TEST_ENTRY}`);
    expect(findKnownRedFaults(entries)).to.deep.equal([]);
    expect(findKnownRedFaults(entries, new Set(['a b', 'a b c']))).to.deep.equal([]);
    expect(
      findKnownRedFaults(entries, new Set(['a b', 'a b c d', 'A b c', 'a b  c'])),
    ).to.deep.equal([`fits no test and must go: test: a b c${FIELDS}`]);
  });
});
