#!/usr/bin/env node
/**
 * Command line of `bitternfall`.
 * @module
 */
import process from "node:process";
import { getMessage } from "@bitternfall/errors";
import { cac } from "cac";
import { CommandError, type CommandFault, OperatorApi } from "./api.ts";
import * as commands from "./commands.ts";
import { formatDiff, Output } from "./output.ts";
import { showReport } from "./report_command.ts";

/** Exit codes, by the kind of failure. */
const EXIT_CODES: { readonly [tag in CommandFault["tag"]]: number } = {
  unavailable: 1,
  usage: 2,
  malformed: 2,
  conflict: 3,
  not_found: 4,
  unknown: 5,
  denied: 6,
};
const VERSION = "0.1.0";

interface Flags {
  readonly address?: string;
  readonly token?: string;
  readonly json?: boolean;
  readonly ifVersion?: number;
  readonly routing?: string;
  readonly full?: boolean;
  readonly records?: boolean;
  readonly workspaces?: boolean;
  readonly id?: string;
}

function createContext(flags: Flags): commands.CommandContext {
  const address = flags.address ?? process.env.BITTERNFALL_OPERATOR;
  const token = process.env.BITTERNFALL_TOKEN;
  if (address === undefined) {
    throw usage("--address or BITTERNFALL_OPERATOR is needed");
  }
  if (token === undefined) throw usage("BITTERNFALL_TOKEN is needed");
  return {
    api: new OperatorApi({ address, token }),
    output: createOutput(flags),
  };
}

function createOutput(flags: Flags): Output {
  return new Output({ json: flags.json === true });
}

function usage(message: string): CommandError {
  return new CommandError({ tag: "usage" }, message);
}

const cli = cac("bitternfall");
cli.option(
  "--address <url>",
  "Operators' API of any VM (or BITTERNFALL_OPERATOR)",
);
cli.option("--json", "Print JSON for programs");

cli.command(
  "apply [...files]",
  "Write records; each change needs the version it is based on",
)
  .option(
    "--if-version <n>",
    "Version that the change is based on (default: the one stored now)",
  )
  .example("bitternfall apply routing.json assignments.json")
  .action((files: string[], flags: Flags) =>
    commands.applyRecords(createContext(flags), {
      files,
      ifVersion: flags.ifVersion,
    })
  );
cli.command("diff [...files]", "Show what apply would change")
  .action((files: string[], flags: Flags) =>
    commands.diffRecords(createContext(flags), files)
  );
cli.command(
  "validate [...files]",
  "Check records without writing them; needs no VM",
)
  .action((files: string[], flags: Flags) =>
    commands.validateRecords(createOutput(flags), files)
  );
cli.command("report [...files]", "What log files tell of a request or a run")
  .option("--id <request>", "The request to report on")
  .example("bitternfall report --id 7dfb72022fa4c14c logs/*.log")
  .action((files: string[], flags: Flags) =>
    showReport(createOutput(flags), { files, requestId: flags.id })
  );
cli.command("get <kind> <name>", "Show a record")
  .example("bitternfall get RoutingRecord planner-2 --json")
  .action((kind: string, name: string, flags: Flags) =>
    commands.getRecord(createContext(flags), { kind, name })
  );
cli.command("list [kind]", "List the records in force on the VM that answers")
  .action((kind: string | undefined, flags: Flags) =>
    commands.listRecords(createContext(flags), kind)
  );
cli.command("delete <kind> <name>", "Delete a record")
  .option("--if-version <n>", "Version that the change is based on")
  .action((kind: string, name: string, flags: Flags) =>
    commands.deleteRecord(createContext(flags), {
      kind,
      name,
      ifVersion: flags.ifVersion,
    })
  );
for (const name of ["history", "audit"]) {
  cli.command(
    `${name} <kind> <name>`,
    "Show who changed a record, when and how",
  )
    .option("--full", "Show each change line by line")
    .action((kind: string, record: string, flags: Flags) =>
      commands.showHistory(createContext(flags), {
        kind,
        name: record,
        full: flags.full === true,
      })
    );
}
cli.command(
  "assign <office>",
  "Move an office or member to another routing record",
)
  .option("--routing <name>", "The routing record")
  .example("bitternfall assign office-7 --routing planner-2")
  .action((office: string, flags: Flags) => {
    if (flags.routing === undefined) throw usage("--routing is needed");
    return commands.assignOffice(createContext(flags), {
      office,
      routing: flags.routing,
    });
  });
cli.command("status", "Show each VM, its roles and what is in force there")
  .option("--records", "List the version of each record on each VM")
  .action((flags: Flags) =>
    commands.showStatus(createContext(flags), {
      records: flags.records === true,
    })
  );
cli.command("upstreams", "Show the servers of all services")
  .action((flags: Flags) => commands.showUpstreams(createContext(flags)));
cli.command("queue", "Show the queue of each model service")
  .option("--workspaces", "Show each workspace")
  .action((flags: Flags) =>
    commands.showQueues(createContext(flags), {
      workspaces: flags.workspaces === true,
    })
  );
cli.command("drain <vm>", "Let a VM finish what it has and exit")
  .action((vm: string, flags: Flags) =>
    commands.drainVm(createContext(flags), vm)
  );
cli.help();
cli.version(VERSION);

function report(err: unknown): void {
  process.stderr.write(`bitternfall: ${getMessage(err)}\n`);
  if (!(err instanceof CommandError)) {
    // Unknown commands and options are reported by the command-line library itself.
    process.exitCode = (err as Error).name === "CACError"
      ? EXIT_CODES.usage
      : EXIT_CODES.unavailable;
    return;
  }
  if (err.detail.tag === "conflict") {
    const { current, version } = err.detail;
    process.stderr.write(
      `stored as version ${version}:\n${formatDiff(null, current)}\n`,
    );
  }
  process.exitCode = EXIT_CODES[err.detail.tag];
}

try {
  const { args, options } = cli.parse(process.argv, { run: false });
  if (cli.matchedCommand !== undefined) await cli.runMatchedCommand();
  else if (!options.help && !options.version) {
    cli.outputHelp();
    throw usage(
      args[0] === undefined ? "name a command" : `unknown command ${args[0]}`,
    );
  }
} catch (err) {
  report(err);
}
