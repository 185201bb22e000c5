/** Entry point for a manual run over loopback: `node packages/proof/dist/HistoryMain.js --seed 1 --seconds 30`. */
import { parseArgs } from 'node:util';
import { runLoopbackHistory } from './HistoryLoopback.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '30' },
  },
});
const result = await runLoopbackHistory({
  seed: Number(values.seed),
  seconds: Number(values.seconds),
});
process.stdout.write(`${JSON.stringify(result)}\n`);
process.exitCode = result.violations.length > 0 ? 1 : 0;
