/**
 * The records in force on one VM, indexed for the request path.
 * @module
 */
import * as crypto from "node:crypto";
import type {
  Assignment,
  ModelService,
  OperatorRecord,
  PlainService,
  PoolRoles,
  RoutingV1,
  RoutingV2,
} from "./schema.ts";

/** How calls of one operation of a plain service are handled. */
export interface Operation {
  /** Whether a call may be sent more than once. */
  readonly repeatable: boolean;
  /** Whether a call without an idempotency key is refused. */
  readonly keyRequired: boolean;
  readonly timeoutMs?: number | undefined;
}

interface OperationRule extends Operation {
  readonly methods: readonly string[];
  readonly path: string;
}

/** A routing record of either schema version, normalised. */
export class Routing {
  readonly name: string;
  readonly schemaVersion: number;
  readonly #models = new Map<string, { service: string; priority: number }>();
  readonly #rules = new Map<string, OperationRule[]>();

  constructor(record: RoutingV1 | RoutingV2) {
    this.name = record.name;
    this.schemaVersion = record.schemaVersion;
    if (record.schemaVersion === 1) this.#addV1(record);
    else this.#addV2(record);
  }

  /** Names of the models that callers with this record can use. */
  get models(): string[] {
    return [...this.#models.keys()];
  }

  /** Finds the model service and priority for a model name. */
  findModel(model: string): { service: string; priority: number } | undefined {
    return this.#models.get(model);
  }

  /**
   * Finds how an operation is handled: by its first matching rule, else only GET and HEAD
   * are repeatable. Undefined when the record doesn't list the service.
   */
  findOperation(
    service: string,
    call: { method: string; path: string },
  ): Operation | undefined {
    const rules = this.#rules.get(service);
    if (rules === undefined) return undefined;
    for (const rule of rules) {
      if (
        rule.methods.includes(call.method) && matchesPath(rule.path, call.path)
      ) return rule;
    }
    const repeatable = call.method === "GET" || call.method === "HEAD";
    return { repeatable, keyRequired: false };
  }

  #addV1(record: RoutingV1): void {
    for (const [model, service] of Object.entries(record.models)) {
      this.#models.set(model, { service, priority: record.priority });
    }
    for (const service of record.services) this.#rules.set(service, []);
    for (const { service, method, path, repeatable } of record.operations) {
      this.#rules.get(service)?.push({
        methods: [method],
        path,
        repeatable,
        keyRequired: false,
      });
    }
  }

  #addV2(record: RoutingV2): void {
    for (const { model, service, priority } of record.models) {
      this.#models.set(model, { service, priority });
    }
    for (const { service, operations } of record.services) {
      this.#rules.set(service, [...operations]);
    }
  }
}

/** An assignment with its routing record resolved. */
export interface CallerEntry {
  readonly assignment: Assignment;
  /** Undefined while the routing record that the assignment names does not exist. */
  readonly routing: Routing | undefined;
}

/** Index of the records in force, by service name and by caller key. */
export class Snapshot {
  readonly modelServices = new Map<string, ModelService>();
  readonly plainServices = new Map<string, PlainService>();
  readonly #routings = new Map<string, Routing>();
  readonly #callers = new Map<string, CallerEntry>();

  constructor(records: Iterable<OperatorRecord> = []) {
    const assignments: Assignment[] = [];
    const poolRoles: PoolRoles[] = [];
    for (const record of records) {
      if (record.kind === "ModelService") {
        this.modelServices.set(record.name, record);
      } else if (record.kind === "PlainService") {
        this.plainServices.set(record.name, record);
      } else if (record.kind === "RoutingRecord") {
        this.#routings.set(record.name, new Routing(record));
      } else if (record.kind === "PoolRoles") poolRoles.push(record);
      else assignments.push(record);
    }
    for (const roles of poolRoles) this.#applyPoolRoles(roles);
    for (const assignment of assignments) {
      const routing = this.#routings.get(assignment.routing);
      for (const hash of assignment.keySha256) {
        this.#callers.set(hash, { assignment, routing });
      }
    }
  }

  #applyPoolRoles({ service, roles }: PoolRoles): void {
    const declared = this.modelServices.get(service);
    if (declared === undefined || !declared.balancePools) return;
    const servers = declared.servers.map((server) => ({
      ...server,
      role: roles[server.id] ?? server.role,
    }));
    this.modelServices.set(service, { ...declared, servers });
  }

  /**
   * Finds the caller that a key belongs to. Looks up the key's SHA-256, so that the
   * duration of the look-up reveals nothing about the key.
   */
  findCaller(key: string): CallerEntry | undefined {
    return this.#callers.get(hashKey(key));
  }
}

/** Returns the SHA-256 of a secret in hexadecimal. */
export function hashKey(key: string): string {
  return crypto.createHash("sha256").update(key).digest("hex");
}

function matchesPath(pattern: string, path: string): boolean {
  if (!pattern.endsWith("/*")) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}
