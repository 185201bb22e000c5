import { expect } from 'chai';
import { readRequestLog } from '../../CliLogs.js';

const formatLine = (fields: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({ level: 30, instance: 'one', msg: 'decision', ...fields });

describe('CliLogs', () => {
  it('collects only the lines of one request, from several instances and in order of time', () => {
    const requestLog = readRequestLog(
      [
        [
          `12.5 edge ${formatLine({ time: 20, request: 'a/1', decision: 'refused', status: 503 })}`,
          formatLine({ time: 10, request: 'a/1', decision: 'routed' }),
          formatLine({ time: 15, request: 'ab/2', decision: 'routed' }),
        ].join('\n'),
        formatLine({ time: 30, instance: 'two', request: 'a/7', decision: 'answered' }),
      ],
      'a',
    );
    expect(requestLog.lines.map(({ time, decision }) => [time, decision])).to.deep.equal([
      [10, 'routed'],
      [20, 'refused'],
      [30, 'answered'],
    ]);
    expect(requestLog.unended).to.deep.equal([]);
    expect(requestLog.dropped).to.equal(0);
  });

  it('reports requests without an end, and dropped lines', () => {
    // A process may end in the middle of a request, or drop log lines under load. If the output does not report this,
    // an engineer takes the last available line for the end of the request.
    const requestLog = readRequestLog(
      [
        [
          formatLine({ time: 1, request: 'a/1', decision: 'routed' }),
          formatLine({ time: 2, msg: 'log lines dropped', ordinary: 5, unusual: 2 }),
          formatLine({
            time: 3,
            instance: 'two',
            msg: 'log lines dropped',
            ordinary: 50,
            unusual: 0,
          }),
          '{"time":4,"instance":"one","request":"a/1","deci',
        ].join('\n'),
      ],
      'a',
    );
    expect(requestLog.unended).to.deep.equal(['a/1 at one']);
    expect(requestLog.dropped).to.equal(7);
  });
});
