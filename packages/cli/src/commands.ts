/**
 * Implementation of the commands of `bitternfall`.
 * @module
 */
import * as fs from "node:fs";
import { getMessage } from "@bitternfall/errors";
import { parseRecord, RecordError } from "@bitternfall/records";
import {
  CommandError,
  type OperatorApi,
  type RecordValue,
  type VersionedRecord,
} from "./api.ts";
import { formatDiff, type Output } from "./output.ts";

/** API client and output that commands share. */
export interface CommandContext {
  readonly api: OperatorApi;
  readonly output: Output;
}

/** Order in which records are applied, so that each is written after those it refers to. */
const KIND_ORDER = [
  "ModelService",
  "PlainService",
  "RoutingRecord",
  "Assignment",
];

/** Reads and checks the records in `files`; each file holds one record or an array. */
export function readRecords(files: readonly string[]): RecordValue[] {
  if (files.length === 0) {
    throw new CommandError({ tag: "usage" }, "at least one file is required");
  }
  const records: RecordValue[] = [];
  for (const file of files) {
    for (const value of readJsonList(file)) {
      records.push(parseFileRecord(file, value));
    }
  }
  return records.sort((a, b) =>
    KIND_ORDER.indexOf(a.kind) - KIND_ORDER.indexOf(b.kind)
  );
}

/** Writes records, each based on its stored version or on `ifVersion`. */
export async function applyRecords(
  context: CommandContext,
  options: { files: readonly string[]; ifVersion?: number | undefined },
): Promise<void> {
  const { api, output } = context;
  for (const record of readRecords(options.files)) {
    const version = options.ifVersion ??
      (await api.getRecord(record.kind, record.name)).version;
    const reply = await api.changeRecord(record, { record, version });
    output.print(
      reply,
      `${record.kind}/${record.name} accepted as version ${reply.version}`,
    );
  }
}

/** Shows the changes that {@link applyRecords} would make. */
export async function diffRecords(
  context: CommandContext,
  files: readonly string[],
): Promise<void> {
  for (const record of readRecords(files)) {
    const current = await context.api.getRecord(record.kind, record.name);
    const isSame = JSON.stringify(current.record) === JSON.stringify(record);
    const text = isSame
      ? "  no difference"
      : formatDiff(current.record, record);
    const title = `${record.kind}/${record.name} (version ${current.version})`;
    context.output.print(
      { ...current, after: record, isSame },
      `${title}\n${text}`,
    );
  }
}

/** Checks records locally, without a VM and without writing them. */
export function validateRecords(
  output: Output,
  files: readonly string[],
): void {
  const records = readRecords(files);
  const names = records.map(({ kind, name }) => `${kind}/${name}`);
  output.print(
    { wellFormed: names },
    names.map((name) => `${name} is well-formed`).join("\n"),
  );
}

/** Shows one record. */
export async function getRecord(
  context: CommandContext,
  target: { kind: string; name: string },
): Promise<void> {
  const found = await context.api.getRecord(target.kind, target.name);
  if (found.record === null) throw createNotFoundError(target);
  context.output.print(
    found,
    `version ${found.version}\n${JSON.stringify(found.record, null, 2)}`,
  );
}

/** Lists the records in force on the VM that responds. */
export async function listRecords(
  context: CommandContext,
  kind: string | undefined,
): Promise<void> {
  const path = kind === undefined
    ? "/v1/records"
    : `/v1/records/${encodeURIComponent(kind)}`;
  const list = await context.api.get<
    { revision: number; records: VersionedRecord[] }
  >(path);
  context.output.printTable(list, ({ records }) => ({
    columns: ["kind", "name", "schema", "version"],
    rows: records.map(({ record, version }) => [
      record?.kind,
      record?.name,
      record?.schemaVersion as number,
      version,
    ]),
  }));
}

/** Deletes one record. */
export async function deleteRecord(
  context: CommandContext,
  options: { kind: string; name: string; ifVersion?: number | undefined },
): Promise<void> {
  const { api, output } = context;
  const found = await api.getRecord(options.kind, options.name);
  if (found.record === null) throw createNotFoundError(options);
  const reply = await api.changeRecord(options, {
    record: null,
    version: options.ifVersion ?? found.version,
  });
  output.print(
    reply,
    `${options.kind}/${options.name} deleted as version ${reply.version}`,
  );
}

interface AuditEntry {
  readonly when: string;
  readonly who: string;
  readonly changeId: string;
  readonly before: RecordValue | null;
  readonly after: RecordValue | null;
}

/** Shows who changed a record, when and how. */
export async function showHistory(
  context: CommandContext,
  options: { kind: string; name: string; full: boolean },
): Promise<void> {
  const { kind, name, full } = options;
  const path = `/v1/history/${encodeURIComponent(kind)}/${
    encodeURIComponent(name)
  }`;
  const history = await context.api.get<
    { version: number; entries: AuditEntry[] }
  >(path);
  if (full) {
    const parts = history.entries.map((entry) =>
      `${entry.when}  ${entry.who}  ${entry.changeId}\n${
        formatDiff(entry.before, entry.after)
      }`
    );
    return context.output.print(history, parts.join("\n\n"));
  }
  context.output.printTable(history, ({ entries }) => ({
    columns: ["when", "who", "change", "what"],
    rows: entries.map((
      { when, who, changeId, before, after },
    ) => [when, who, changeId, describeChange(before, after)]),
  }));
}

/** Moves an office or member to another routing record. */
export async function assignOffice(
  context: CommandContext,
  options: { office: string; routing: string },
): Promise<void> {
  const { api, output } = context;
  const { office, routing } = options;
  const target = { kind: "Assignment", name: office };
  const found = await api.getRecord(target.kind, office);
  if (found.record === null) throw createNotFoundError(target);
  const targetRouting = await api.getRecord("RoutingRecord", routing);
  if (targetRouting.record === null) {
    throw createNotFoundError({ kind: "RoutingRecord", name: routing });
  }
  const reply = await api.changeRecord(target, {
    record: { ...found.record, routing },
    version: found.version,
  });
  output.print(
    reply,
    `${office} moved from ${found.record.routing} to ${routing}, version ${reply.version}`,
  );
}

interface StatusBody {
  readonly vms: {
    readonly vm: string;
    readonly status: {
      readonly availabilityZone: string;
      readonly cell: string;
      readonly state: string;
      readonly revision: number;
      readonly dispatcherOf: readonly string[];
      readonly stewardFence: number | null;
      readonly inFlight: number;
      readonly storeDown: boolean;
      readonly memoryBytes: number;
      readonly records: readonly {
        kind: string;
        name: string;
        version: number;
      }[];
    } | null;
  }[];
}

const BYTES_PER_MB = 1e6;

/** Shows the state and roles of each VM, or the records in force there. */
export async function showStatus(
  context: CommandContext,
  options: { records: boolean },
): Promise<void> {
  const body = await context.api.get<StatusBody>("/v1/status");
  if (options.records) {
    return context.output.printTable(body, ({ vms }) => ({
      columns: ["vm", "kind", "name", "version"],
      rows: vms.flatMap(({ vm, status }) =>
        (status?.records ?? []).map((
          { kind, name, version },
        ) => [vm, kind, name, version])
      ),
    }));
  }
  context.output.printTable(body, ({ vms }) => ({
    columns: [
      "vm",
      "zone",
      "cell",
      "state",
      "revision",
      "in flight",
      "dispatcher of",
      "steward",
      "store",
      "mb",
    ],
    rows: vms.map(({ vm, status }) =>
      status === null ? [vm, "-", "-", "no response"] : [
        vm,
        status.availabilityZone,
        status.cell,
        status.state,
        status.revision,
        status.inFlight,
        status.dispatcherOf.join(",") || "-",
        status.stewardFence === null ? "-" : `fence ${status.stewardFence}`,
        status.storeDown ? "down" : "ok",
        Math.round(status.memoryBytes / BYTES_PER_MB),
      ]
    ),
  }));
}

interface UpstreamsBody {
  readonly models: {
    id: string;
    role: string;
    granted: number;
    limit: number;
    leaving: boolean;
    avoided: boolean;
  }[];
  readonly services: {
    service: string;
    id: string;
    address: string;
    leaving: boolean;
  }[];
}

/** Shows the servers of model services and of plain services. */
export async function showUpstreams(context: CommandContext): Promise<void> {
  const body = await context.api.get<UpstreamsBody>("/v1/upstreams");
  context.output.printTable(body, ({ models, services }) => ({
    columns: ["id", "role", "granted", "limit", "state"],
    rows: [
      ...models.map((
        server,
      ) => [
        server.id,
        server.role,
        server.granted,
        server.limit || null,
        describeServerState(server),
      ]),
      ...services.map((
        server,
      ) => [
        server.id,
        server.service,
        null,
        null,
        describeServerState(server),
      ]),
    ],
  }));
}

interface QueuesBody {
  readonly queues: {
    readonly dispatcher: string;
    readonly service: string;
    readonly queued: number;
    readonly granted: number;
    readonly freeSlots: number;
    readonly queueDelayMs: number;
    readonly workspaces: {
      workspace: string;
      queued: number;
      granted: number;
    }[];
  }[];
}

/** Shows the queue of each model service. */
export async function showQueues(
  context: CommandContext,
  options: { workspaces: boolean },
): Promise<void> {
  const body = await context.api.get<QueuesBody>("/v1/queues");
  context.output.printTable(body, ({ queues }) => {
    if (options.workspaces) {
      return {
        columns: ["service", "workspace", "queued", "granted"],
        rows: queues.flatMap(({ service, workspaces }) =>
          workspaces.map((
            row,
          ) => [service, row.workspace, row.queued, row.granted])
        ),
      };
    }
    return {
      columns: [
        "service",
        "dispatcher",
        "queued",
        "granted",
        "free slots",
        "queue delay ms",
      ],
      rows: queues.map((queue) => [
        queue.service,
        queue.dispatcher,
        queue.queued,
        queue.granted,
        queue.freeSlots,
        queue.queueDelayMs < 0 ? "no servers" : queue.queueDelayMs,
      ]),
    };
  });
}

/** Drains a VM: it finishes the requests in flight and exits. */
export async function drainVm(
  context: CommandContext,
  vm: string,
): Promise<void> {
  const reply = await context.api.post(`/v1/drain/${encodeURIComponent(vm)}`);
  context.output.print(reply, `${vm} is draining`);
}

function readJsonList(file: string): unknown[] {
  try {
    const value = JSON.parse(
      fs.readFileSync(file === "-" ? 0 : file, "utf8"),
    ) as unknown;
    return Array.isArray(value) ? value : [value];
  } catch (err) {
    throw new CommandError(
      { tag: "malformed" },
      `${file}: ${getMessage(err)}`,
      { cause: err },
    );
  }
}

function parseFileRecord(file: string, value: unknown): RecordValue {
  try {
    return parseRecord(value) as RecordValue;
  } catch (err) {
    if (!(err instanceof RecordError)) throw err;
    throw new CommandError({ tag: "malformed" }, `${file}: ${err.message}`, {
      cause: err,
    });
  }
}

function createNotFoundError(
  target: { kind: string; name: string },
): CommandError {
  return new CommandError(
    { tag: "not_found" },
    `${target.kind}/${target.name} does not exist`,
  );
}

function describeServerState(
  server: { leaving: boolean; avoided?: boolean },
): string {
  if (server.leaving) return "leaving";
  return server.avoided ? "failing" : "ok";
}

function describeChange(
  before: RecordValue | null,
  after: RecordValue | null,
): string {
  if (before === null) return "created";
  if (after === null) return "deleted";
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  const changed = [...fields].filter((field) =>
    JSON.stringify(before[field]) !== JSON.stringify(after[field])
  );
  return changed.length === 0
    ? "no fields changed"
    : `changed ${changed.join(", ")}`;
}
