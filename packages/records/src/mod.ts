/**
 * Operators' records: schemas, validation, the stored form, and the snapshot in force.
 * @module
 */
import { TaggedError, type ValidationFault } from "@bitternfall/errors";
import { findSchema, type OperatorRecord } from "./schema.ts";

export * from "./schema.ts";
export * from "./snapshot.ts";
export * from "./stored.ts";

/** A record violates the schema of its kind. Operators receive the message. */
export class RecordError extends TaggedError<
  { tag: "malformed_record"; faults: readonly ValidationFault[] }
> {}

/** Validates a record and fills in defaults. Throws {@link RecordError} that lists every fault. */
export function parseRecord(value: unknown): OperatorRecord {
  const kind = (value as { kind?: unknown } | null)?.kind;
  const schema = findSchema(kind);
  if (schema === undefined) {
    throw createRecordError([{
      path: "kind",
      message: `unknown kind ${JSON.stringify(kind)?.slice(0, 40)}`,
    }]);
  }
  const parsed = schema.safeParse(value, { reportInput: true });
  if (parsed.success) return parsed.data;
  throw createRecordError(parsed.error.issues.map((issue) => {
    const found = issue.input === undefined
      ? ""
      : `, found ${JSON.stringify(issue.input)?.slice(0, 80)}`;
    return { path: issue.path.join("."), message: issue.message + found };
  }));
}

/** Key of a record in the object API, without the deployment's prefix. */
export function getRecordKey(record: { kind: string; name: string }): string {
  return `records/${record.kind}/${record.name}`;
}

function createRecordError(faults: readonly ValidationFault[]): RecordError {
  const lines = faults.map((fault) =>
    `  ${fault.path || "(record)"}: ${fault.message}`
  );
  return new RecordError(
    { tag: "malformed_record", faults },
    `record is malformed:\n${lines.join("\n")}`,
  );
}
