/** Draws the share of requests that each failure domain answered on time, and when it lacked layers. */
import type { Spec } from 'vega';
import type { LedgerSecond } from './CliLedger.js';

const WIDTH = 900;
const ROW_HEIGHT = 120;
const ROW_GAP = 30;
const ON_TIME_COLOR = '#2b6cb0';
const NOT_WHOLE_COLOR = '#f6c1b5';

/** Returns an SVG image with one row per domain; periods in which no engine held some of its layers are shaded. */
export async function drawLedger(seconds: readonly LedgerSecond[]): Promise<string> {
  // Imported on demand: only this command draws, and the library takes longer to load than other commands take to run.
  const { parse, View } = await import('vega');
  return new View(parse(createSpec(seconds)), { renderer: 'none' }).toSVG();
}

function createSpec(seconds: readonly LedgerSecond[]): Spec {
  const values = seconds.map((second) => ({ ...second, next: second.second + 1 }));
  const domains = [...new Set(seconds.map(({ domain }) => domain))];
  return {
    $schema: 'https://vega.github.io/schema/vega/v5.json',
    width: WIDTH,
    height: domains.length * (ROW_HEIGHT + ROW_GAP),
    padding: 5,
    background: 'white',
    data: [{ name: 'seconds', values }],
    scales: [
      { name: 'x', type: 'linear', range: 'width', domain: { data: 'seconds', field: 'next' } },
    ],
    axes: [{ orient: 'bottom', scale: 'x', title: 'seconds' }],
    marks: domains.map((domain, i) => createRow(domain, i * (ROW_HEIGHT + ROW_GAP))),
  };
}

function createRow(domain: string, y: number): NonNullable<Spec['marks']>[number] {
  const name = `row-${domain}`;
  return {
    type: 'group',
    encode: {
      enter: {
        y: { value: y },
        width: { value: WIDTH },
        height: { value: ROW_HEIGHT },
        stroke: { value: '#ccc' },
      },
    },
    title: { text: `${domain}: share answered on time; shaded: not whole`, anchor: 'start' },
    data: [
      {
        name,
        source: 'seconds',
        transform: [{ type: 'filter', expr: `datum.domain === ${JSON.stringify(domain)}` }],
      },
    ],
    scales: [{ name: 'y', type: 'linear', range: [ROW_HEIGHT, 0], domain: [0, 1] }],
    axes: [{ orient: 'left', scale: 'y', tickCount: 3 }],
    marks: [
      {
        type: 'rect',
        from: { data: name },
        encode: {
          enter: {
            x: { scale: 'x', field: 'second' },
            x2: { scale: 'x', field: 'next' },
            y: { value: 0 },
            height: { value: ROW_HEIGHT },
            fill: { value: NOT_WHOLE_COLOR },
            opacity: { signal: 'datum.isWhole === false ? 1 : 0' },
          },
        },
      },
      {
        type: 'line',
        from: { data: name },
        encode: {
          enter: {
            x: { scale: 'x', field: 'second' },
            y: { scale: 'y', field: 'onTime' },
            defined: { signal: 'datum.onTime !== null' },
            stroke: { value: ON_TIME_COLOR },
            strokeWidth: { value: 2 },
          },
        },
      },
    ],
  };
}
