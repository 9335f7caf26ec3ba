/**
 * Dispatch of model requests: fair queueing, admission control by predicted delay, and
 * joint placement on prefill server, link and decode server.
 * @module
 */
export * from "./crash_evidence.ts";
export * from "./dispatcher.ts";
export * from "./fair_queue.ts";
export { type ReleaseInfo } from "./grant_ledger.ts";
export * from "./model.ts";
export { createPolicy, PolicyName } from "./policy.ts";
export { PREFILL_ON_DECODE_SLOWDOWN } from "./prefill_pool.ts";
export * from "./prefix_hash.ts";
export * from "./prefix_index.ts";
export * from "./memory_forecast.ts";
export * from "./queue_summary.ts";
export * from "./rank_shares.ts";
export * from "./retry_allowance.ts";
export * from "./retry_budget.ts";
export * from "./retry_token_pool.ts";
export * from "./retry_tokens.ts";
export * from "./retry_after_scheduler.ts";
export * from "./returning_caller_detector.ts";
export { ServerFailure } from "./server_health.ts";
export * from "./server_rate_limits.ts";
export * from "./stream_versions.ts";
