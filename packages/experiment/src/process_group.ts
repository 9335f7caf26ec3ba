/**
 * Child processes of a deployment: started, watched, and ended by pid.
 * @module
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as readline from "node:readline";
import * as url from "node:url";

/** A started process and the first line it printed. */
export interface StartedProcess {
  readonly child: childProcess.ChildProcess;
  /** Parsed first line of standard output. */
  readonly greeting: unknown;
}

const START_TIMEOUT_MS = 15_000;

/** Starts Node processes and ends them all. */
export class ProcessGroup {
  readonly #children = new Set<childProcess.ChildProcess>();
  readonly #logDirectory: string | undefined;

  constructor(options: { logDirectory?: string | undefined } = {}) {
    this.#logDirectory = options.logDirectory;
    process.once("exit", () => this.#killAll());
  }

  /** Starts a script and waits for its first line, which must be JSON. */
  async start(
    options: {
      script: string;
      args: readonly string[];
      name: string;
      /** Arguments of Node itself. */
      nodeArgs?: readonly string[];
      /** Added to this process's own environment. */
      env?: { readonly [name: string]: string };
      /** Whether standard output is kept in the log, not only standard error. */
      keepsOutput?: boolean;
    },
  ): Promise<StartedProcess> {
    const { script, args, name, nodeArgs = [], env, keepsOutput } = options;
    const log = this.#logDirectory === undefined
      ? "ignore" as const
      : fs.openSync(path.join(this.#logDirectory, `${name}.log`), "a");
    const child = childProcess.spawn(
      process.execPath,
      [...nodeArgs, script, ...args],
      {
        stdio: ["ignore", "pipe", log],
        env: { ...process.env, ...env },
      },
    );
    if (typeof log === "number") fs.closeSync(log);
    if (keepsOutput) this.#keepOutput(child, name);
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    const line = await readFirstLine(child, name);
    return { child, greeting: JSON.parse(line) };
  }

  /** Ends all processes at once. */
  async stop(): Promise<void> {
    const exits = [...this.#children].map((child) => waitForExit(child));
    this.#killAll();
    await Promise.all(exits);
  }

  #keepOutput(child: childProcess.ChildProcess, name: string): void {
    if (this.#logDirectory === undefined) return;
    const file = path.join(this.#logDirectory, `${name}.out.log`);
    child.stdout!.pipe(fs.createWriteStream(file, { flags: "a" }));
  }

  #killAll(): void {
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
  }
}

/** Resolves to the exit code, or null after a signal. */
export function waitForExit(
  child: childProcess.ChildProcess,
): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => child.once("exit", (code) => resolve(code)));
}

/** Path of a built script of another package. */
export function findScript(specifier: string, script: string): string {
  const entry = url.fileURLToPath(import.meta.resolve(specifier));
  // Tests run from sources, the processes they start from what was built.
  return path.join(path.dirname(path.dirname(entry)), "dist", script);
}

async function readFirstLine(
  child: childProcess.ChildProcess,
  name: string,
): Promise<string> {
  const lines = readline.createInterface({ input: child.stdout! });
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${name} did not start in time`)),
      START_TIMEOUT_MS,
    );
    lines.once("line", (line) => {
      clearTimeout(timer);
      child.stdout!.resume();
      resolve(line);
    });
    child.once("exit", (code) => {
      clearTimeout(timer);
      reject(new Error(`${name} exited with ${code} at its start`));
    });
  });
}
