/**
 * Prints the results of a command as JSON lines with `--json`, as readable text otherwise.
 * @module
 */
import process from "node:process";
import { getMessage } from "@bitternfall/errors";

/** One result of a command. */
export interface ResultLine {
  readonly name: string;
  readonly value: number | string | boolean;
  readonly unit?: string;
  readonly target?: number | string;
  /** Whether the check passed; undefined for a result that is not checked. */
  readonly ok?: boolean;
}

/** Prints results and counts the checks that passed and failed. */
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

  /** Prints the summary and returns the exit code: 1 if any check failed. */
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

/** Runs a command and exits with the code it returns, or with 2 after printing its error. */
export async function exitAfter(run: () => Promise<number>): Promise<never> {
  try {
    process.exit(await run());
  } catch (err) {
    process.stderr.write(`${getMessage(err)}\n`);
    process.exit(2);
  }
}

function formatLine(line: ResultLine): string {
  const verdict = line.ok === undefined ? "    " : line.ok ? "ok  " : "FAIL";
  const target = line.target === undefined ? "" : `  (target ${line.target})`;
  const unit = line.unit === undefined ? "" : ` ${line.unit}`;
  return `${verdict}  ${line.name}: ${line.value}${unit}${target}`;
}
