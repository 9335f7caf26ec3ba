/**
 * Stand-ins of the systems around bitternfall, for tests, the demo and experiments.
 * @module
 */
export * from "./completions.ts";
export * from "./crash_overrun.ts";
export * from "./engine.ts";
export * from "./engine_model.ts";
export * from "./fault_proxy.ts";
export * from "./flood_front.ts";
export * from "./floods.ts";
export * from "./hanging_ports.ts";
export * from "./large_body.ts";
export * from "./limit_overrun.ts";
export * from "./notice_overrun.ts";
export * from "./json_server.ts";
export * from "./mixed_streams.ts";
export * from "./platform.ts";
export * from "./random.ts";
export * from "./recovery_shortfall.ts";
export * from "./retry_overrun.ts";
export * from "./service.ts";
export * from "./staged_server.ts";
export * from "./throttle.ts";
