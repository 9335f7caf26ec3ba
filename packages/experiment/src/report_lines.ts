/**
 * Results of a command: JSON lines with `--json`, short lines for people otherwise.
 * @module
 */
import process from "node:process";
import { getMessage } from "@bitternfall/errors";

/** One checked result. */
export interface ResultLine {
  readonly name: string;
  readonly value: number | string | boolean;
  readonly unit?: string;
  readonly target?: number | string;
  /** Undefined where the line is for information only. */
  readonly ok?: boolean;
}

/** Prints results and remembers whether all held. */
export class ResultLines {
  readonly #json: boolean;
  #failed = 0;
  #passed = 0;

  constructor(options: { json: boolean }) {
    this.#json = options.json;
  }

  get failed(): number {
    return this.#failed;
  }

  /** Prints one result. */
  add(line: ResultLine): void {
    if (line.ok === true) this.#passed++;
    if (line.ok === false) this.#failed++;
    process.stdout.write(
      (this.#json ? JSON.stringify(line) : formatLine(line)) + "\n",
    );
  }

  /** Prints the closing line and returns the exit code. */
  close(): number {
    const summary = { passed: this.#passed, failed: this.#failed };
    process.stdout.write(
      this.#json
        ? JSON.stringify(summary) + "\n"
        : `${this.#passed} held, ${this.#failed} failed\n`,
    );
    return this.#failed === 0 ? 0 : 1;
  }
}

/** Runs a command and exits with its code, or with 2 and a message where it can't run. */
export async function exitAfter(run: () => Promise<number>): Promise<never> {
  try {
    process.exit(await run());
  } catch (err) {
    process.stderr.write(`${getMessage(err)}\n`);
    process.exit(2);
  }
}

function formatLine(line: ResultLine): string {
  const mark = line.ok === undefined ? "    " : line.ok ? "ok  " : "FAIL";
  const target = line.target === undefined ? "" : `  (target ${line.target})`;
  const unit = line.unit === undefined ? "" : ` ${line.unit}`;
  return `${mark}  ${line.name}: ${line.value}${unit}${target}`;
}
