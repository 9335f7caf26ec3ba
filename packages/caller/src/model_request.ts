/**
 * OpenAI-shaped model requests.
 * @module
 */
import { Refusal } from "@bitternfall/errors";
import * as zod from "zod";

const content = zod.union([
  zod.string(),
  zod.array(zod.object({ type: zod.literal("text"), text: zod.string() })),
]);
const common = {
  model: zod.string().min(1).max(200),
  stream: zod.boolean().default(false),
  max_tokens: zod.int().min(1).max(1_000_000).optional(),
  max_completion_tokens: zod.int().min(1).max(1_000_000).optional(),
  n: zod.literal(1).optional(),
};
const chatSchema = zod.object({
  ...common,
  messages: zod.array(
    zod.object({ role: zod.string().min(1).max(40), content }),
  ).min(1).max(2000),
});
const completionSchema = zod.object({ ...common, prompt: zod.string().min(1) });

/** Shape of the answer that the caller expects. */
export type AnswerShape = "chat" | "text";

/** A checked model request. */
export interface ModelRequest {
  readonly shape: AnswerShape;
  readonly model: string;
  readonly stream: boolean;
  /** Undefined where the caller left it to the service's limit. */
  readonly maxTokens: number | undefined;
  /** The conversation as one text, roles marked. */
  readonly prompt: string;
}

/** Checks a body of `/v1/chat/completions` or `/v1/completions`. Throws {@link Refusal}. */
export function parseModelRequest(
  shape: AnswerShape,
  body: unknown,
): ModelRequest {
  if (shape === "chat") {
    const req = check(chatSchema, body);
    return {
      ...readCommon(shape, req),
      prompt: req.messages.map(formatMessage).join(""),
    };
  }
  const req = check(completionSchema, body);
  return { ...readCommon(shape, req), prompt: req.prompt };
}

function readCommon(
  shape: AnswerShape,
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
  message: { role: string; content: zod.infer<typeof content> },
): string {
  const text = typeof message.content === "string"
    ? message.content
    : message.content.map((part) => part.text).join("");
  return `<|${message.role}|>\n${text}\n`;
}

function check<T>(schema: zod.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new Refusal(
    "bad_request",
    `${issue?.path.join(".") || "body"}: ${issue?.message}`,
  );
}
