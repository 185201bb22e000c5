/** What the tool prints: lines for people, or JSON for pipelines. */

/** Where output goes; tests pass their own. */
export interface CliOutput {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly isTerminal: boolean;
}

/** Prints `value` as JSON or as the lines that `format` makes of it. */
export function printResult<T>(
  output: CliOutput,
  isJson: boolean,
  value: T,
  format: (value: T) => readonly string[],
): void {
  const text = isJson ? JSON.stringify(value) : format(value).join('\n');
  output.write(`${text}\n`);
}

/** Columns padded to the widest cell of each. */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
  const widths = rows.reduce<number[]>(
    (known, row) => row.map((cell, i) => Math.max(known[i] ?? 0, cell.length)),
    [],
  );
  return rows.map((row) =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
