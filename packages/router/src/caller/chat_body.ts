import {z} from 'zod';

const DEFAULT_MAX_OUTPUT_TOKENS = 256;

const CONTENT = z.union([
  z.string(),
  z.array(z.object({type: z.literal('text'), text: z.string()})),
]);

/** The parts of a chat-completion request that are read. */
export const CHAT_BODY = z.object({
  model: z.string().optional(),
  stream: z.boolean().default(false),
  max_tokens: z
    .number()
    .int()
    .min(1)
    .max(1_000_000)
    .default(DEFAULT_MAX_OUTPUT_TOKENS),
  messages: z
    .array(z.object({role: z.string(), content: CONTENT}))
    .min(1)
    .max(10_000),
});

/** A checked chat-completion request. */
export type ChatBody = z.infer<typeof CHAT_BODY>;

/** The prompt as one text, in the order of the messages. */
export function promptText(body: ChatBody): string {
  return body.messages
    .map(({content}) =>
      typeof content === 'string'
        ? content
        : content.map(part => part.text).join(''),
    )
    .join('\n');
}
