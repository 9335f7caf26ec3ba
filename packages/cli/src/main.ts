#!/usr/bin/env node
/**
 * Entry point of the `bitternfall` command line.
 * @module
 */
import process from "node:process";
import { getMessage } from "@bitternfall/errors";
import { type ConfigFinding, Severity } from "@bitternfall/gateway";
import { cac } from "cac";
import { CommandError, type CommandFault, OperatorApi } from "./api.ts";
import * as commands from "./commands.ts";
import * as configCommand from "./config_command.ts";
import { formatDiff, Output } from "./output.ts";
import { showReport } from "./report_command.ts";
import * as verdictCommands from "./verdict_commands.ts";

/** Exit codes by reason of failure. */
const EXIT_CODES: { readonly [tag in CommandFault["tag"]]: number } = {
  unavailable: 1,
  usage: 2,
  malformed: 2,
  conflict: 3,
  not_found: 4,
  unknown: 5,
  denied: 6,
};
/** Exit code for a configuration with warnings and without errors. */
const WARNINGS_EXIT_CODE = 7;
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
  readonly losses?: boolean;
  readonly objects?: string;
  readonly against?: string;
}

function createContext(flags: Flags): commands.CommandContext {
  const address = flags.address ?? process.env.BITTERNFALL_OPERATOR;
  const token = process.env.BITTERNFALL_TOKEN;
  if (address === undefined) {
    throw createUsageError(
      "--address <url> or BITTERNFALL_OPERATOR is required",
    );
  }
  if (token === undefined) {
    throw createUsageError("BITTERNFALL_TOKEN is required");
  }
  return {
    api: new OperatorApi({ address, token }),
    output: createOutput(flags),
  };
}

function createOutput(flags: Flags): Output {
  return new Output({ json: flags.json === true });
}

function getObjectsUrl({ objects }: Flags): string {
  const url = objects ?? process.env.BITTERNFALL_OBJECTS;
  if (url !== undefined) return url;
  throw createUsageError("--objects <url> or BITTERNFALL_OBJECTS is required");
}

function createUsageError(message: string): CommandError {
  return new CommandError({ tag: "usage" }, message);
}

const cli = cac("bitternfall");
cli.option(
  "--address <url>",
  "Operators' API of any VM (or BITTERNFALL_OPERATOR)",
);
cli.option("--json", "Print JSON");

cli.command(
  "apply [...files]",
  "Write records; a change is refused if the stored version is not the expected one",
)
  .option(
    "--if-version <n>",
    "Expected stored version (default: the current one)",
  )
  .example("bitternfall apply routing.json assignments.json")
  .action((files: string[], flags: Flags) =>
    commands.applyRecords(createContext(flags), {
      files,
      ifVersion: flags.ifVersion,
    })
  );
cli.command("diff [...files]", "Show the changes that apply would make")
  .action((files: string[], flags: Flags) =>
    commands.diffRecords(createContext(flags), files)
  );
cli.command(
  "validate [...files]",
  "Check records locally, without a VM and without writing them",
)
  .action((files: string[], flags: Flags) =>
    commands.validateRecords(createOutput(flags), files)
  );
cli.command(
  "report [...files]",
  "Summarize log files for one request or a whole run",
)
  .option("--id <request>", "Id of the request to report on")
  .option("--losses", "Report which requests were lost, when and why")
  .example("bitternfall report --id 7dfb72022fa4c14c logs/*.log")
  .action((files: string[], flags: Flags) =>
    showReport(createOutput(flags), {
      files,
      requestId: flags.id,
      showsLosses: flags.losses === true,
    })
  );
cli.command("get <kind> <name>", "Show a record")
  .example("bitternfall get RoutingRecord planner-2 --json")
  .action((kind: string, name: string, flags: Flags) =>
    commands.getRecord(createContext(flags), { kind, name })
  );
cli.command("list [kind]", "List the records in force on the VM that responds")
  .action((kind: string | undefined, flags: Flags) =>
    commands.listRecords(createContext(flags), kind)
  );
cli.command("delete <kind> <name>", "Delete a record")
  .option(
    "--if-version <n>",
    "Expected stored version (default: the current one)",
  )
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
  .option("--routing <name>", "Name of the routing record")
  .example("bitternfall assign office-7 --routing planner-2")
  .action((office: string, flags: Flags) => {
    if (flags.routing === undefined) {
      throw createUsageError("--routing <name> is required");
    }
    return commands.assignOffice(createContext(flags), {
      office,
      routing: flags.routing,
    });
  });
cli.command("status", "Show the state and roles of each VM")
  .option("--records", "Show the version of each record on each VM instead")
  .action((flags: Flags) =>
    commands.showStatus(createContext(flags), {
      records: flags.records === true,
    })
  );
cli.command(
  "upstreams",
  "Show the servers of model services and plain services",
)
  .action((flags: Flags) => commands.showUpstreams(createContext(flags)));
cli.command("queue", "Show the queue of each model service")
  .option("--workspaces", "Show the queue of each workspace instead")
  .action((flags: Flags) =>
    commands.showQueues(createContext(flags), {
      workspaces: flags.workspaces === true,
    })
  );
const OBJECTS_OPTION = [
  "--objects <url>",
  "Object API of the gateways (or BITTERNFALL_OBJECTS)",
] as const;
cli.command("blocked", "Show which requests gateways block, and why")
  .option(...OBJECTS_OPTION)
  .action((flags: Flags) =>
    verdictCommands.showVerdicts(createOutput(flags), getObjectsUrl(flags))
  );
cli.command("unblock <service> <verdict>", "Lift a verdict at all gateways")
  .option(...OBJECTS_OPTION)
  .example('bitternfall unblock ventanilla "i-26@1764 953579296"')
  .action((service: string, id: string, flags: Flags) =>
    verdictCommands.liftVerdict(createOutput(flags), getObjectsUrl(flags), {
      service,
      id,
    })
  );
cli.command(
  "config <action> <file>",
  "Check a gateway's configuration (config check FILE) without writing it",
)
  .option("--against <version>", "Compare with the stored one (current)")
  .option(...OBJECTS_OPTION)
  .example("bitternfall config check gateway.json --against current")
  .action(async (action: string, file: string, flags: Flags) => {
    const { against } = flags;
    if (action !== "check") {
      throw createUsageError(`unknown command config ${action}`);
    }
    if (against !== undefined && against !== "current") {
      throw createUsageError("--against takes only current");
    }
    const objectsUrl = against && getObjectsUrl(flags);
    const output = createOutput(flags);
    process.exitCode = getCheckExitCode(
      await configCommand.checkConfig(output, { file, objectsUrl }),
    );
  });
cli.command("drain <vm>", "Let a VM finish the requests in flight and exit")
  .action((vm: string, flags: Flags) =>
    commands.drainVm(createContext(flags), vm)
  );
cli.help();
cli.version(VERSION);

function getCheckExitCode(findings: readonly ConfigFinding[]): number {
  const severities = new Set(findings.map(({ severity }) => severity));
  if (severities.has(Severity.Error)) return EXIT_CODES.malformed;
  return severities.has(Severity.Warning) ? WARNINGS_EXIT_CODE : 0;
}

function reportError(err: unknown): void {
  process.stderr.write(`bitternfall: ${getMessage(err)}\n`);
  if (!(err instanceof CommandError)) {
    // cac throws CACError for unknown options and missing arguments.
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
    throw createUsageError(
      args[0] === undefined
        ? "a command is required"
        : `unknown command ${args[0]}`,
    );
  }
} catch (err) {
  reportError(err);
}
