import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { pino } from 'pino';
import type { DroppedLines, WriteBytes } from '../../DaemonLogSink.js';
import { createLogSink } from '../../DaemonLogSink.js';

const TICK_MS = 5;
const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A log sink whose reader can stop, and accepts a limited number of bytes per write. */
function createBed(maxBytesPerWrite = Infinity) {
  const text: string[] = [];
  const told: DroppedLines[] = [];
  let isReading = true;
  const writeBytes: WriteBytes = (bytes, done) => {
    if (!isReading) {
      done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
      return;
    }
    const part = bytes.subarray(0, maxBytesPerWrite);
    text.push(Buffer.from(part).toString());
    setTimeout(() => done(null, part.byteLength), TICK_MS);
  };
  const sink = createLogSink(writeBytes);
  sink.registerDropListener((dropped) => told.push(dropped));
  return {
    sink,
    told,
    log: pino({ base: null, timestamp: false }, sink),
    read: () => text.join(''),
    setReading: (next: boolean) => {
      isReading = next;
    },
  };
}

describe('DaemonLogSink', () => {
  it('writes all lines completely and in order when writes are partial', async () => {
    const bed = createBed(7);
    for (let i = 0; i < 5; i++) {
      bed.log.info({ i }, 'line');
    }
    bed.sink.flush();
    while (bed.read().split('\n').length <= 5) {
      await wait(TICK_MS);
    }
    const lines = bed.read().trim().split('\n');
    expect(lines.map((line) => (JSON.parse(line) as { i: number }).i)).to.deep.equal([
      0, 1, 2, 3, 4,
    ]);
    expect(bed.sink.getDropped()).to.deep.equal({ ordinary: 0, unusual: 0 });
  });

  it('drops ordinary lines before unusual ones, bounds both, and reports drops when writing resumes', async () => {
    // If the reader stops under load, an unbounded buffer grows without limit, and a buffer that keeps
    // whatever arrives first loses the lines of a failure while it keeps ordinary ones.
    const bed = createBed();
    bed.setReading(false);
    const filler = 'x'.repeat(1000);
    for (let i = 0; i < 4000; i++) {
      bed.log.info({ filler }, 'ordinary');
    }
    const { ordinary, unusual } = bed.sink.getDropped();
    expect(ordinary).to.be.within(1000, 2000);
    expect(unusual).to.equal(0);
    for (let i = 0; i < 4000; i++) {
      bed.log.warn({ filler }, 'unusual');
    }
    expect(bed.sink.getDropped().unusual).to.be.within(1000, 2000);
    bed.setReading(true);
    while (bed.told.length === 0) {
      await wait(TICK_MS);
    }
    expect(bed.told[0]).to.deep.equal(bed.sink.getDropped());
  });

  it('does not block the process when nobody reads its output', async () => {
    // Requests must not hang because the log collector does: blocking writes would stop the process once
    // it has written more than the pipe holds.
    const sinkUrl = new URL('../../DaemonLogSink.js', import.meta.url).href;
    const script = `
      import { createDescriptorWriter, createLogSink } from ${JSON.stringify(sinkUrl)};
      const sink = createLogSink(createDescriptorWriter(1));
      for (let i = 0; i < 10000; i++) sink.write('y'.repeat(999) + '\\n');
      setTimeout(() => process.send(sink.getDropped()), 100);`;
    const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
      cwd: fileURLToPath(new URL('.', import.meta.url)),
    });
    const [dropped] = (await once(child, 'message')) as [DroppedLines];
    child.kill('SIGKILL');
    expect(dropped.ordinary).to.be.greaterThan(5000);
  });
});
