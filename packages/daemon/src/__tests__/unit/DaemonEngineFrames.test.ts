import { expect } from 'chai';
import fc from 'fast-check';
import { createLineReader, MAX_FRAME_BYTES } from '../../DaemonEngineFrames.js';

describe('DaemonEngineFrames', () => {
  it('splits any bytes into the same lines, however small the pieces are', () => {
    // Guards against a line, or a character, that is lost between two pieces.
    const split = (bytes: Buffer, size: number): string[] => {
      const reader = createLineReader();
      const lines: string[] = [];
      for (let at = 0; at < bytes.length; at += size) {
        lines.push(...(reader.push(bytes.subarray(at, at + size)) ?? []));
      }
      return lines;
    };
    const part = fc.constantFrom('\n', '\n\n', 'ä', '€', '{"a":1}', '\r');
    fc.assert(
      fc.property(fc.array(part), fc.integer({ min: 1, max: 4 }), (parts, size) => {
        const text = parts.join('');
        expect(split(Buffer.from(text), size)).to.deep.equal(text.split('\n').slice(0, -1));
      }),
      { seed: 82 },
    );
  });

  it('gives up a line without end that comes byte by byte', () => {
    // Guards against an engine for which the process has no time for anything else, as each piece is searched from the start.
    const reader = createLineReader();
    const piece = Buffer.from('x');
    let pieces = 0;
    while (reader.push(piece) !== null) {
      pieces += 1;
    }
    expect(pieces).to.equal(MAX_FRAME_BYTES);
  });
});
