import { expect } from 'chai';
import { findKnownRedFaults, getKnownRedTitles, parseKnownRed } from '../../KnownRed.js';

const FIELDS = ' | command: npm run unit | seed: 7 | seen: one in nine runs | issue: 22';
const HUNT = 'Bench hunt: LOST, seed 9; command `test: a b | command: x`; issue 22';

describe('list of known faults', () => {
  it('names the tests of its test entries only, by their exact titles', () => {
    const entries = parseKnownRed(
      `test: claims go on (a|b) | c.*${FIELDS}\r\n\n  \n${HUNT}\n test: x y${FIELDS}\n`,
    );
    expect(entries.map(({ kind }) => kind)).to.deep.equal(['test', 'other', 'other']);
    expect([...getKnownRedTitles(entries)]).to.deep.equal(['claims go on (a|b) | c.*']);
    expect(entries[1]?.text).to.equal(HUNT);
  });

  it('hides nothing by an entry that lacks a field', () => {
    // Symptom: a test is passed over, and nobody can tell how to see its fault or who mends it.
    // Sequence: an entry is listed in haste, with its title alone or with an empty field.
    // Cause: an entry that counts although it is not whole.
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

  it('finds an entry that fits no test once all titles are known', () => {
    // Symptom: a fault counts as known although its test is gone, or a test is red under a new name.
    // Sequence: a listed test is renamed, mended or deleted; its entry stays.
    // Cause: entries that are never held against the tests there are.
    const entries = parseKnownRed(`test: a b${FIELDS}\ntest: a b c${FIELDS}\n${HUNT}`);
    expect(findKnownRedFaults(entries)).to.deep.equal([]);
    expect(findKnownRedFaults(entries, new Set(['a b', 'a b c']))).to.deep.equal([]);
    expect(
      findKnownRedFaults(entries, new Set(['a b', 'a b c d', 'A b c', 'a b  c'])),
    ).to.deep.equal([`fits no test and must go: test: a b c${FIELDS}`]);
  });
});
