import { expect } from 'chai';
import { readRequestLog } from '../../CliLogs.js';

const line = (fields: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({ level: 30, instance: 'one', msg: 'decision', ...fields });

describe('CliLogs', () => {
  it('tells a request’s story over several instances in order, and nothing of others', () => {
    const story = readRequestLog(
      [
        [
          `12.5 edge ${line({ time: 20, request: 'a/1', decision: 'refused', status: 503 })}`,
          line({ time: 10, request: 'a/1', decision: 'routed' }),
          line({ time: 15, request: 'ab/2', decision: 'routed' }),
        ].join('\n'),
        line({ time: 30, instance: 'two', request: 'a/7', decision: 'answered' }),
      ],
      'a',
    );
    expect(story.lines.map(({ time, decision }) => [time, decision])).to.deep.equal([
      [10, 'routed'],
      [20, 'refused'],
      [30, 'answered'],
    ]);
    expect(story.unended).to.deep.equal([]);
    expect(story.dropped).to.equal(0);
  });

  it('says what is missing', () => {
    // Symptom: an engineer takes the last line that is there for the request's end.
    // Sequence: a process ends in the middle of a request, or drops lines under load.
    // Cause: a story that does not say what it lacks.
    const story = readRequestLog(
      [
        [
          line({ time: 1, request: 'a/1', decision: 'routed' }),
          line({ time: 2, msg: 'log lines dropped', ordinary: 5, unusual: 2 }),
          line({ time: 3, instance: 'two', msg: 'log lines dropped', ordinary: 50, unusual: 0 }),
          '{"time":4,"instance":"one","request":"a/1","deci',
        ].join('\n'),
      ],
      'a',
    );
    expect(story.unended).to.deep.equal(['a/1 at one']);
    expect(story.dropped).to.equal(7);
  });
});
