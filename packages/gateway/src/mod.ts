/**
 * A gateway that passes requests on unchanged: its model, dialects and composition.
 * @module
 */
export * from "./config_check.ts";
export * from "./config_issue.ts";
export * from "./config_reader.ts";
export * from "./dialect.ts";
export * from "./gateway.ts";
export {
  getFirstValue,
  listValues,
  parseDecimal,
  readPauseMs,
} from "./headers.ts";
export * from "./model.ts";
export * from "./own_dialect.ts";
export * from "./registry.ts";
export * from "./request_access.ts";
export * from "./run_gateway.ts";
export * from "./server_directory.ts";
export * from "./settings.ts";
export * from "./short_name.ts";
export * from "./software_version.ts";
export * from "./verdicts.ts";
