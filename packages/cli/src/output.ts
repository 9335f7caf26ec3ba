/**
 * Output of commands, as text for people or as JSON for programs.
 * @module
 */
import process from "node:process";

/** One row of a table, with a cell for each column. */
export type TableRow =
  readonly (string | number | boolean | null | undefined)[];

/** Prints results of commands to standard output. */
export class Output {
  readonly #json: boolean;

  constructor(options: { json: boolean }) {
    this.#json = options.json;
  }

  /** Prints `value` as indented JSON, or the table that `toTable` returns for it. */
  printTable<T>(
    value: T,
    toTable: (
      value: T,
    ) => { columns: readonly string[]; rows: readonly TableRow[] },
  ): void {
    if (this.#json) return this.#writeLine(JSON.stringify(value, null, 2));
    const { columns, rows } = toTable(value);
    this.#writeLine(formatTable(columns, rows));
  }

  /** Prints `value` as one line of JSON, or `text` for people. */
  print(value: unknown, text: string): void {
    this.#writeLine(this.#json ? JSON.stringify(value) : text);
  }

  #writeLine(text: string): void {
    process.stdout.write(text + "\n");
  }
}

/** Formats a table with aligned columns. */
export function formatTable(
  columns: readonly string[],
  rows: readonly TableRow[],
): string {
  const cells = [
    columns.map((column) => column.toUpperCase()),
    ...rows.map((row) => row.map(formatCell)),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((row) => row[index]?.length ?? 0))
  );
  const lines = cells.map((row) =>
    row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ")
      .trimEnd()
  );
  return lines.join("\n");
}

/** Line diff of two values as indented JSON: `-` marks removed lines, `+` added ones. */
export function formatDiff(before: unknown, after: unknown): string {
  const oldLines = toLines(before);
  const newLines = toLines(after);
  const commonLines = findCommonLines(oldLines, newLines);
  const lines: string[] = [];
  let i = 0;
  let j = 0;
  for (
    const [a, b] of [
      ...commonLines,
      [oldLines.length, newLines.length] as const,
    ]
  ) {
    while (i < a) lines.push(`- ${oldLines[i++]}`);
    while (j < b) lines.push(`+ ${newLines[j++]}`);
    if (i < oldLines.length) lines.push(`  ${oldLines[i]}`);
    i++;
    j++;
  }
  return lines.join("\n");
}

function formatCell(cell: TableRow[number]): string {
  return cell === null || cell === undefined ? "-" : String(cell);
}

function toLines(value: unknown): string[] {
  return value === null ? [] : JSON.stringify(value, null, 2).split("\n");
}

/** Longest common subsequence of two lists of lines, as pairs of indexes. */
function findCommonLines(
  a: readonly string[],
  b: readonly string[],
): (readonly [number, number])[] {
  const lengths = Array.from(
    { length: a.length + 1 },
    () => new Array<number>(b.length + 1).fill(0),
  );
  for (let i = a.length - 1; i >= 0; i--) {
    for (let j = b.length - 1; j >= 0; j--) {
      lengths[i]![j] = a[i] === b[j]
        ? lengths[i + 1]![j + 1]! + 1
        : Math.max(lengths[i + 1]![j]!, lengths[i]![j + 1]!);
    }
  }
  const pairs: (readonly [number, number])[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length && j < b.length) {
    if (a[i] === b[j]) pairs.push([i++, j++]);
    else if (lengths[i + 1]![j]! >= lengths[i]![j + 1]!) i++;
    else j++;
  }
  return pairs;
}
