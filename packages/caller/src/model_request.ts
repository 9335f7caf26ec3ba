/**
 * Validates OpenAI-compatible model requests.
 * @module
 */
import { Refusal } from "@bitternfall/errors";
import * as zod from "zod";

const contentSchema = zod.union([
  zod.string(),
  zod.array(zod.object({ type: zod.literal("text"), text: zod.string() })),
]);
const commonFields = {
  model: zod.string().min(1).max(200),
  stream: zod.boolean().default(false),
  max_tokens: zod.int().min(1).max(1_000_000).optional(),
  max_completion_tokens: zod.int().min(1).max(1_000_000).optional(),
  n: zod.literal(1).optional(),
};
const chatSchema = zod.object({
  ...commonFields,
  messages: zod.array(
    zod.object({ role: zod.string().min(1).max(40), content: contentSchema }),
  ).min(1).max(2000),
});
const completionSchema = zod.object({
  ...commonFields,
  prompt: zod.string().min(1),
});

/** Response format, given by the endpoint: chat completion or text completion. */
export type ResponseShape = "chat" | "text";

/** A validated model request. */
export interface ModelRequest {
  readonly shape: ResponseShape;
  readonly model: string;
  readonly stream: boolean;
  /** Undefined if the caller gave none; the service's limit applies then. */
  readonly maxTokens: number | undefined;
  /** The conversation as one text, in which `<|role|>` marks each message. */
  readonly prompt: string;
}

/** Validates a body of `/v1/chat/completions` or `/v1/completions`. Throws {@link Refusal}. */
export function parseModelRequest(
  shape: ResponseShape,
  body: unknown,
): ModelRequest {
  if (shape === "chat") {
    const req = validate(chatSchema, body);
    return {
      ...pickCommonFields(shape, req),
      prompt: req.messages.map(formatMessage).join(""),
    };
  }
  const req = validate(completionSchema, body);
  return { ...pickCommonFields(shape, req), prompt: req.prompt };
}

function pickCommonFields(
  shape: ResponseShape,
  req: {
    model: string;
    stream: boolean;
    max_tokens?: number | undefined;
    max_completion_tokens?: number | undefined;
  },
): Omit<ModelRequest, "prompt"> {
  const maxTokens = req.max_completion_tokens ?? req.max_tokens;
  return { shape, model: req.model, stream: req.stream, maxTokens };
}

function formatMessage(
  message: { role: string; content: zod.infer<typeof contentSchema> },
): string {
  const text = typeof message.content === "string"
    ? message.content
    : message.content.map((part) => part.text).join("");
  return `<|${message.role}|>\n${text}\n`;
}

function validate<T>(schema: zod.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new Refusal(
    "bad_request",
    `${issue?.path.join(".") || "body"}: ${issue?.message}`,
  );
}
