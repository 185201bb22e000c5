/** Output of the tool: lines for people, or JSON for pipelines. */

/** Destination of the output; tests pass their own. */
export interface CliOutput {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly isTerminal: boolean;
}

/** Prints `value` as JSON, or as the lines that `format` returns. */
export function printResult<T>(
  output: CliOutput,
  isJson: boolean,
  value: T,
  format: (value: T) => readonly string[],
): void {
  const text = isJson ? JSON.stringify(value) : format(value).join('\n');
  output.write(`${text}\n`);
}

/** Formats rows as lines, with each column padded to its widest cell. */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
  const widths = rows.reduce<number[]>(
    (maxWidths, row) => row.map((cell, i) => Math.max(maxWidths[i] ?? 0, cell.length)),
    [],
  );
  return rows.map((row) =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
