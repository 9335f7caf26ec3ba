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

/** How one operation of a plain service may be treated. */
export interface Operation {
  readonly repeatable: boolean;
  /** A call without an idempotency key is refused. */
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
    if (record.schemaVersion === 1) this.#readV1(record);
    else this.#readV2(record);
  }

  /** Names of the models that this record offers. */
  get models(): string[] {
    return [...this.#models.keys()];
  }

  /** The model service and priority for a model name. */
  findModel(model: string): { service: string; priority: number } | undefined {
    return this.#models.get(model);
  }

  /** The treatment of an operation, or undefined where the service is not offered. */
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

  #readV1(record: RoutingV1): void {
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

  #readV2(record: RoutingV2): void {
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
  /** Undefined while the routing record it names does not exist. */
  readonly routing: Routing | undefined;
}

/** Index of the records in force. */
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
    for (const roles of poolRoles) this.#applyRoles(roles);
    for (const assignment of assignments) {
      const routing = this.#routings.get(assignment.routing);
      for (const hash of assignment.keySha256) {
        this.#callers.set(hash, { assignment, routing });
      }
    }
  }

  #applyRoles({ service, roles }: PoolRoles): void {
    const declared = this.modelServices.get(service);
    if (declared === undefined || !declared.balancePools) return;
    const servers = declared.servers.map((server) => ({
      ...server,
      role: roles[server.id] ?? server.role,
    }));
    this.modelServices.set(service, { ...declared, servers });
  }

  /**
   * The caller that a key belongs to. The look-up goes by the key's SHA-256, so its
   * time tells nothing of the key itself.
   */
  findCaller(key: string): CallerEntry | undefined {
    return this.#callers.get(hashKey(key));
  }
}

/** SHA-256 of a secret, hexadecimal. */
export function hashKey(key: string): string {
  return crypto.createHash("sha256").update(key).digest("hex");
}

function matchesPath(pattern: string, path: string): boolean {
  if (!pattern.endsWith("/*")) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}
