/**
 * Starts the child processes of a deployment and kills them when it ends.
 * @module
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as readline from "node:readline";
import * as url from "node:url";

/** A started process and its startup message. */
export interface StartedProcess {
  readonly child: childProcess.ChildProcess;
  /** First line of standard output, parsed as JSON. */
  readonly startupMessage: unknown;
}

const STARTUP_TIMEOUT_MS = 15_000;

/** Starts Node processes and kills those that still run on `stop` or when this process exits. */
export class ProcessGroup {
  readonly #children = new Set<childProcess.ChildProcess>();
  readonly #logDirectory: string | undefined;

  constructor(options: { logDirectory?: string | undefined } = {}) {
    this.#logDirectory = options.logDirectory;
    process.once("exit", this.#killAll);
  }

  /** Starts a script and waits for the first line of its standard output, which must be JSON. */
  async start(
    options: {
      script: string;
      args: readonly string[];
      name: string;
      /** Arguments for Node, before the script. */
      nodeArgs?: readonly string[];
      /** Environment variables added to those of this process. */
      env?: { readonly [name: string]: string };
      /** Whether standard output is logged too, to a file of its own. */
      logsStdout?: boolean;
      /** Called with the process at once, before its startup message. */
      onSpawn?: (child: childProcess.ChildProcess) => void;
    },
  ): Promise<StartedProcess> {
    const { script, args, name, nodeArgs = [], env, logsStdout } = options;
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
    if (logsStdout) this.#logStdout(child, name);
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    options.onSpawn?.(child);
    const line = await readFirstLine(child, name);
    return { child, startupMessage: JSON.parse(line) };
  }

  /** Kills all processes and waits for their exit. */
  async stop(): Promise<void> {
    const exits = [...this.#children].map((child) => waitForExit(child));
    this.#killAll();
    await Promise.all(exits);
    process.off("exit", this.#killAll);
  }

  #logStdout(child: childProcess.ChildProcess, name: string): void {
    if (this.#logDirectory === undefined) return;
    const file = path.join(this.#logDirectory, `${name}.out.log`);
    child.stdout!.pipe(fs.createWriteStream(file, { flags: "a" }));
  }

  readonly #killAll = (): void => {
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
  };
}

/** Waits for a process to exit; resolves to its exit code, or null if a signal ended it. */
export function waitForExit(
  child: childProcess.ChildProcess,
): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => child.once("exit", (code) => resolve(code)));
}

/** Returns the path of a built script of another package. */
export function findScript(specifier: string, script: string): string {
  const entry = url.fileURLToPath(import.meta.resolve(specifier));
  // Under vitest the specifier resolves to src/; child processes run the build in dist/.
  return path.join(path.dirname(path.dirname(entry)), "dist", script);
}

async function readFirstLine(
  child: childProcess.ChildProcess,
  name: string,
): Promise<string> {
  const lines = readline.createInterface({ input: child.stdout! });
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(new Error(`${name} did not print its startup message in time`)),
      STARTUP_TIMEOUT_MS,
    );
    lines.once("line", (line) => {
      clearTimeout(timer);
      child.stdout!.resume();
      resolve(line);
    });
    child.once("exit", (code) => {
      clearTimeout(timer);
      reject(new Error(`${name} exited with code ${code} during startup`));
    });
  });
}
