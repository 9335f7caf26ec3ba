/**
 * Tables for people and JSON for programs.
 * @module
 */
import process from "node:process";

/** A row of a table: one cell for each column. */
export type Row = readonly (string | number | boolean | null | undefined)[];

/** Where a command's result goes. */
export class Output {
  readonly #json: boolean;

  constructor(options: { json: boolean }) {
    this.#json = options.json;
  }

  /** Prints `value` as JSON, or as the table that `toTable` makes of it. */
  show<T>(
    value: T,
    toTable: (value: T) => { columns: readonly string[]; rows: readonly Row[] },
  ): void {
    if (this.#json) return this.#print(JSON.stringify(value, null, 2));
    const { columns, rows } = toTable(value);
    this.#print(formatTable(columns, rows));
  }

  /** Prints `value` as JSON, or `text` for people. */
  say(value: unknown, text: string): void {
    this.#print(this.#json ? JSON.stringify(value) : text);
  }

  #print(text: string): void {
    process.stdout.write(text + "\n");
  }
}

/** Lays a table out in columns. */
export function formatTable(
  columns: readonly string[],
  rows: readonly Row[],
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

/** Lines of two values that differ, marked with their side. */
export function formatDiff(before: unknown, after: unknown): string {
  const old = toLines(before);
  const fresh = toLines(after);
  const kept = findCommonLines(old, fresh);
  const lines: string[] = [];
  let i = 0;
  let j = 0;
  for (const [a, b] of [...kept, [old.length, fresh.length] as const]) {
    while (i < a) lines.push(`- ${old[i++]}`);
    while (j < b) lines.push(`+ ${fresh[j++]}`);
    if (i < old.length) lines.push(`  ${old[i]}`);
    i++;
    j++;
  }
  return lines.join("\n");
}

function formatCell(cell: Row[number]): string {
  return cell === null || cell === undefined ? "-" : String(cell);
}

function toLines(value: unknown): string[] {
  return value === null ? [] : JSON.stringify(value, null, 2).split("\n");
}

/** Longest common subsequence, as pairs of line numbers. */
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
