/**
 * Bitternfall's own wire formats: headers of callers and servers, servers' entries, and the
 * configuration.
 * @module
 */
import { Buffer } from "node:buffer";
import {
  KeyRefusal,
  type PresentedKey,
  QuotaUnit,
  type Workspace,
  WorkspaceField,
} from "@bitternfall/access";
import { parseJson } from "@bitternfall/connection";
import { MAX_NAME_LENGTH, ServerRole } from "@bitternfall/types";
import * as zod from "zod";
import {
  type CallerDialect,
  type CallTraits,
  type ControlCall,
  type EngineReport,
  OrderResult,
  type ResponseTraits,
  type RoleOrder,
  type ServerDialect,
} from "./dialect.ts";
import {
  type GatewayConfig,
  type GatewayService,
  type PromptTraits,
  type RequestTraits,
  type Route,
  RouteKind,
  type ServerEntry,
} from "./model.ts";
import {
  getFirstValue,
  listValues,
  parseDecimal,
  readPauseMs,
} from "./headers.ts";
import type { IssueReporter } from "./config_issue.ts";
import {
  amount,
  attempts,
  type ConfigPath,
  ConfigReader,
  DEFAULT_LIMITS,
  duration,
  rate,
  ROUTE_SUBSTITUTES,
  SERVICE_SUBSTITUTES,
  SUBSTITUTE_KIND,
  type Substitutes,
  wholeNumber,
} from "./config_reader.ts";
import type { RegistryDialect } from "./registry.ts";
import { toShortName } from "./short_name.ts";
import { toSoftwareVersion } from "./software_version.ts";

/** Headers of Bitternfall's own format. */
export const OWN_HEADERS = {
  requestId: "bitternfall-request-id",
  deadlineMs: "bitternfall-deadline-ms",
  /** Prompt tokens, maximum output tokens and, if known, expected output tokens. */
  tokens: "bitternfall-tokens",
  /** Parts of the prompt in order, as comma-separated `ID:TOKENS`. */
  promptParts: "bitternfall-prompt-parts",
  server: "bitternfall-server",
  stage: "bitternfall-stage",
  prefillResult: "bitternfall-prefill-result",
  outcome: "bitternfall-outcome",
  seal: "bitternfall-seal",
  /** Requests a second that the server takes from all VMs together. */
  limit: "bitternfall-limit",
  /** The server is leaving. */
  leaving: "bitternfall-leaving",
  /** In a refusal: seconds for which the server wants no requests. */
  retryAfter: "retry-after",
  lastEventId: "last-event-id",
  /** Id of the request that brought the first event of the stream that resumes. */
  resumes: "bitternfall-resumes",
  /** The caller's key. */
  key: "bitternfall-key",
  /** Name of the workspace that a request belongs to. */
  workspace: "bitternfall-workspace",
  /** Urgency at a model server from 0 to 9, 0 first. */
  priority: "bitternfall-priority",
} as const;

const RESERVED_HEADERS = new Set<string>([
  OWN_HEADERS.deadlineMs,
  OWN_HEADERS.server,
  OWN_HEADERS.stage,
  OWN_HEADERS.prefillResult,
  OWN_HEADERS.lastEventId,
  OWN_HEADERS.workspace,
  OWN_HEADERS.priority,
]);

/** Larger counts of tokens are malformed. */
const MAX_COUNT = 1e9;

/** Reads callers' headers in Bitternfall's own format. */
export class OwnCallers implements CallerDialect {
  readonly keyHeader = OWN_HEADERS.key;

  readTraits(headers: ReadonlyMap<string, string>): RequestTraits | undefined {
    const requestId = headers.get(OWN_HEADERS.requestId);
    if (requestId === undefined || !/^[\w.-]{1,80}$/.test(requestId)) {
      return undefined;
    }
    const deadline = headers.get(OWN_HEADERS.deadlineMs);
    const tokens = headers.get(OWN_HEADERS.tokens);
    const counts = readCounts(tokens);
    if (counts === undefined) return undefined;
    const [promptTokens, maxOutputTokens, expectedOutputTokens] = counts;
    const parts = readParts(headers.get(OWN_HEADERS.promptParts));
    if (parts === undefined) return undefined;
    const prompt = promptTokens === undefined || maxOutputTokens === undefined
      ? undefined
      : { promptTokens, maxOutputTokens, expectedOutputTokens, parts };
    return {
      requestId,
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      prompt,
      lastEventId: headers.get(OWN_HEADERS.lastEventId),
      resumes: headers.get(OWN_HEADERS.resumes),
    };
  }

  readKey(rawHeaders: readonly string[]): PresentedKey {
    const [key, ...further] = listValues(rawHeaders, OWN_HEADERS.key);
    if (key === undefined) return undefined;
    if (further.length > 0) return { refusal: KeyRefusal.Several };
    return key === "" ? { refusal: KeyRefusal.Malformed } : { key };
  }

  isReserved(lowerCaseName: string): boolean {
    return RESERVED_HEADERS.has(lowerCaseName);
  }
}

/** Reads two or three counts, or none; undefined if malformed. */
function readCounts(text: string | undefined): number[] | undefined {
  if (text === undefined) return [];
  const counts = text.split(",").map((count) =>
    /^\s*\d+(\.\d+)?\s*$/.test(count) ? Number(count) : NaN
  );
  const isValid = counts.length >= 2 && counts.length <= 3 &&
    counts.every((count) => count <= MAX_COUNT);
  return isValid ? counts : undefined;
}

/** Reads `ID:TOKENS,ID:TOKENS`; undefined if malformed. */
function readParts(text = ""): PromptTraits["parts"] | undefined {
  if (text === "") return [];
  const matches = text.split(",").map((part) =>
    /^([\w-]{1,64}):(\d{1,9})$/.exec(part)
  );
  return matches.every((match) => match !== null)
    ? matches.map(([, id, tokens]) => ({ id: id!, tokens: Number(tokens) }))
    : undefined;
}

const prefillSchema = zod.object({
  handle: zod.string().regex(/^[\w-]+$/),
  tokens: zod.number(),
});
const reportSchema = zod.object({
  role: zod.enum(ServerRole),
  isSwitching: zod.boolean(),
  ordersAccepted: zod.int(),
});

const ORDER_RESULTS: { readonly [status: number]: OrderResult } = {
  200: OrderResult.AlreadyInRole,
  202: OrderResult.Accepted,
  409: OrderResult.Conflict,
  412: OrderResult.Fenced,
};

/** Calls servers in Bitternfall's own format. */
export class OwnServers implements ServerDialect {
  buildCallHeaders(traits: CallTraits): string[] {
    const { serverId, deadlineMs, isPrefill, prefillResult, lastEventId } =
      traits;
    const { workspace, priority } = traits;
    const headers = [
      OWN_HEADERS.server,
      serverId,
      OWN_HEADERS.deadlineMs,
      String(deadlineMs),
    ];
    if (isPrefill) headers.push(OWN_HEADERS.stage, ServerRole.Prefill);
    if (prefillResult !== undefined) {
      const { host, port, handle } = prefillResult;
      headers.push(OWN_HEADERS.prefillResult, `${host}:${port}/${handle}`);
    }
    if (lastEventId !== undefined) {
      headers.push(OWN_HEADERS.lastEventId, lastEventId);
    }
    if (workspace !== undefined) {
      headers.push(OWN_HEADERS.workspace, workspace);
    }
    if (priority !== undefined) {
      headers.push(OWN_HEADERS.priority, String(priority));
    }
    return headers;
  }

  readResponse(
    status: number,
    headers: Readonly<{ [name: string]: string | string[] | undefined }>,
  ): ResponseTraits {
    return {
      status,
      requestId: getFirstValue(headers[OWN_HEADERS.requestId]),
      isNotRun: headers[OWN_HEADERS.outcome] === "not-run",
      isSealed: headers[OWN_HEADERS.seal] !== undefined,
      requestsPerSecond: parseDecimal(
        getFirstValue(headers[OWN_HEADERS.limit]),
      ),
      isLeaving: headers[OWN_HEADERS.leaving] === "1",
      pauseMs: readPauseMs(status, headers[OWN_HEADERS.retryAfter]),
    };
  }

  readPrefillResult(
    body: Buffer,
  ): { handle: string; tokens: number } | undefined {
    const parsed = prefillSchema.safeParse(parseJson(body));
    return parsed.success ? parsed.data : undefined;
  }

  buildFreeCall(handle: string): ControlCall {
    return { method: "DELETE", path: `/handles/${handle}`, headers: [] };
  }

  buildReportCall(): ControlCall {
    return { method: "GET", path: "/report", headers: [] };
  }

  readReport(body: Buffer): EngineReport | undefined {
    const parsed = reportSchema.safeParse(parseJson(body));
    return parsed.success ? parsed.data : undefined;
  }

  buildOrderCall(order: RoleOrder): ControlCall {
    const body = Buffer.from(JSON.stringify(order));
    const headers = ["content-type", "application/json"];
    return { method: "POST", path: "/orders", headers, body };
  }

  readOrderResult(status: number): OrderResult {
    return ORDER_RESULTS[status] ?? OrderResult.Refused;
  }
}

const MAX_HOST_LENGTH = 255;

const serverSchema = zod.object({
  bornAt: zod.int(),
  service: zod.string().min(1).max(MAX_NAME_LENGTH),
  host: zod.string().min(1).max(MAX_HOST_LENGTH),
  port: zod.int().min(1).max(65_535),
  availabilityZone: zod.string().max(MAX_NAME_LENGTH),
  isDraining: zod.boolean().default(false),
  softwareVersion: zod.string().default("").transform(toSoftwareVersion),
  role: zod.enum(ServerRole).optional(),
});
const routeSchema = zod.object({
  name: zod.string(),
  host: zod.string().min(1),
  pathPrefix: zod.string().regex(/^\/(.*\/)?$/),
  kind: zod.enum(RouteKind),
  timeoutMs: duration,
  targetMs: duration,
  eventGapMs: duration.default(1000),
  priority: zod.number().default(1),
  isPublic: zod.boolean().default(false),
  maxAttempts: attempts.default(1),
  isResumable: zod.boolean().default(false),
  targets: zod.unknown().optional(),
});
const ROUTE_FIELDS: Substitutes = {
  ...ROUTE_SUBSTITUTES,
  kind: SUBSTITUTE_KIND,
};
const targetSchema = zod.object({
  service: zod.string(),
  weight: zod.number().min(0),
});
const serviceSchema = zod.object({
  name: zod.string().min(1).max(MAX_NAME_LENGTH),
  maxConnections: wholeNumber.default(1000),
  engine: zod.unknown().optional(),
});
const engineSchema = zod.object({
  slots: wholeNumber,
  memoryTokens: wholeNumber,
  tokensPerEvent: zod.number().positive(),
  handleMs: zod.number(),
  roleSwitchMs: zod.number(),
});
const limitsSchema = zod.object({
  headerBytes: wholeNumber.default(DEFAULT_LIMITS.headerBytes),
  bodyBytes: amount.default(DEFAULT_LIMITS.bodyBytes),
  headerTimeoutMs: duration.default(DEFAULT_LIMITS.headerTimeoutMs),
  idleTimeoutMs: duration.default(DEFAULT_LIMITS.idleTimeoutMs),
}).prefault({});
const workspaceSchema = zod.object({
  name: zod.string(),
  keys: zod.unknown().optional(),
  priority: zod.number().optional(),
  quota: zod.unknown().optional(),
});
const WORKSPACE_FIELDS: Substitutes = { name: "", priority: undefined };
const quotaSchema = zod.object({
  unit: zod.enum(QuotaUnit),
  perSecond: rate,
  burst: amount.default(0),
  plainTokens: amount.default(0),
}).optional();
/** Its parts are read one by one. */
const configSchema = zod.object({
  version: zod.number().optional(),
  routes: zod.array(zod.unknown()),
  services: zod.array(zod.unknown()),
  limits: zod.unknown().optional(),
  workspaces: zod.unknown().optional(),
});

/** Parses servers' entries and configurations in Bitternfall's own format. */
export class OwnRegistry implements RegistryDialect {
  readonly serverPrefix = "servers/";
  readonly configPrefix = "gateway/";
  readonly configName = "main";

  readServer(id: string, value: unknown): ServerEntry | undefined {
    const parsed = serverSchema.safeParse(value);
    return parsed.success ? { id, ...parsed.data } : undefined;
  }

  reduceServer(value: unknown): unknown {
    return serverSchema.safeParse(value).data;
  }

  readConfig(
    value: unknown,
    report: IssueReporter = () => {},
  ): GatewayConfig | undefined {
    const reader = new ConfigReader(report);
    const config = reader.readPart(value, {
      schema: configSchema,
      path: [],
      substitutes: { version: undefined },
    });
    if (config === undefined) return undefined;
    if (config.version === undefined) reader.report(["version"], "missing");
    const services = reader.readList(
      config.services,
      ["services"],
      (entry, path) => readService(reader, entry, path),
    );
    return {
      version: config.version,
      routes: reader.readList(
        config.routes,
        ["routes"],
        (entry, path) => readRoute(reader, entry, path),
      ),
      services: new Map(services.map((service) => [service.name, service])),
      limits: reader.readPart(config.limits, {
        schema: limitsSchema,
        path: ["limits"],
        substitutes: DEFAULT_LIMITS,
      }) ?? DEFAULT_LIMITS,
      ...readWorkspaces(reader, config.workspaces),
    };
  }
}

function readRoute(
  reader: ConfigReader,
  value: unknown,
  path: ConfigPath,
): Route | undefined {
  const route = reader.readPart(value, {
    schema: routeSchema,
    path,
    substitutes: ROUTE_FIELDS,
  });
  if (route === undefined) {
    const { host, pathPrefix } = zod.looseObject({}).safeParse(value).data ??
      {};
    return reader.blockRoute({ host, pathPrefix });
  }
  return {
    ...route,
    name: toShortName(route.name, { maxLength: MAX_NAME_LENGTH }),
    targets: reader.readList(
      route.targets,
      [...path, "targets"],
      (target, targetPath) =>
        reader.readPart(target, { schema: targetSchema, path: targetPath }),
    ),
  };
}

function readService(
  reader: ConfigReader,
  value: unknown,
  path: ConfigPath,
): GatewayService | undefined {
  const service = reader.readPart(value, {
    schema: serviceSchema,
    path,
    substitutes: { maxConnections: SERVICE_SUBSTITUTES.maxConnections },
  });
  if (service === undefined) return undefined;
  const { engine: stated, ...plain } = service;
  if (stated === undefined || stated === null) return plain;
  const engine = reader.readPart(stated, {
    schema: engineSchema,
    path: [...path, "engine"],
    substitutes: SERVICE_SUBSTITUTES,
  });
  return engine && { ...plain, engine };
}

/** Returns the workspaces and keys; neither where requests need no key. */
function readWorkspaces(
  reader: ConfigReader,
  value: unknown,
): Pick<GatewayConfig, "workspaces" | "unusableKeys"> {
  if (value === undefined) return {};
  const path = ["workspaces"];
  const candidates = reader.readList(value, path, (entry, entryPath) => {
    const stated = reader.readPart(entry, {
      schema: workspaceSchema,
      path: entryPath,
      substitutes: WORKSPACE_FIELDS,
    });
    if (stated === undefined) return undefined;
    const workspace: Workspace = {
      ...stated,
      keys: reader.readKeys(stated.keys, [...entryPath, "keys"]),
      quota: reader.readPart(stated.quota, {
        schema: quotaSchema,
        path: [...entryPath, "quota"],
        substitutes: { burst: undefined, plainTokens: undefined },
      }),
    };
    return { index: entryPath.at(-1) as number, workspace };
  });
  return reader.selectWorkspaces(candidates, {
    path,
    fields: {
      [WorkspaceField.Name]: "name",
      [WorkspaceField.Keys]: "keys",
    },
  });
}
