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

/** A reader that can stop reading, and takes few bytes at once. */
function createBed(most = Infinity) {
  const text: string[] = [];
  const told: DroppedLines[] = [];
  let isReading = true;
  const writeBytes: WriteBytes = (bytes, done) => {
    if (!isReading) {
      done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
      return;
    }
    const part = bytes.subarray(0, most);
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
  it('writes every line whole and in order, however little is taken at once', async () => {
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

  it('drops ordinary lines before unusual ones, bounds both, and says so once lines flow again', async () => {
    // Symptom: memory grows without end, or the lines of a failure are missing while the ordinary are there.
    // Sequence: whoever reads the lines stops for a while under load.
    // Cause: an unbounded buffer, or one that takes whatever comes first.
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

  it('keeps a process going whose output nobody reads', async () => {
    // Symptom: requests hang because the collector of log lines does.
    // Sequence: a process writes more than a pipe holds; the other end reads nothing.
    // Cause: writes that wait for the reader.
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
